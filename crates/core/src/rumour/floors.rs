//! Which revision every process has reached.
//!
//! An agent tells its revision with each heartbeat, so a balancer knows the lowest one among
//! itself and the agents that report to it. Nobody needs the lowest one of the whole fleet all the
//! time, so it is not spread: a balancer that needs it, because it may publish or because an
//! operator asks, polls the others, a few at a time and only those that were behind when they last
//! answered.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};
use crate::members::BalancerRecord;

/// Time between two polls of one balancer.
pub const POLL_AGAIN_AFTER: Millis = Millis(500);

/// Polls in a row without an answer after which a balancer counts as not answering.
pub const POLLS_UNANSWERED_MAX: u32 = 6;

/// The lowest revision of the fleet, with and without the balancers that do not answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Floor {
    /// Among all that are not known to be gone. What depends on nobody being behind uses this.
    pub of_all: u64,
    /// Among those that answer.
    pub of_answering: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Other {
    lowest: u64,
    polled_at: Option<Millis>,
    unanswered: u32,
}

/// What the agents and the other balancers have reported.
#[derive(Debug, Default)]
pub struct Floors {
    agents: HashMap<TargetId, u64>,
    others: HashMap<BalancerId, Other>,
}

impl Floors {
    /// An agent reports here, with the revision that it has.
    pub fn on_agent(&mut self, id: TargetId, revision: u64) {
        self.agents.insert(id, revision);
    }

    /// Forgets the agents for which `is_alive` says no.
    pub fn retain_agents(&mut self, is_alive: impl Fn(TargetId) -> bool) {
        self.agents.retain(|id, _| is_alive(*id));
    }

    /// The lowest revision among this balancer, which has `revision`, and its agents.
    #[must_use]
    pub fn own(&self, revision: u64) -> u64 {
        self.agents.values().copied().fold(revision, u64::min)
    }

    /// Another balancer told its own lowest revision. It may be lower than before, if an agent
    /// that started late reports to it now.
    pub fn on_answer(&mut self, id: BalancerId, lowest: u64) {
        let other = self.others.entry(id).or_default();
        other.lowest = lowest;
        other.unanswered = 0;
    }

    /// Takes note of polls, and returns the balancers to poll now: those behind `revision`, at
    /// most `count`, the one polled longest ago first.
    pub fn polls<'a>(
        &mut self,
        now: Millis,
        revision: u64,
        present: impl Iterator<Item = &'a BalancerRecord>,
        count: usize,
    ) -> Vec<BalancerRecord> {
        let mut due: Vec<_> = present
            .filter_map(|record| {
                let other = self.others.entry(record.id).or_default();
                let is_due = other
                    .polled_at
                    .is_none_or(|at| now.since(at) >= POLL_AGAIN_AFTER);
                let is_behind = other.lowest < revision;
                (is_due && is_behind).then_some((other.polled_at, record.id, *record))
            })
            .collect();
        due.sort_unstable_by_key(|(polled_at, id, _)| (*polled_at, *id));
        due.truncate(count);
        for (_, id, _) in &due {
            let other = self.others.entry(*id).or_default();
            other.polled_at = Some(now);
            other.unanswered = other.unanswered.saturating_add(1);
        }
        due.into_iter().map(|(_, _, record)| record).collect()
    }

    /// The lowest revision of the fleet, in which this balancer has `revision`.
    pub fn fleet<'a>(
        &self,
        revision: u64,
        present: impl Iterator<Item = &'a BalancerRecord>,
    ) -> Floor {
        let own = self.own(revision);
        let start = Floor {
            of_all: own,
            of_answering: own,
        };
        present.fold(start, |floor, record| {
            let other = self.others.get(&record.id).copied().unwrap_or_default();
            let of_answering = if other.unanswered > POLLS_UNANSWERED_MAX {
                floor.of_answering
            } else {
                floor.of_answering.min(other.lowest)
            };
            Floor {
                of_all: floor.of_all.min(other.lowest),
                of_answering,
            }
        })
    }

    /// Forgets the balancers for which `is_present` says no.
    pub fn retain_balancers(&mut self, is_present: impl Fn(BalancerId) -> bool) {
        self.others.retain(|id, _| is_present(*id));
    }
}
