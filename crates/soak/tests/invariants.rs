//! Each invariant check detects its own violation and reports nothing else.

use citronhollow_core::clock::Millis;
use citronhollow_soak::bounds::{ACK_TIMEOUT, DOWNGRADE, DRAIN, PROPAGATION, STABILITY};
use citronhollow_soak::disturbances::Part;
use citronhollow_soak::invariants::{Checker, Invariant, OpenedFlow, Version};
use citronhollow_soak::plan::Node;

const START: Millis = Millis(10_000);

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// Returns a checker with two versions: the first routes to service 0 and the second, from `START`
/// on, to service 1.
fn checker() -> Checker {
    let mut checker = Checker::default();
    checker.on_version(Version {
        since: Millis::ZERO,
        service: 0,
    });
    checker.on_version(Version {
        since: START,
        service: 1,
    });
    checker
}

fn opened(sent: Millis, service: usize) -> OpenedFlow {
    OpenedFlow {
        sent,
        was_retransmitted: false,
        balancer: (0, 1),
        target: service,
        service,
        draining_since: None,
    }
}

fn violations(checker: &Checker) -> Vec<Invariant> {
    checker
        .violations()
        .iter()
        .map(|violation| violation.promise)
        .collect()
}

cases! {
    request_that_may_not_repeat_runs_once => {
        let mut checker = Checker::default();
        checker.on_run(START, 1, false);
        checker.on_run(START, 2, true);
        checker.on_run(START, 2, true);
        assert_eq!(violations(&checker), []);
        checker.on_run(START, 1, false);
        assert_eq!(violations(&checker), [Invariant::Once]);
    };

    either_version_may_be_in_use_within_the_bound => {
        let mut checker = checker();
        let sent = START.after(Millis(PROPAGATION.0 - 1));
        checker.on_opened(sent, opened(sent, 0));
        checker.on_opened(sent, opened(sent, 1));
        assert_eq!(violations(&checker), []);
    };

    older_version_is_not_in_use_after_the_bound => {
        let mut checker = checker();
        let sent = START.after(PROPAGATION);
        checker.on_opened(sent, opened(sent, 0));
        assert_eq!(violations(&checker), [Invariant::InForce]);
    };

    disturbed_balancer_may_be_late => {
        let mut checker = checker();
        let sent = START.after(PROPAGATION);
        checker.disturbances.mark(START, Part::Node(Node::Balancer(0)));
        checker.on_opened(sent, opened(sent, 0));
        assert_eq!(violations(&checker), []);
        let sent = START.after(STABILITY);
        checker.on_opened(sent, opened(sent, 0));
        assert_eq!(violations(&checker), [Invariant::InForce]);
    };

    process_does_not_return_to_an_older_version => {
        let mut checker = checker();
        checker.on_opened(START, opened(START, 1));
        let soon = START.after(DOWNGRADE);
        checker.on_opened(soon, opened(soon, 0));
        assert_eq!(violations(&checker), [], "packets under way");
        let later = Millis(soon.0 + 1);
        checker.on_opened(later, opened(later, 0));
        assert_eq!(violations(&checker), [Invariant::NotBack]);
    };

    other_start_of_a_process_may_begin_with_an_older_version => {
        let mut checker = checker();
        checker.on_opened(START, opened(START, 1));
        let later = START.after(Millis(1_000));
        checker.on_opened(later, OpenedFlow { balancer: (0, 2), ..opened(later, 0) });
        assert_eq!(violations(&checker), []);
    };

    newer_version_may_route_to_an_earlier_service => {
        let mut checker = checker();
        checker.on_opened(START, opened(START, 1));
        checker.on_version(Version { since: START.after(Millis(500)), service: 0 });
        let later = START.after(Millis(1_000));
        checker.on_opened(later, opened(later, 0));
        assert_eq!(violations(&checker), []);
    };

    service_outside_all_versions_receives_no_flow => {
        let mut checker = checker();
        checker.on_opened(START, opened(START, 2));
        assert_eq!(violations(&checker), [Invariant::Service]);
    };

    retransmitted_syn_may_pass_through_two_balancers => {
        let mut checker = checker();
        let sent = START.after(PROPAGATION);
        checker.on_opened(sent, OpenedFlow { was_retransmitted: true, ..opened(sent, 0) });
        assert_eq!(violations(&checker), []);
    };

    draining_target_receives_no_flow_after_the_bound => {
        let mut checker = Checker::default();
        let leaving = |sent| OpenedFlow { draining_since: Some(START), ..opened(sent, 0) };
        checker.on_opened_while_draining(START, &leaving(START.after(Millis(DRAIN.0 - 1))));
        assert_eq!(violations(&checker), []);
        checker.on_opened_while_draining(START, &leaving(START.after(DRAIN)));
        assert_eq!(violations(&checker), [Invariant::Drain]);
    };

    announcement_is_acknowledged_in_time => {
        let mut checker = Checker::default();
        checker.on_unacknowledged(START.after(Millis(ACK_TIMEOUT.0 - 1)), 0, START);
        assert_eq!(violations(&checker), []);
        checker.on_unacknowledged(START.after(ACK_TIMEOUT), 0, START);
        assert_eq!(violations(&checker), [Invariant::Acknowledged]);
    };

    ongoing_disturbance_is_not_stable => {
        let mut checker = Checker::default();
        checker.disturbances.begin(Part::Node(Node::Agent(0)));
        checker.on_unacknowledged(START.after(ACK_TIMEOUT), 0, START);
        assert_eq!(violations(&checker), []);
    };
}
