//! How long a watch waits, and when the next call follows.
//!
//! A watch that is on its way when the service falls silent hears nothing of what happens after the service
//! is back, until it times out. While the service does not answer, watches are therefore short. An answer that
//! the history is gone is an answer: the objects are read again at once and not after the pause of a failure.

use std::time::Duration;

use citronhollow_core::clock::Millis;

use crate::error::PlatformError;
use crate::retry::RetryDelay;

/// Time that a watch waits.
const WAIT: Millis = Millis(4_000);

/// The same while the service does not answer.
const WAIT_WHILE_LOST: Millis = Millis(500);

/// RetryDelay before the objects are read again because the history is gone, so that a service that forgets it all
/// the time is not called without end.
const REREAD_PAUSE: Duration = Duration::from_millis(100);

/// The pace of one watcher.
#[derive(Debug, Default)]
pub struct WatchSchedule {
    pause: RetryDelay,
    is_lost: bool,
}

impl WatchSchedule {
    /// Time that the next watch waits.
    #[must_use]
    pub const fn wait(&self) -> Millis {
        if self.is_lost { WAIT_WHILE_LOST } else { WAIT }
    }

    /// An answer came. Returns whether it is the first after a failure.
    pub fn on_answer(&mut self) -> bool {
        self.pause.reset();
        std::mem::take(&mut self.is_lost)
    }

    /// A call failed. Returns the pause before the next one, and whether the service is lost since this call.
    pub fn on_failure(&mut self, err: &PlatformError) -> (Duration, bool) {
        if matches!(err, PlatformError::TooOld { .. }) {
            return (REREAD_PAUSE, false);
        }
        let was_lost = std::mem::replace(&mut self.is_lost, true);
        (self.pause.after_failure(), !was_lost)
    }
}
