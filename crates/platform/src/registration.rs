//! Whether the entry that a process keeps at the service has to be made again.
//!
//! The service may lose entries while it is away. A process that lists the entries of its kind
//! anyway sees that its own is missing. A list may be seconds old, so one that misses a fresh entry
//! is no reason to write, and two in a row are.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::era::Eras;

/// Longest wait for the own entry before the entries of others are listed: some round trips. While
/// the service is slow, knowing the others matters more.
const LIST_DELAY_MAX: Duration = Duration::from_millis(50);

/// Lists in a row that must miss an entry before it is made again.
const MISSED_LISTS_MAX: u32 = 2;

/// The entry of this process, as far as it is known.
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

    /// The service has come back from a copy, which may lack the entry.
    pub const fn on_new_era(&mut self) {
        self.missed = MISSED_LISTS_MAX;
    }

    /// The entry was written.
    pub const fn on_written(&mut self) {
        self.missed = 0;
    }

    /// A list was read, with or without the entry.
    pub const fn on_listed(&mut self, has_entry: bool) {
        if has_entry {
            self.missed = 0;
        } else {
            self.missed += 1;
        }
    }
}

/// Longest pause before an entry is written again after the service came back from a copy.
const REWRITE_JITTER_MAX_MS: u64 = 1_500;

/// A pause by chance before the entry is written again, so that a large fleet does not arrive at once.
#[must_use]
pub fn rewrite_jitter() -> Duration {
    Duration::from_millis(rand::random_range(0..REWRITE_JITTER_MAX_MS))
}

/// Waits a moment for the first answer to another call. The entry of a process names the era in which it was
/// written.
pub async fn wait_until_answered(eras: &Eras) {
    // Without an answer in time, the entry is written again once the era is known.
    let _ = timeout(LIST_DELAY_MAX, eras.first_answer()).await;
}

/// Waits a moment until the entry of this process is written.
///
/// A process that lists the others only after its own entry was written is seen by each process
/// that does the same and that it does not see itself.
pub async fn wait_until_listed(is_listed: &watch::Sender<bool>) {
    let mut changes = is_listed.subscribe();
    // Without an entry in time, the first list is followed by another one.
    let _ = timeout(LIST_DELAY_MAX, changes.wait_for(|is_listed| *is_listed)).await;
}
