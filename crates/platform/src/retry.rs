//! When a call is repeated.
//!
//! The wait before a repetition is drawn evenly between zero and a bound that doubles (full
//! jitter), so that many clients that failed together do not come back together. The budget bounds
//! repetitions to a share of the first attempts, so that a service in trouble does not get a
//! multiple of its usual load.

use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;

/// Attempts at one call, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const BUDGET_LIMIT: f64 = 10.0;
const BUDGET_SHARE: f64 = 0.2;

/// Repetitions that may still be made.
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
    /// Credits a first attempt.
    pub fn deposit(&self) {
        if let Ok(mut tokens) = self.tokens.lock() {
            *tokens = (*tokens + BUDGET_SHARE).min(BUDGET_LIMIT);
        }
    }

    /// Takes one repetition out of the budget, if there is one.
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

/// Shortest and longest pause of a [`RetryDelay`].
const DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_500));

/// RetryDelay of a task that reads or writes something again and again, after a round that failed.
///
/// Every call counts, refused ones included, so the pause doubles for as long as rounds fail. It
/// stays short enough for the task to be done within 2 s of the service's return.
#[derive(Clone, Copy, Debug)]
pub struct RetryDelay(Duration);

impl Default for RetryDelay {
    fn default() -> Self {
        Self(DELAY_BOUNDS.0)
    }
}

impl RetryDelay {
    /// The pause after a round that failed.
    pub fn after_failure(&mut self) -> Duration {
        let pause = self.0;
        self.0 = (pause * 2).min(DELAY_BOUNDS.1);
        pause
    }

    /// A round went well.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Wait before the repetition that follows attempt number `attempt`, counted from one.
#[must_use]
pub fn backoff(attempt: u32) -> Duration {
    let bound = FIRST_BACKOFF
        .saturating_mul(1 << attempt.saturating_sub(1).min(10))
        .min(MAX_BACKOFF);
    let bound_ms = u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(rand::rng().random_range(0..=bound_ms))
}
