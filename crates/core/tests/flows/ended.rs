//! Late packets of flows that have ended.

use citronhollow_core::clock::Millis;
use citronhollow_core::flows::{Action, DropReason, FlowLimits, Flows};

use crate::fixture::{
    Actions, Bytes, START, ack, agent, agent_with, establish, flow, on_packet, syn,
};

const CALLER_ISN: u32 = 5;
const ISN: u32 = 70;

fn is_stale(actions: &Actions) -> bool {
    matches!(
        actions[..],
        [Action::Drop {
            reason: DropReason::Stale
        }]
    )
}

fn is_asked(actions: &Actions) -> bool {
    matches!(actions[..], [Action::Ask { .. }, ..])
}

/// Agent 1 of 3 whose flow has ended.
fn agent_after_a_flow() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    establish(&mut flows, START, 1, CALLER_ISN, ISN);
    flows.on_closed(START, &flow(1));
    flows
}

cases! {
    late_packets_of_an_ended_flow_start_no_search => {
        let mut flows = agent_after_a_flow();
        let last = START.after(Millis(9_999));
        assert!(is_stale(&on_packet(&mut flows, last, ack(1, 6, ISN + 1))));
        assert!(is_stale(&on_packet(&mut flows, last, syn(1, CALLER_ISN))));
        assert_eq!(flows.counters().asked, 0);
    };

    ended_flow_is_forgotten => {
        let mut flows = agent_after_a_flow();
        let later = START.after(Millis(10_000));
        flows.on_tick(later, &mut Vec::new());
        assert!(is_asked(&on_packet(&mut flows, later, ack(1, 6, ISN + 1))));
    };

    new_connection_between_the_same_ends_is_not_taken_for_the_old_one => {
        let mut flows = agent_after_a_flow();
        let elsewhere = on_packet(&mut flows, START, ack(1, 1 << 30, 1 << 29));
        assert!(is_asked(&elsewhere), "{elsewhere:?}");
        establish(&mut flows, START, 1, 1 << 30, 1 << 29);
        assert_eq!(flows.len(), 1);
    };

    handshake_that_did_not_finish_leaves_nothing => {
        let mut flows = agent(1, 1);
        on_packet(&mut flows, START, syn(1, CALLER_ISN));
        flows.on_closed(START, &flow(1));
        let actions = on_packet(&mut flows, START, syn(1, CALLER_ISN));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };

    ended_flows_are_bounded => {
        let limits = FlowLimits { ended: 4, ..FlowLimits::default() };
        let mut flows = agent_with(1, 3, limits);
        for number in 0..20 {
            establish(&mut flows, START, number, CALLER_ISN, ISN);
            flows.on_connect_failed(START, &flow(number));
            assert!(flows.ended_count() <= 4);
        }
        assert!(is_asked(&on_packet(&mut flows, START, ack(15, 6, ISN + 1))));
        assert!(is_stale(&on_packet(&mut flows, START, ack(16, 6, ISN + 1))));
    };
}
