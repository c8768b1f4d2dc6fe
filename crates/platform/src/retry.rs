//! Retries of calls: backoff, retry budget and delays of polling tasks.
//!
//! The delay before a retry is uniform between zero and a bound that doubles (exponential backoff
//! with full jitter), so that clients that failed at the same time do not retry at the same time.
//! The budget limits retries to a share of the first attempts, so that a failing service does not
//! receive a multiple of its usual load.

use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;

/// Attempts at one call, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const BUDGET_LIMIT: f64 = 10.0;
const BUDGET_SHARE: f64 = 0.2;

/// Token bucket of retries. Each first attempt adds a fraction of a token, each retry takes one.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(BUDGET_LIMIT),
        }
    }
}

impl RetryBudget {
    /// Adds the share of a first attempt.
    pub fn deposit(&self) {
        if let Ok(mut tokens) = self.tokens.lock() {
            *tokens = (*tokens + BUDGET_SHARE).min(BUDGET_LIMIT);
        }
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let Ok(mut tokens) = self.tokens.lock() else {
            return false;
        };
        let has_one = *tokens >= 1.0;
        if has_one {
            *tokens -= 1.0;
        }
        has_one
    }
}

/// First and longest delay of a [`RetryDelay`].
const DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_500));

/// Delay of a polling task after a failed round.
///
/// Every call counts as load, including refused ones, so the delay doubles while rounds fail. It
/// stays short enough for the task to succeed within 2 s after the service is available again.
#[derive(Clone, Copy, Debug)]
pub struct RetryDelay(Duration);

impl Default for RetryDelay {
    fn default() -> Self {
        Self(DELAY_BOUNDS.0)
    }
}

impl RetryDelay {
    /// Returns the delay after a failed round and doubles the next one.
    pub fn after_failure(&mut self) -> Duration {
        let delay = self.0;
        self.0 = (delay * 2).min(DELAY_BOUNDS.1);
        delay
    }

    /// Resets the delay after a successful round.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Delay before the retry that follows attempt number `attempt`, counted from one.
#[must_use]
pub fn backoff(attempt: u32) -> Duration {
    let bound = FIRST_BACKOFF
        .saturating_mul(1 << attempt.saturating_sub(1).min(10))
        .min(MAX_BACKOFF);
    let bound_ms = u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(rand::rng().random_range(0..=bound_ms))
}
