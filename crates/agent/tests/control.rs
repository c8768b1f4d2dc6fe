//! The record that an agent announces, and the balancers that it sends heartbeats to.

use std::net::SocketAddr;

use citronhollow_agent::control::{
    HEARTBEATS_UNANSWERED_MAX, OwnRecord, RETRY_AFTER, Reporting, UNRESPONSIVE_BACKOFF,
};
use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId, TargetId};
use citronhollow_core::members::{BalancerRecord, HEARTBEAT, REPORTERS, TargetState};
use citronhollow_target::announce::{AnnouncedState, Announcement};

const TICK: Millis = Millis(50);

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn balancer(number: u16) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId::of(&format!("b{number}")),
        domain: DomainId(u64::from(number % 4)),
        control: addr(number),
        leaving: false,
        incarnation: 1,
        sequence: 1,
    }
}

fn announcement(slots: u16) -> Announcement {
    Announcement {
        group: String::from("desk"),
        address: addr(999),
        slots,
        state: AnnouncedState::Ready,
    }
}

fn own_record() -> OwnRecord {
    OwnRecord::new(TargetId::of("desk-1"), DomainId(1), addr(900), 5)
}

/// The heartbeat schedule of an agent that knows some balancers, with a simulated clock.
struct Agent {
    reporting: Reporting,
    now: Millis,
}

impl Agent {
    fn knowing(balancers: std::ops::Range<u16>) -> Self {
        let mut reporting = Reporting::new(TargetId::of("desk-1"), &[addr(500)]);
        reporting.due(Millis::ZERO);
        for number in balancers {
            reporting.learn(Millis::ZERO, balancer(number));
        }
        Self {
            reporting,
            now: Millis::ZERO,
        }
    }

