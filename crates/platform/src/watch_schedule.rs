//! Waiting time of watches, and the delay before the next call after a failure.
//!
//! A watch that is in flight when the service becomes unavailable misses changes made after the
//! service is available again, until it times out. Watches are therefore short while the service
//! does not answer. A 410 (history no longer kept) is an answer and no outage: the objects are
//! read again almost at once, without the delay of a failure.
//!
//! A connection may also go silent for good while the service is available. Only the timeout of the
//! watch shows that, so the waiting time bounds how late a change is noticed then.

use std::time::Duration;

use citronhollow_core::clock::Millis;

use crate::error::PlatformError;
use crate::retry::RetryDelay;

/// Waiting time of a watch.
const WAIT: Millis = Millis(2_500);

/// Waiting time of a watch while the service does not answer.
const WAIT_WHILE_LOST: Millis = Millis(500);

/// Delay before the objects are read again after a 410. It limits the rate of calls to a service
/// that drops its history continually.
const REREAD_PAUSE: Duration = Duration::from_millis(100);

/// Schedule of one watcher.
#[derive(Debug, Default)]
pub struct WatchSchedule {
    retry_delay: RetryDelay,
    is_lost: bool,
}

impl WatchSchedule {
    /// Waiting time of the next watch.
    #[must_use]
    pub const fn wait(&self) -> Millis {
        if self.is_lost { WAIT_WHILE_LOST } else { WAIT }
    }

    /// Handles an answer. Returns whether it is the first after a failure.
    pub fn on_answer(&mut self) -> bool {
        self.retry_delay.reset();
        std::mem::take(&mut self.is_lost)
    }

    /// Handles a failed call. Returns the delay before the next one, and whether this is the first
    /// failure since the last answer. A 410 is not counted as a failure.
    pub fn on_failure(&mut self, err: &PlatformError) -> (Duration, bool) {
        if matches!(err, PlatformError::TooOld { .. }) {
            return (REREAD_PAUSE, false);
        }
        let was_lost = std::mem::replace(&mut self.is_lost, true);
        (self.retry_delay.after_failure(), !was_lost)
    }
}
