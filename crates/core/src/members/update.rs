//! What is spread about one target, and the order of two such pieces.
//!
//! The order is total: incarnation, then sequence, then verdict, then the rest of the record. Two
//! processes that merge the same updates in any order, any number of times, therefore agree.

use serde::{Deserialize, Serialize};

use super::record::{TargetRecord, TargetState};
use crate::clock::Millis;
use crate::hash;
use crate::id::TargetId;

/// What balancers conclude from the silence of an agent.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Its heartbeats arrive.
    #[default]
    Alive,
    /// Silent: it takes no new flow but may hold some.
    Suspect,
    /// Silent for so long that it holds no flow.
    Dead,
}

/// A record with the verdict on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetUpdate {
    /// What the agent announced.
    pub record: TargetRecord,
    /// What balancers concluded since.
    pub verdict: Verdict,
    /// How long the target has been gone, zero if it is not.
    pub gone_for: Millis,
}

impl TargetUpdate {
    /// Update of a target whose heartbeat was just received.
    #[must_use]
    pub const fn alive(record: TargetRecord) -> Self {
        Self {
            record,
            verdict: Verdict::Alive,
            gone_for: Millis::ZERO,
        }
    }

    /// The same record under another verdict.
    #[must_use]
    pub const fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// Whether this undoes `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether the target is dead by verdict or by its agent's last word.
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

/// A verdict without the record that it is about, for those who have the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictUpdate {
    /// Who.
    pub id: TargetId,
    /// Incarnation and sequence of the record.
    pub version: (u64, u64),
    /// What balancers concluded.
    pub verdict: Verdict,
    /// How long the target has been gone, zero if it is not.
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

/// An agent never announces two contents under one version; if it happens all the same, every
/// process must keep the same one.
fn tie_break(record: &TargetRecord) -> u64 {
    let agent = hash::socket_addr(record.agent, record.group.0);
    let rest = u64::from(record.slots) << 8 | record.state as u64;
    hash::pair(hash::pair(agent, record.domain.0), rest)
}