    /// Advances the clock by `span` and returns the heartbeats sent. Balancers for which `answers`
    /// returns true answer them.
    fn advance(
        &mut self,
        span: Millis,
        answers: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(Millis, SocketAddr, bool)> {
        let end = self.now.after(span);
        let mut sent = Vec::new();
        while self.now < end {
            self.now = self.now.after(TICK);
            for send in self.reporting.due(self.now) {
                sent.push((self.now, send.to, send.is_last));
                if answers(send.to) {
                    self.reporting.on_answer(self.now, send.to);
                }
            }
        }
        sent
    }

    fn current(&self) -> Vec<SocketAddr> {
        self.reporting.current().collect()
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    sequence_grows_with_changes_only => {
        let mut record = own_record();
        assert_eq!(record.current(), None);
        assert!(record.update(&announcement(2), TargetState::Ready).any());
        assert!(!record.update(&announcement(2), TargetState::Ready).any());
        assert!(record.update(&announcement(3), TargetState::Ready).target);
        let current = record.current().expect("a record");
        assert_eq!((current.version(), current.slots), ((5, 2), 3));
    };

    record_carries_the_most_restrictive_state => {
        let mut record = own_record();
        let state = |record: &mut OwnRecord, announced| {
            record.update(&announcement(2), announced);
            record.current().expect("a record").state
        };
        assert_eq!(state(&mut record, TargetState::Ready), TargetState::Ready);
        record.set_reachable(false);
        assert_eq!(state(&mut record, TargetState::Ready), TargetState::Starting);
        assert_eq!(state(&mut record, TargetState::Draining), TargetState::Draining);
        record.set_drained(true);
        assert_eq!(state(&mut record, TargetState::Ready), TargetState::Draining);
        record.set_reachable(true);
        record.set_drained(false);
        assert_eq!(state(&mut record, TargetState::Ready), TargetState::Ready);
        record.set_leaving();
        assert_eq!(state(&mut record, TargetState::Ready), TargetState::Draining);
        assert_eq!(state(&mut record, TargetState::Dead), TargetState::Dead);
    };

    refutation_raises_the_version_only_if_needed => {
        let mut record = own_record();
        record.update(&announcement(2), TargetState::Ready);
        assert!(!record.refute((5, 0)), "the version is already higher");
        assert!(record.refute((5, 1)));
        assert_eq!(record.current().expect("a record").version(), (5, 2));
        assert!(record.refute((9, 40)), "the clock was set back between two starts");
        assert_eq!(record.current().expect("a record").version(), (9, 41));
        record.update(&announcement(2), TargetState::Draining);
        assert_eq!(record.current().expect("a record").version(), (9, 42));
    };

    three_balancers_in_three_domains_get_heartbeats_every_interval => {
        let mut agent = Agent::knowing(0..40);
        let domains: std::collections::BTreeSet<u16> =
            agent.current().iter().map(|it| (it.port() - 7_000) % 4).collect();
        assert_eq!(domains.len(), REPORTERS);
        agent.advance(HEARTBEAT, |_| true);
        let sent = agent.advance(Millis(HEARTBEAT.0 * 5), |_| true);
        assert_eq!(sent.len(), 5 * REPORTERS);
        let mut slots: Vec<u64> = sent.iter().map(|(at, ..)| at.0 % HEARTBEAT.0).collect();
        slots.sort_unstable();
        slots.dedup();
        assert_eq!(slots.len(), REPORTERS, "staggered, not at once");
    };

    seeds_are_replaced_by_balancers_with_records => {
        let mut agent = Agent::knowing(0..40);
        assert!(!agent.current().contains(&addr(500)));
        let sent = agent.advance(TICK, |_| true);
        assert!(sent.contains(&(TICK, addr(500), true)), "a last heartbeat: {sent:?}");
        assert!(!agent.reporting.wants_balancers(agent.now));
        assert!(Agent::knowing(0..2).reporting.wants_balancers(Millis::ZERO));
    };

    lost_heartbeat_is_retried_once => {
        let mut agent = Agent::knowing(0..3);
        agent.advance(HEARTBEAT, |_| true);
        let lost = agent.current()[0];
        let sent = agent.advance(HEARTBEAT.after(Millis(1_000)), |to| to != lost);
        let times: Vec<Millis> = sent.iter().filter(|it| it.1 == lost).map(|it| it.0).collect();
        assert_eq!(times.len(), 2, "{sent:?}");
        assert_eq!(times[1].since(times[0]), RETRY_AFTER);
    };

    unresponsive_balancer_is_replaced_and_retried_later => {
        let mut agent = Agent::knowing(0..40);
        agent.advance(HEARTBEAT, |_| true);
        let unresponsive = agent.current()[0];
        let beats = u64::from(HEARTBEATS_UNANSWERED_MAX + 2);
        agent.advance(Millis(HEARTBEAT.0 * beats), |to| to != unresponsive);
        assert!(!agent.current().contains(&unresponsive));
        assert_eq!(agent.current().len(), REPORTERS);
        agent.advance(UNRESPONSIVE_BACKOFF, |_| true);
        agent.reporting.learn(agent.now, balancer(41));
        assert!(agent.current().contains(&unresponsive) || agent.current().contains(&addr(41)));
    };

    leaving_balancer_is_replaced => {
        let mut agent = Agent::knowing(0..40);
        let first = agent.current()[0];
        let leaving = BalancerRecord {
            leaving: true,
            sequence: 2,
            ..balancer(first.port() - 7_000)
        };
        agent.reporting.learn(agent.now, leaving);
        assert!(!agent.current().contains(&first));
        agent.reporting.learn(agent.now, balancer(first.port() - 7_000));
        assert!(!agent.current().contains(&first), "a late record must not undo a newer one");
    };

    change_is_reported_to_all_at_once => {
        let mut agent = Agent::knowing(0..40);
        agent.advance(HEARTBEAT, |_| true);
        agent.reporting.report_at_once(agent.now);
        let sent = agent.advance(TICK, |_| true);
        assert_eq!(sent.len(), REPORTERS);
    };
}
