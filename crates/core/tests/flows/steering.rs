//! Where opening packets go, and how the packets after them follow.

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flows::{Action, FlowLimits, Flows, Relay};
use citronhollow_core::members::TargetState;

use crate::fixture::{
    Bytes, START, ack, agent, agent_with, busy, establish, handed, handed_last, id, idle,
    is_delivered, on_packet, passed, ready, record, sent, syn,
};

/// Agent 1 of 3, busy itself, with an idle peer 2 and a busy peer 3.
fn busy_agent(limits: FlowLimits) -> Flows<Bytes> {
    let mut flows = agent_with(1, 3, limits);
    for number in 900..905 {
        establish(&mut flows, START, number, 7, 70);
        flows.on_busy(&crate::fixture::flow(number), true);
    }
    flows.on_load(START, idle(2, 1));
    flows.on_load(START, busy(3, 1, 5));
    flows
}

cases! {
    lone_agent_opens_the_flow => {
        let actions = on_packet(&mut agent(1, 1), START, syn(1, 5));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };

    idle_agent_opens_the_flow_in_place_of_busy_peers => {
        let mut flows = agent(1, 3);
        flows.on_load(START, busy(2, 1, 4));
        flows.on_load(START, busy(3, 1, 4));
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };

    busy_agent_hands_the_flow_to_the_idle_peer => {
        let mut flows = busy_agent(FlowLimits::default());
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_eq!(sent(&actions), Some((id(2), Relay::Hand)));
    };

    packets_of_a_handed_flow_go_straight_to_the_peer => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        let mut packet = ack(1, 6, 1_000);
        packet.chain = vec![id(3), id(2)];
        let actions = on_packet(&mut flows, START, packet);
        assert_eq!(sent(&actions), Some((id(2), Relay::Pass)));
    };

    repeated_opening_packet_reaches_the_same_place => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        // Now the other peer is the better choice.
        flows.on_load(START, busy(2, 2, 9));
        flows.on_load(START, idle(3, 2));
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_eq!(sent(&actions), Some((id(2), Relay::Hand)));
        let other = on_packet(&mut flows, START, syn(2, 5));
        assert_eq!(sent(&other), Some((id(3), Relay::Hand)));
    };

    repeated_opening_packet_leaves_a_peer_that_fell_silent => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        let later = START.after(Millis::from_secs(5));
        flows.on_load(later, idle(3, 2));
        let actions = on_packet(&mut flows, later, syn(1, 5));
        assert_eq!(sent(&actions), Some((id(3), Relay::Hand)));
    };

    new_connection_between_the_same_ends_is_decided_by_the_old_holder => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        let actions = on_packet(&mut flows, START, syn(1, 77));
        assert_eq!(sent(&actions), Some((id(2), Relay::Pass)));
        let mut holder = agent(2, 3);
        establish(&mut holder, START, 1, 5, 70);
        let actions = on_packet(&mut holder, START, passed(1, syn(1, 77)));
        assert!(is_delivered(&actions), "{actions:?}");
    };

    handed_flow_is_handed_on_by_an_agent_that_knows_better => {
        let mut flows = busy_agent(FlowLimits::default());
        let actions = on_packet(&mut flows, START, handed(3, syn(1, 5)));
        assert_eq!(sent(&actions), Some((id(2), Relay::Hand)), "not back to the sender");
    };

    flow_handed_as_often_as_allowed_is_opened => {
        let mut flows = busy_agent(FlowLimits::default());
        let actions = on_packet(&mut flows, START, handed_last(3, syn(1, 5)));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };

    repeated_handed_packet_follows_the_first => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, handed(3, syn(1, 5)));
        flows.on_load(START, idle(2, 2));
        let repeated = on_packet(&mut flows, START, handed(3, syn(1, 5)));
        assert_eq!(sent(&repeated), Some((id(2), Relay::Hand)));
        assert_eq!(flows.redirect_count(), 1);
    };

    handed_flow_is_handed_on_by_an_agent_that_drains => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.set_state(START, TargetState::Draining);
        let actions = on_packet(&mut flows, START, handed(3, syn(1, 5)));
        assert_eq!(sent(&actions), Some((id(2), Relay::Hand)));
    };

    handed_flow_is_refused_by_an_agent_that_drains_and_may_not_hand_it_on => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.set_state(START, TargetState::Draining);
        let actions = on_packet(&mut flows, START, handed_last(3, syn(1, 5)));
        assert!(
            matches!(actions[..], [Action::Refuse { kind: ErrorKind::NoTarget, .. }]),
            "{actions:?}"
        );
    };

    opening_packet_of_an_established_flow_goes_to_its_endpoint => {
        let mut flows = busy_agent(FlowLimits::default());
        for seq in [7, 8] {
            let actions = on_packet(&mut flows, START, syn(900, seq));
            assert!(matches!(actions[..], [Action::Deliver { .. }]), "{actions:?}");
        }
    };

    redirect_to_a_dead_peer_is_not_followed => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        let mut dead = record(2, TargetState::Dead);
        dead.sequence = 2;
        flows.set_peers(START, &[dead, record(3, TargetState::Ready)]);
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_ne!(sent(&actions).map(|(to, _)| to), Some(id(2)));
    };

    full_redirects_lose_the_one_that_is_idle_for_longest => {
        let limits = FlowLimits { redirects: 4, ..FlowLimits::default() };
        let mut flows = busy_agent(limits);
        for number in 1..=4 {
            flows.on_load(START, idle(2, 1 + u64::from(number)));
            on_packet(&mut flows, START, syn(number, 5));
        }
        on_packet(&mut flows, START, ack(1, 6, 1_000));
        flows.on_load(START, idle(2, 9));
        on_packet(&mut flows, START, syn(5, 5));
        assert_eq!(flows.redirect_count(), 4);
        let kept = on_packet(&mut flows, START, ack(1, 6, 1_000));
        assert_eq!(sent(&kept), Some((id(2), Relay::Pass)));
        let lost = on_packet(&mut flows, START, ack(2, 6, 1_000));
        assert_eq!(sent(&lost), None);
        assert_eq!(flows.len(), 5, "no flow held here has gone");
    };

    work_handed_since_the_last_report_counts => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.on_load(START, idle(3, 2));
        let mut counts = [0_u32; 4];
        for number in 0..8 {
            let actions = on_packet(&mut flows, START, syn(number, 5));
            let (to, _) = sent(&actions).expect("a handed flow");
            let at = (2..=3).find(|peer| id(*peer) == to).expect("a peer");
            counts[usize::from(at)] += 1;
        }
        assert_eq!(counts, [0, 0, 4, 4]);
    };

    late_report_changes_nothing => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.on_load(START, busy(2, 3, 9));
        flows.on_load(START, idle(2, 2));
        flows.on_load(START, busy(3, 2, 2));
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_eq!(sent(&actions), Some((id(3), Relay::Hand)));
    };

    restarted_peer_counts_as_full_until_it_reports => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.on_load(START, idle(2, 50));
        flows.on_load(START, busy(3, 2, 1));
        let mut peers = ready(2..=3);
        peers[0].incarnation = 2;
        flows.set_peers(START, &peers);
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_eq!(sent(&actions), Some((id(3), Relay::Hand)));
    };
}
