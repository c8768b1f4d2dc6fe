//! Which service a packet is for.

use citronhollow_core::config::Revision;
use citronhollow_core::flows::{Action, CloseReason, DropReason, Flows, Holding, Relay};
use citronhollow_core::id::GroupId;

use crate::fixture::{
    Actions, Bytes, START, ack, addr, agent, establish, flow, handed_last, id, is_delivered,
    on_packet, packet, pool, revision, sent, service, syn,
};

const CALLER_ISN: u32 = 5;
const ISN: u32 = 70;

fn is_wrong(actions: &Actions) -> bool {
    matches!(
        actions[..],
        [Action::Drop {
            reason: DropReason::WrongService
        }]
    )
}

/// The next revision, in which the draw office has the match desk's address.
fn reassigned(pool_of_draw_office: &str) -> Revision {
    let mut next = revision();
    next.number = 2;
    let address = crate::fixture::SERVICE;
    next.documents.services = vec![service("draw-office", address, pool_of_draw_office)];
    next
}

/// The next revision, in which other targets serve the match desk.
fn moved() -> Revision {
    let mut next = revision();
    next.number = 2;
    next.documents.services[0].pool = String::from("draw");
    next
}

/// Agent 1 of 3 with an established and a half-open flow.
fn agent_with_flows() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    establish(&mut flows, START, 1, CALLER_ISN, ISN);
    on_packet(&mut flows, START, handed_last(2, syn(2, CALLER_ISN)));
    flows
}

cases! {
    address_of_no_service_is_wrong => {
        let mut other = syn(1, CALLER_ISN);
        other.flow.service = addr("10.1.0.99:443");
        assert!(is_wrong(&on_packet(&mut agent(1, 3), START, other)));
    };

    address_of_a_service_of_other_targets_is_wrong => {
        let mut other = flow(1);
        other.service = addr("10.1.0.2:443");
        for segment in [syn(1, CALLER_ISN).segment, ack(1, 6, ISN + 1).segment] {
            assert!(is_wrong(&on_packet(&mut agent(1, 3), START, packet(other, segment))));
        }
    };

    agent_without_a_group_or_a_revision_serves_nothing => {
        let mut flows = Flows::new(id(1), citronhollow_core::flows::FlowLimits::default(), 1);
        assert!(is_wrong(&on_packet(&mut flows, START, syn(1, CALLER_ISN))));
        flows.set_services(&revision());
        assert!(is_wrong(&on_packet(&mut flows, START, syn(1, CALLER_ISN))));
        flows.set_group(GroupId::of("draw"));
        assert!(is_wrong(&on_packet(&mut flows, START, syn(1, CALLER_ISN))));
    };

    rule_pool_serves_the_service_too => {
        let mut next = moved();
        next.documents.rules = vec![citronhollow_core::config::Rule {
            name: String::from("trial"),
            service: String::from("match-desk"),
            pool: String::from("desk"),
            percent: 10,
        }];
        let mut flows = agent(1, 1);
        flows.set_services(&next);
        let actions = on_packet(&mut flows, START, syn(1, CALLER_ISN));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };

    established_flow_outlives_the_move_of_its_service => {
        let mut flows = agent_with_flows();
        flows.set_services(&moved());
        assert!(is_delivered(&on_packet(&mut flows, START, ack(1, 6, ISN + 1))));
        assert!(is_wrong(&on_packet(&mut flows, START, syn(3, CALLER_ISN))));
        assert!(is_wrong(&on_packet(&mut flows, START, ack(3, 6, ISN + 1))));
    };

    established_flow_outlives_the_release_of_its_address => {
        let mut flows = agent_with_flows();
        let mut next = revision();
        next.number = 2;
        next.documents.services.clear();
        flows.set_services(&next);
        assert!(is_delivered(&on_packet(&mut flows, START, ack(1, 6, ISN + 1))));
    };

    redirect_outlives_the_move_of_its_service => {
        let mut flows = agent(1, 3);
        flows.on_reply(START, id(2), flow(1), Holding::Here, &mut Vec::new());
        flows.set_services(&moved());
        let actions = on_packet(&mut flows, START, ack(1, 6, ISN + 1));
        assert_eq!(sent(&actions), Some((id(2), Relay::Pass)));
    };

    reassigned_address_closes_its_flows_before_anything_else => {
        let mut flows = agent_with_flows();
        flows.set_services(&reassigned("desk"));
        let actions = on_packet(&mut flows, START, ack(1, 6, ISN + 1));
        let closed = |action: &Action<Bytes>| match action {
            Action::Close { flow, reason: CloseReason::Reassigned } => *flow,
            other => panic!("{other:?}"),
        };
        let first: Vec<_> = actions[..2].iter().map(closed).collect();
        assert_eq!(first, [flow(1), flow(2)]);
        assert!(matches!(actions[2..], [Action::Drop { reason: DropReason::Stale }]));
        assert!(flows.is_empty());
        // The new service's own flow between the same ends is served.
        establish(&mut flows, START, 1, 1 << 30, 1 << 29);
    };

    tick_closes_the_flows_of_a_reassigned_address => {
        let mut flows = agent_with_flows();
        flows.set_services(&reassigned("draw"));
        let mut out = Vec::new();
        flows.on_tick(START, &mut out);
        assert!(matches!(out[..], [Action::Close { .. }, Action::Close { .. }]), "{out:?}");
        assert!(CloseReason::Reassigned.resets());
    };

    redirect_of_a_reassigned_address_is_not_followed => {
        let mut flows = agent(1, 3);
        flows.on_reply(START, id(2), flow(1), Holding::Here, &mut Vec::new());
        flows.set_services(&reassigned("desk"));
        let actions = on_packet(&mut flows, START, ack(1, 6, ISN + 1));
        assert_eq!(sent(&actions), None);
        assert_eq!(flows.redirect_count(), 0);
    };

    lower_revision_changes_nothing => {
        let mut flows = agent_with_flows();
        flows.set_services(&reassigned("draw"));
        flows.set_services(&revision());
        assert!(is_wrong(&on_packet(&mut flows, START, syn(3, CALLER_ISN))[2..].to_vec()));
    };

    several_groups_may_share_a_pool => {
        let mut next = moved();
        let mut both = pool("draw");
        both.groups.push(String::from("desk"));
        next.documents.pools = vec![both];
        let mut flows = agent(1, 1);
        flows.set_services(&next);
        let actions = on_packet(&mut flows, START, syn(1, CALLER_ISN));
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    };
}
