//! Registration of a process: its own entry in the service, by which others discover it.
//!
//! The service may lose entries during an outage. A process that lists the entries of its kind
//! anyway detects that its own is missing. A list may be seconds old and lack a fresh entry, so the
//! entry is written again only after two lists in a row without it.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::era::Eras;

/// Longest wait for the own entry before the entries of others are listed: a few round trips. If
/// the service is slow, discovering the others takes precedence.
const LIST_DELAY_MAX: Duration = Duration::from_millis(50);

/// Consecutive lists without the entry after which it is written again.
const MISSED_LISTS_MAX: u32 = 2;

/// Tracks whether the entry of this process exists.
#[derive(Clone, Copy, Debug)]
pub struct Registration {
    missed: u32,
}

impl Default for Registration {
    fn default() -> Self {
        Self {
            missed: MISSED_LISTS_MAX,
        }
    }
}

impl Registration {
    /// Whether the entry has to be written.
    #[must_use]
    pub const fn needs_write(&self) -> bool {
        self.missed >= MISSED_LISTS_MAX
    }

    /// Handles a new era: the service was restored from a backup, which may lack the entry.
    pub const fn on_new_era(&mut self) {
        self.missed = MISSED_LISTS_MAX;
    }

    /// Handles a successful write of the entry.
    pub const fn on_written(&mut self) {
        self.missed = 0;
    }

    /// Handles a list that was read, with or without the entry.
    pub const fn on_listed(&mut self, has_entry: bool) {
        if has_entry {
            self.missed = 0;
        } else {
            self.missed += 1;
        }
    }
}

/// Longest delay before an entry is written again after the service was restored from a backup.
const REWRITE_JITTER_MAX_MS: u64 = 1_500;

/// Random delay before the entry is written again, which spreads the writes of a large fleet.
#[must_use]
pub fn rewrite_jitter() -> Duration {
    Duration::from_millis(rand::random_range(0..REWRITE_JITTER_MAX_MS))
}

/// Waits up to 50 ms for the first response to another call, which carries the era to put into the
/// entry of this process.
pub async fn wait_until_answered(eras: &Eras) {
    // On a timeout, the entry is written again once the era is known.
    let _ = timeout(LIST_DELAY_MAX, eras.first_answer()).await;
}

/// Waits up to 50 ms until the entry of this process is written.
///
/// Of two processes that both list only after writing their own entry, at least one finds the other
/// in its list.
pub async fn wait_until_registered<T>(registered: &watch::Sender<Option<T>>) {
    let mut changes = registered.subscribe();
    // On a timeout, the first list is followed by another one.
    let _ = timeout(LIST_DELAY_MAX, changes.wait_for(Option::is_some)).await;
}
