//! The checks alone: each finds what it is there for, and nothing else.

use citronhollow_core::clock::Millis;
use citronhollow_soak::bounds::{ACK, DOWNGRADE, DRAIN, PROPAGATION, STABILITY};
use citronhollow_soak::calm::Part;
use citronhollow_soak::plan::Node;
use citronhollow_soak::promises::{Judge, Opened, Promise, Version};

const START: Millis = Millis(10_000);

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// A judge that knows two versions: the first leads to service 0 and the second, from `START` on, to
/// service 1.
fn judge() -> Judge {
    let mut judge = Judge::default();
    judge.on_version(Version {
        since: Millis::ZERO,
        service: 0,
    });
    judge.on_version(Version {
        since: START,
        service: 1,
    });
    judge
}

fn opened(sent: Millis, service: usize) -> Opened {
    Opened {
        sent,
        was_repeated: false,
        balancer: (0, 1),
        target: service,
        service,
        leaving_since: None,
    }
}

fn broken(judge: &Judge) -> Vec<Promise> {
    judge.broken().iter().map(|broken| broken.promise).collect()
}

cases! {
    request_that_may_not_repeat_runs_once => {
        let mut judge = Judge::default();
        judge.on_run(START, 1, false);
        judge.on_run(START, 2, true);
        judge.on_run(START, 2, true);
        assert_eq!(broken(&judge), []);
        judge.on_run(START, 1, false);
        assert_eq!(broken(&judge), [Promise::Once]);
    };

    either_version_may_be_in_use_within_the_bound => {
        let mut judge = judge();
        let sent = START.after(Millis(PROPAGATION.0 - 1));
        judge.on_opened(sent, opened(sent, 0));
        judge.on_opened(sent, opened(sent, 1));
        assert_eq!(broken(&judge), []);
    };

    older_version_is_not_in_use_after_the_bound => {
        let mut judge = judge();
        let sent = START.after(PROPAGATION);
        judge.on_opened(sent, opened(sent, 0));
        assert_eq!(broken(&judge), [Promise::InForce]);
    };

    balancer_without_calm_may_be_late => {
        let mut judge = judge();
        let sent = START.after(PROPAGATION);
        judge.calm.hit(START, Part::Node(Node::Balancer(0)));
        judge.on_opened(sent, opened(sent, 0));
        assert_eq!(broken(&judge), []);
        let sent = START.after(STABILITY);
        judge.on_opened(sent, opened(sent, 0));
        assert_eq!(broken(&judge), [Promise::InForce]);
    };

    process_does_not_go_back => {
        let mut judge = judge();
        judge.on_opened(START, opened(START, 1));
        let soon = START.after(DOWNGRADE);
        judge.on_opened(soon, opened(soon, 0));
        assert_eq!(broken(&judge), [], "packets under way");
        let later = Millis(soon.0 + 1);
        judge.on_opened(later, opened(later, 0));
        assert_eq!(broken(&judge), [Promise::NotBack]);
    };

    other_start_of_a_process_may_begin_with_an_older_version => {
        let mut judge = judge();
        judge.on_opened(START, opened(START, 1));
        let later = START.after(Millis(1_000));
        judge.on_opened(later, Opened { balancer: (0, 2), ..opened(later, 0) });
        assert_eq!(broken(&judge), []);
    };

    version_that_leads_back_to_the_first_service_is_no_step_back => {
        let mut judge = judge();
        judge.on_opened(START, opened(START, 1));
        judge.on_version(Version { since: START.after(Millis(500)), service: 0 });
        let later = START.after(Millis(1_000));
        judge.on_opened(later, opened(later, 0));
        assert_eq!(broken(&judge), []);
    };

    service_that_no_version_names_takes_no_flow => {
        let mut judge = judge();
        judge.on_opened(START, opened(START, 2));
        assert_eq!(broken(&judge), [Promise::Service]);
    };

    repeated_opening_packet_may_have_gone_through_two_balancers => {
        let mut judge = judge();
        let sent = START.after(PROPAGATION);
        judge.on_opened(sent, Opened { was_repeated: true, ..opened(sent, 0) });
        assert_eq!(broken(&judge), []);
    };

    leaving_target_takes_no_flow_after_the_bound => {
        let mut judge = Judge::default();
        let leaving = |sent| Opened { leaving_since: Some(START), ..opened(sent, 0) };
        judge.on_opened_while_leaving(START, &leaving(START.after(Millis(DRAIN.0 - 1))));
        assert_eq!(broken(&judge), []);
        judge.on_opened_while_leaving(START, &leaving(START.after(DRAIN)));
        assert_eq!(broken(&judge), [Promise::Drain]);
    };

    announcement_is_acknowledged_in_time => {
        let mut judge = Judge::default();
        judge.on_unacknowledged(START.after(Millis(ACK.0 - 1)), 0, START);
        assert_eq!(broken(&judge), []);
        judge.on_unacknowledged(START.after(ACK), 0, START);
        assert_eq!(broken(&judge), [Promise::Acknowledged]);
    };

    disturbance_that_is_not_over_is_no_calm => {
        let mut judge = Judge::default();
        judge.calm.begin(Part::Node(Node::Agent(0)));
        judge.on_unacknowledged(START.after(ACK), 0, START);
        assert_eq!(broken(&judge), []);
    };
}
