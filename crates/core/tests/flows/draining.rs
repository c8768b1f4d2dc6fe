//! Planned stops.

use citronhollow_core::error::ErrorKind;
use citronhollow_core::flows::{Action, Flows, Holding, Relay};
use citronhollow_core::members::TargetState;
use citronhollow_core::routes::Routes;

use crate::fixture::{
    Actions, Bytes, START, ack, agent, busy, establish, flow, handed, handed_last, id, idle,
    is_delivered, on_packet, passed, ready, record, revision, sent, syn,
};

fn is_refused(actions: &Actions) -> bool {
    matches!(
        actions[..],
        [Action::Refuse {
            kind: ErrorKind::NoTarget,
            ..
        }]
    )
}

/// Agent 1 of 3, which drains and holds flow 900.
fn draining_agent() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    establish(&mut flows, START, 900, 7, 70);
    flows.set_state(START, TargetState::Draining);
    flows
}

cases! {
    draining_agent_hands_new_flows_to_peers_however_busy => {
        let mut flows = draining_agent();
        flows.on_load(START, busy(2, 1, 90));
        flows.on_load(START, busy(3, 1, 50));
        assert_eq!(sent(&on_packet(&mut flows, START, syn(1, 5))), Some((id(3), Relay::Hand)));
    };

    draining_agent_refuses_when_no_peer_takes_new_flows => {
        let mut flows = draining_agent();
        flows.set_peers(START, &[record(2, TargetState::Draining)]);
        assert!(is_refused(&on_packet(&mut flows, START, syn(1, 5))));
    };

    draining_agent_opens_nothing_that_is_handed_or_passed => {
        let mut flows = draining_agent();
        assert!(is_refused(&on_packet(&mut flows, START, handed_last(2, syn(1, 5)))));
        let actions = on_packet(&mut flows, START, handed(2, syn(2, 5)));
        assert_eq!(sent(&actions), Some((id(3), Relay::Hand)), "not back to its sender");
        flows.on_load(START, idle(2, 1));
        flows.on_load(START, busy(3, 1, 50));
        let actions = on_packet(&mut flows, START, passed(2, syn(1, 5)));
        assert_eq!(sent(&actions), Some((id(3), Relay::Hand)), "not back to its sender");
    };

    starting_agent_opens_nothing => {
        let mut flows = agent(1, 1);
        flows.set_state(START, TargetState::Starting);
        assert!(is_refused(&on_packet(&mut flows, START, syn(1, 5))));
    };

    draining_agent_keeps_its_flows_and_redirects => {
        let mut flows = draining_agent();
        on_packet(&mut flows, START, syn(1, 5));
        assert!(is_delivered(&on_packet(&mut flows, START, ack(900, 8, 71))));
        assert!(sent(&on_packet(&mut flows, START, ack(1, 6, 71))).is_some());
        assert!(!flows.load_report(START).takes_new);
    };

    leaving_agent_tells_its_redirects_to_the_next_owners => {
        let peers = ready(2..=4);
        let routes = Routes::build(&revision(), &peers, None);
        let mut flows = agent(1, 4);
        for number in 0..50 {
            flows.on_reply(START, id(2), flow(number), Holding::Here, &mut Vec::new());
        }
        let mut out = Vec::new();
        flows.on_leave(START, &mut out);
        for action in &out {
            let Action::Reply { to, flow, holding: Holding::At(at) } = action else {
                panic!("{action:?}");
            };
            let packet = ack(0, 6, 71);
            let choice = routes.choose(flow, &packet.segment).expect("an owner");
            assert_eq!((*to, *at), (routes.target(choice.target).id, id(2)));
        }
        assert!((20..50).contains(&out.len()), "the holder itself is not told: {}", out.len());
    };

    redirects_to_dead_peers_are_not_told => {
        let mut flows = agent(1, 3);
        flows.on_load(START, idle(2, 1));
        flows.on_reply(START, id(2), flow(1), Holding::Here, &mut Vec::new());
        let dead = record(2, TargetState::Dead);
        flows.set_peers(START, &[dead, record(3, TargetState::Ready)]);
        let mut out = Vec::new();
        flows.on_leave(START, &mut out);
        assert!(out.is_empty());
    };
}
