//! Which revision every process has.
//!
//! An agent reports its revision in its heartbeats to a few balancers, and a balancer tells in its
//! digests the lowest revision of itself and of the agents that report to it. Every agent reports
//! to some balancer, so the lowest of what all balancers tell holds for the whole fleet. A balancer
//! that has told nothing yet counts as having no revision: whoever waits for the slowest process
//! must not stop waiting because one has not been heard.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};
use crate::members::View;

/// What an agent last reported here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentReport {
    /// Its revision.
    pub revision: u64,
    /// Flows it holds.
    pub open: u32,
    /// When.
    pub at: Millis,
}

/// What a balancer last told here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerReport {
    /// Its revision.
    pub revision: u64,
    /// Lowest revision of itself and of the agents that report to it.
    pub lowest: u64,
    /// When.
    pub at: Millis,
}

/// The latest reports.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    agents: HashMap<TargetId, AgentReport>,
    balancers: HashMap<BalancerId, BalancerReport>,
}

impl Reports {
    /// An agent reported.
    pub fn on_agent(&mut self, id: TargetId, report: AgentReport) {
        self.agents.insert(id, report);
    }

    /// An agent reports to another balancer from now on.
    pub fn on_agent_left(&mut self, id: TargetId) {
        self.agents.remove(&id);
    }

    /// A balancer told.
    pub fn on_balancer(&mut self, id: BalancerId, report: BalancerReport) {
        self.balancers.insert(id, report);
    }

    /// What an agent last reported here.
    #[must_use]
    pub fn agent(&self, id: TargetId) -> Option<AgentReport> {
        self.agents.get(&id).copied()
    }

    /// What a balancer last told here.
    #[must_use]
    pub fn balancer(&self, id: BalancerId) -> Option<BalancerReport> {
        self.balancers.get(&id).copied()
    }

    /// Forgets the processes that are gone.
    pub fn forget_gone(&mut self, now: Millis, view: &View) {
        self.agents.retain(|id, _| {
            view.target(now, *id)
                .is_some_and(|update| !update.is_gone())
        });
        self.balancers.retain(|id, _| {
            let record = view.balancers().get(*id);
            record.is_some_and(|record| !record.leaving)
        });
    }

    /// Lowest revision of this balancer, which has `own`, and of the agents that report to it.
    #[must_use]
    pub fn lowest_here(&self, own: u64) -> u64 {
        let agents = self.agents.values().map(|report| report.revision);
        agents.fold(own, u64::min)
    }

    /// Lowest revision of the whole fleet, of which `balancers` are the others known to be alive.
    pub fn lowest_of(&self, own: u64, balancers: impl Iterator<Item = BalancerId>) -> u64 {
        let reported = balancers.map(|id| self.balancer(id).map_or(0, |report| report.lowest));
        reported.fold(self.lowest_here(own), u64::min)
    }
}
