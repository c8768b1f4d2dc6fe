//! The one clock type of the project.
//!
//! Points in time and spans share a type, because every decision in this crate works on
//! differences from a process's own monotonic start. A wall-clock time never enters a decision.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Milliseconds: a point since the start of the process, or a span.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// This point moved later by `span`.
    #[must_use]
    pub const fn after(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Span from `earlier` to this point, zero if `earlier` is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl From<std::time::Duration> for Millis {
    fn from(span: std::time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}
