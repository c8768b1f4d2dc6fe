//! Updates about one target, and their order.
//!
//! The order is total: by incarnation, sequence, verdict, and then the rest of the record. Merging
//! is therefore commutative, associative and idempotent: processes that merge the same updates in
//! any order, any number of times, have the same result.

use serde::{Deserialize, Serialize};

use super::record::{TargetRecord, TargetState};
use crate::clock::Millis;
use crate::hash;
use crate::id::TargetId;

/// Liveness of a target as concluded from its agent's heartbeats.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Heartbeats arrive.
    #[default]
    Alive,
    /// Heartbeats are missing: the target gets no new flow but may hold some.
    Suspect,
    /// Heartbeats have been missing for so long that the target is assumed to hold no flow.
    Dead,
}

/// A target's record with the verdict on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetUpdate {
    /// Record that the agent announced.
    pub record: TargetRecord,
    /// Verdict of the balancers since the announcement.
    pub verdict: Verdict,
    /// Time for which the target has been gone, zero if it is not.
    pub gone_for: Millis,
}

impl TargetUpdate {
    /// Update for a target whose heartbeat was just received.
    #[must_use]
    pub const fn alive(record: TargetRecord) -> Self {
        Self {
            record,
            verdict: Verdict::Alive,
            gone_for: Millis::ZERO,
        }
    }

    /// The same record with another verdict.
    #[must_use]
    pub const fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// Whether this update supersedes `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether the target is dead by verdict or by its agent's announcement.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.verdict == Verdict::Dead || self.record.state == TargetState::Dead
    }

    fn rank(&self) -> (u64, u64, Verdict, u64) {
        let record = &self.record;
        (
            record.incarnation,
            record.sequence,
            self.verdict,
            tie_break(record),
        )
    }
}

/// A verdict without its record, for receivers that already have the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictUpdate {
    /// Identity of the target.
    pub id: TargetId,
    /// Incarnation and sequence of the record that the verdict is about.
    pub version: (u64, u64),
    /// Verdict of the balancers.
    pub verdict: Verdict,
    /// Time for which the target has been gone, zero if it is not.
    pub gone_for: Millis,
}

impl From<TargetUpdate> for VerdictUpdate {
    fn from(update: TargetUpdate) -> Self {
        Self {
            id: update.record.id,
            version: update.record.version(),
            verdict: update.verdict,
            gone_for: update.gone_for,
        }
    }
}

/// Orders two records of the same version with different content. An agent never announces such
/// records, but if it happens, every process must keep the same one.
fn tie_break(record: &TargetRecord) -> u64 {
    let agent = hash::socket_addr(record.agent, record.group.0);
    let rest = u64::from(record.slots) << 8 | record.state as u64;
    hash::pair(hash::pair(agent, record.domain.0), rest)
}
