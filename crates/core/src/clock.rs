//! The time type of the project.
//!
//! Points in time and spans share a type, because every decision in this crate works on times
//! relative to the monotonic start of the process. Decisions never use the wall clock.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Milliseconds: a point in time since the start of the process, or a span.
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
    /// The start of the process, or an empty span.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// This point or span plus `span`, saturating.
    #[must_use]
    pub const fn after(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Span from `earlier` to this point, or zero if `earlier` is not earlier.
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
