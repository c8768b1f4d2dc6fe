//! Faults that a test can inject.

use serde::{Deserialize, Serialize};

/// How calls are handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Calls are run and answered.
    #[default]
    Up,
    /// Calls are answered with 503 and not run.
    Busy,
    /// Calls are neither run nor answered.
    Outage,
}

/// How reads are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// With the current state.
    #[default]
    Fresh,
    /// With the state at the time this was set.
    Stale,
    /// With a body truncated to half its length.
    Garbled,
}

/// Faults in force, none by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How calls are handled.
    pub service: Service,
    /// How reads are answered.
    pub reads: Reads,
    /// Delay before every call is run, in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that are answered with 503 and not run.
    pub busy_calls: u32,
    /// Number of next writes that take effect but are not answered.
    pub lost_answers: u32,
    /// Number of next writes that neither take effect nor are answered.
    pub lost_requests: u32,
    /// Number of next writes that are answered with a conflict and not run.
    pub conflicts: u32,
    /// Watches end immediately with an error instead of changes.
    pub closed_watches: bool,
}

impl Faults {
    /// Consumes one of `left` faults; returns whether there was one.
    pub(super) const fn take(left: &mut u32) -> bool {
        let is_due = *left > 0;
        *left = left.saturating_sub(1);
        is_due
    }
}
