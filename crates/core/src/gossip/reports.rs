//! Tracks the revision that every process has.
//!
//! An agent reports its revision in its heartbeats to a few balancers. A balancer's summary
//! contains the lowest revision of itself and of the agents that report to it. Every agent reports
//! to some balancer, so the minimum over all balancers is the lowest revision of the whole fleet. A
//! balancer that has not reported yet counts as having revision zero, so that waiting for the
//! slowest process does not end early because a report is missing.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};
use crate::members::View;

/// Latest report of an agent to this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentReport {
    /// The agent's revision.
    pub revision: u64,
    /// Number of open flows.
    pub open: u32,
    /// Time of arrival.
    pub at: Millis,
}

/// Latest report of a balancer to this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerReport {
    /// The balancer's revision.
    pub revision: u64,
    /// Lowest revision of the balancer and of the agents that report to it.
    pub lowest: u64,
    /// Time of arrival.
    pub at: Millis,
}

/// The latest reports, by agent and by balancer.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    agents: HashMap<TargetId, AgentReport>,
    balancers: HashMap<BalancerId, BalancerReport>,
}

impl Reports {
    /// Records an agent's report.
    pub fn on_agent(&mut self, id: TargetId, report: AgentReport) {
        self.agents.insert(id, report);
    }

    /// Removes an agent that reports to another balancer from now on.
    pub fn on_agent_left(&mut self, id: TargetId) {
        self.agents.remove(&id);
    }

    /// Records a balancer's report.
    pub fn on_balancer(&mut self, id: BalancerId, report: BalancerReport) {
        self.balancers.insert(id, report);
    }

    /// Latest report of an agent.
    #[must_use]
    pub fn agent(&self, id: TargetId) -> Option<AgentReport> {
        self.agents.get(&id).copied()
    }

    /// Latest report of a balancer.
    #[must_use]
    pub fn balancer(&self, id: BalancerId) -> Option<BalancerReport> {
        self.balancers.get(&id).copied()
    }

    /// Removes the agents whose targets are gone and the balancers that are gone or leaving.
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

    /// Lowest revision of this balancer, which has revision `own`, and of the agents that report
    /// to it.
    #[must_use]
    pub fn lowest_here(&self, own: u64) -> u64 {
        let agents = self.agents.values().map(|report| report.revision);
        agents.fold(own, u64::min)
    }

    /// Lowest revision of this balancer, the other `balancers` and all agents that report to them.
    pub fn lowest_of(&self, own: u64, balancers: impl Iterator<Item = BalancerId>) -> u64 {
        let reported = balancers.map(|id| self.balancer(id).map_or(0, |report| report.lowest));
        reported.fold(self.lowest_here(own), u64::min)
    }
}
