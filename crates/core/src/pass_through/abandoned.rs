//! Detection of entries whose processes are gone for good.
//!
//! A lost machine cannot remove its entry, and entries in the platform's store do not expire, so
//! every process that starts would go on waiting for machines that never come back. A balancer
//! therefore removes an entry after many consecutive listings without a message from its process.
//! It counts listings instead of time, so that a process that was paused does not mistake its own
//! absence for that of others. A live process whose entry is removed finds that out from its own
//! listings and writes the entry again.

use std::collections::HashMap;
use std::hash::Hash;

/// Consecutive listings without a message from a process after which its entry is removed. At one
/// listing a minute this is ten minutes, far longer than any restart, or any outage that other
/// processes should wait for.
pub const ABANDONED_LISTINGS: u32 = 10;

/// Counts, for each listed entry, the consecutive listings without a message from its process.
#[derive(Clone, Debug)]
pub struct Abandoned<K> {
    missed: HashMap<K, u32>,
}

impl<K> Default for Abandoned<K> {
    fn default() -> Self {
        Self {
            missed: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Abandoned<K> {
    /// Processes a listing of all entries, each with whether its process sent a message since the
    /// last listing. Returns the entries to remove.
    pub fn on_listing(&mut self, listed: impl Iterator<Item = (K, bool)>) -> Vec<K> {
        let mut missed = HashMap::new();
        for (entry, is_active) in listed {
            if !is_active {
                let listings = self.missed.get(&entry).copied().unwrap_or_default() + 1;
                missed.insert(entry, listings);
            }
        }
        self.missed = missed;
        let is_due = |(_, listings): &(&K, &u32)| **listings >= ABANDONED_LISTINGS;
        let due = self.missed.iter().filter(is_due);
        due.map(|(entry, _)| entry.clone()).collect()
    }

    /// Restarts all counts. Needed when this process may itself have been cut off.
    pub fn clear(&mut self) {
        self.missed.clear();
    }
}
