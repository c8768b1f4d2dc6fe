//! What the agents of a pool tell one another about their load.

use serde::{Deserialize, Serialize};

use crate::id::TargetId;

/// True load of a target as its own agent sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReport {
    /// Target of the sender.
    pub sender: TargetId,
    /// Start of the sender that the report belongs to.
    pub incarnation: u64,
    /// Grows with every report, so that a late one is ignored.
    pub sequence: u64,
    /// Flows held.
    pub open: u32,
    /// Flows with a request that the target has not answered.
    pub busy: u32,
    /// Flows that wait in the queue.
    pub queued: u32,
    /// Requests that the target can work on at once, ramped after a cold start, in thousandths.
    pub milli_slots: u32,
    /// Whether the sender takes new flows.
    pub takes_new: bool,
    /// Connects to the target that failed lately, in thousandths of all.
    pub milli_failures: u32,
}
