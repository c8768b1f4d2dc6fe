//! Durations of settings files, in seconds with an optional fraction.

use citronhollow_core::clock::Millis;
use derive_more::Into;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest duration, in seconds: a year.
const SECONDS_MAX: f64 = 366.0 * 86_400.0;

/// Number that is not a valid duration.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is not a valid duration in seconds, use 0 to {SECONDS_MAX}")]
pub struct SecondsError(f64);

/// Duration of a settings file.
#[derive(Clone, Copy, Debug, Eq, Into, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Seconds(Millis);

impl Seconds {
    /// Duration in ms.
    #[must_use]
    pub const fn millis(self) -> Millis {
        self.0
    }
}

impl TryFrom<f64> for Seconds {
    type Error = SecondsError;

    fn try_from(seconds: f64) -> Result<Self, Self::Error> {
        if (0.0..=SECONDS_MAX).contains(&seconds) {
            let span = std::time::Duration::from_secs_f64(seconds);
            Ok(Self(Millis::from(span)))
        } else {
            Err(SecondsError(seconds))
        }
    }
}

impl From<Seconds> for f64 {
    fn from(seconds: Seconds) -> Self {
        std::time::Duration::from(seconds.0).as_secs_f64()
    }
}
