//! Outcome of a run's flows and the check against the required outcomes.

use std::collections::BTreeMap;
use std::fmt;

use citronhollow_core::clock::Millis;
use serde::{Deserialize, Serialize};

/// How one flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowEnd {
    /// Every request was answered in full.
    Completed,
    /// Refused before any of its requests ran.
    Refused,
    /// Reset or without progress after it was established.
    Broken,
}

/// Counters of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Flows that were started.
    pub flows: u64,
    /// Flows of which every request was answered in full.
    pub completed: u64,
    /// Flows that were reset or made no progress after they were established.
    pub broken: u64,
    /// Broken flows that timed out without a reset.
    #[serde(default)]
    pub silent: u64,
    /// For each broken flow, when its caller sent packets since the flow's last progress. A caller
    /// can only be reset when it sends.
    #[serde(default)]
    pub broken_sends: Vec<Vec<Millis>>,
    /// Flows refused before any of their requests ran.
    pub refused: u64,
    /// Answers from another service or target than expected, or to another request.
    pub misdelivered: u64,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Requests of refused flows that ran nevertheless.
    pub refused_but_run: u64,
    /// Largest number of flows on one target divided by the mean.
    pub imbalance: f64,
    /// Number of flows by target.
    pub by_target: BTreeMap<String, u64>,
    /// New flows that a draining target received after the permitted time.
    pub late_to_draining: u64,
}

impl Outcome {
    /// Counts a flow by its end.
    pub const fn count(&mut self, end: FlowEnd) {
        self.flows += 1;
        match end {
            FlowEnd::Completed => self.completed += 1,
            FlowEnd::Refused => self.refused += 1,
            FlowEnd::Broken => self.broken += 1,
        }
    }

    /// Required outcomes that this run missed; empty if it passed.
    #[must_use]
    pub fn failures(&self) -> Vec<String> {
        let required = [
            ("broken flows", self.broken),
            ("misdelivered answers", self.misdelivered),
            ("requests run twice", self.doubled),
            ("refused flows that ran", self.refused_but_run),
            ("late flows to a draining target", self.late_to_draining),
        ];
        let mut failures: Vec<String> = required
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(what, count)| format!("{count} {what}"))
            .collect();
        if self.completed + self.refused != self.flows {
            failures.push(format!(
                "{} of {} flows neither completed nor refused",
                self.flows - self.completed - self.refused,
                self.flows
            ));
        }
        if self.completed == 0 {
            failures.push(String::from("no flow completed"));
        }
        failures
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "flows            {:>8}", self.flows)?;
        writeln!(f, "  completed      {:>8}", self.completed)?;
        writeln!(f, "  refused        {:>8}", self.refused)?;
        writeln!(f, "  broken         {:>8}", self.broken)?;
        writeln!(f, "misdelivered     {:>8}", self.misdelivered)?;
        writeln!(f, "run twice        {:>8}", self.doubled)?;
        writeln!(f, "imbalance        {:>8.2}", self.imbalance)?;
        for (target, flows) in &self.by_target {
            writeln!(f, "  {target:<14} {flows:>8}")?;
        }
        Ok(())
    }
}
