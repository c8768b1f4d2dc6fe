//! What a test can make go wrong.

use serde::{Deserialize, Serialize};

/// How calls are taken.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// They are run and answered.
    #[default]
    Up,
    /// They are answered with 503 and not run.
    Busy,
    /// They are neither run nor answered.
    Outage,
}

/// How reads are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// As things are.
    #[default]
    Fresh,
    /// As things were when this was set.
    Stale,
    /// With a body that is cut in the middle.
    Garbled,
}

/// Faults in force. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How calls are taken.
    pub service: Service,
    /// How reads are answered.
    pub reads: Reads,
    /// Time added to every call before it is run.
    pub delay_ms: u64,
    /// This many calls are answered with 503 and not run.
    pub busy_calls: u32,
    /// This many writes take effect without an answer.
    pub lost_answers: u32,
    /// This many writes are dropped before they take effect, without an answer.
    pub lost_requests: u32,
    /// This many writes are answered with a conflict and not run.
    pub conflicts: u32,
    /// Watches are closed at once without an answer.
    pub closed_watches: bool,
}

impl Faults {
    /// Uses up one of a number of faults.
    pub(super) const fn take(left: &mut u32) -> bool {
        let is_due = *left > 0;
        *left = left.saturating_sub(1);
        is_due
    }
}
