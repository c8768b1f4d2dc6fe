//! Whose handshake a packet belongs to.

use citronhollow_core::clock::Millis;
use citronhollow_core::flows::{
    Action, CloseReason, DropReason, FlowLimits, Flows, Holding, Relay,
};

use crate::fixture::{
    Bytes, START, ack, agent, agent_with, establish, flow, handed_last, id, is_delivered,
    on_packet, sent, syn,
};

const CALLER_ISN: u32 = u32::MAX;
const ISN: u32 = 70;

/// Agent 1 of 3 with a half-open flow.
fn half_open_agent() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    on_packet(&mut flows, START, handed_last(2, syn(1, CALLER_ISN)));
    flows.on_isn(&flow(1), ISN);
    flows
}

cases! {
    acknowledgement_of_this_endpoint_is_delivered => {
        let mut flows = half_open_agent();
        assert!(is_delivered(&on_packet(&mut flows, START, ack(1, 0, ISN + 1))));
        assert_eq!((flows.len(), flows.half_open_count()), (1, 0));
    };

    acknowledgement_of_another_endpoint_is_passed_and_not_delivered => {
        let mut flows = half_open_agent();
        let mut packet = ack(1, 0, 5_000);
        packet.chain = vec![id(3)];
        let actions = on_packet(&mut flows, START, packet);
        assert_eq!(sent(&actions), Some((id(3), Relay::Pass)));
        assert_eq!(flows.half_open_count(), 1);
    };

    acknowledgement_of_another_endpoint_is_searched_and_never_reset => {
        let mut flows = half_open_agent();
        for secs in 0..9 {
            let now = START.after(Millis::from_secs(secs));
            flows.set_peers(now, &crate::fixture::ready(1..=3));
            let actions = on_packet(&mut flows, now, ack(1, 0, 5_000));
            assert!(matches!(actions[..], [Action::Ask { .. }, Action::Ask { .. }]));
            let mut out = Vec::new();
            flows.on_reply(now, id(2), flow(1), Holding::No, &mut out);
            flows.on_reply(now, id(3), flow(1), Holding::No, &mut out);
            assert!(matches!(out[..], [Action::Drop { reason: DropReason::Stale }]), "{out:?}");
        }
    };

    flow_found_elsewhere_stays_found_while_it_is_half_open_here => {
        let mut flows = half_open_agent();
        on_packet(&mut flows, START, ack(1, 0, 5_000));
        let mut out = Vec::new();
        flows.on_reply(START, id(3), flow(1), Holding::Here, &mut out);
        assert_eq!(sent(&out), Some((id(3), Relay::Pass)));
        let actions = on_packet(&mut flows, START, ack(1, 1, 5_000));
        assert_eq!(sent(&actions), Some((id(3), Relay::Pass)));
    };

    acknowledgement_before_the_endpoint_has_answered_is_not_delivered => {
        let mut flows = agent(1, 3);
        on_packet(&mut flows, START, handed_last(2, syn(1, CALLER_ISN)));
        assert!(!is_delivered(&on_packet(&mut flows, START, ack(1, 0, 1))));
    };

    caller_that_gives_up_reaches_the_half_open_endpoint => {
        let mut flows = half_open_agent();
        let mut reset = ack(1, 0, 0);
        reset.segment.rst = true;
        reset.segment.ack = false;
        assert!(is_delivered(&on_packet(&mut flows, START, reset.clone())));
        reset.segment.ack = true;
        reset.segment.ack_seq = 5_000;
        let actions = on_packet(&mut flows, START, reset);
        assert!(matches!(actions[..], [Action::Drop { reason: DropReason::Stale }]));
    };

    packet_of_another_connection_is_not_delivered_to_an_established_flow => {
        let mut flows = agent(1, 3);
        establish(&mut flows, START, 1, CALLER_ISN, ISN);
        assert!(is_delivered(&on_packet(&mut flows, START, ack(1, 60_000, 40_000))));
        for (seq, ack_seq) in [(1 << 30, 40_000), (60_000, 1 << 30)] {
            let actions = on_packet(&mut flows, START, ack(1, seq, ack_seq));
            assert!(!is_delivered(&actions), "{actions:?}");
        }
    };

    numbers_of_an_established_flow_may_wrap_around => {
        let mut flows = agent(1, 3);
        establish(&mut flows, START, 1, 5, ISN);
        let mut seq = 6_u32;
        for _ in 0..1_200 {
            seq = seq.wrapping_add(4_000_000);
            assert!(is_delivered(&on_packet(&mut flows, START, ack(1, seq, ISN + 1))));
        }
    };

    half_open_flow_times_out_in_silence => {
        let mut flows = half_open_agent();
        let mut out = Vec::new();
        flows.on_tick(START.after(Millis(9_999)), &mut out);
        assert!(out.is_empty());
        flows.on_tick(START.after(Millis(10_000)), &mut out);
        let [Action::Close { reason: CloseReason::HalfOpenTimeout, .. }] = out[..] else {
            panic!("{out:?}");
        };
        assert!(!CloseReason::HalfOpenTimeout.resets());
        assert!(flows.is_empty());
    };

    too_many_half_open_flows_push_out_the_oldest_and_no_established_one => {
        let limits = FlowLimits { half_open: 3, ..FlowLimits::default() };
        let mut flows = agent_with(1, 1, limits);
        establish(&mut flows, START, 100, 5, ISN);
        for number in 0..50 {
            let actions = on_packet(&mut flows, START, syn(number, 5));
            let gone = actions.iter().find_map(|action| match action {
                Action::Close { flow, reason: CloseReason::HalfOpenLimit } => Some(*flow),
                _ => None,
            });
            assert_eq!(gone, (number >= 3).then(|| flow(number - 3)));
            assert!(flows.len() <= 4);
        }
        assert!(is_delivered(&on_packet(&mut flows, START, ack(100, 6, ISN + 1))));
    };
}
