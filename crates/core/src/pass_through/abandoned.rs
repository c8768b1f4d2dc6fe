//! Entries of processes that are gone for good.
//!
//! A machine that is lost cannot remove its entry, and the platform's store lets nothing expire. Each
//! start would go on waiting for machines that never come back. A balancer therefore removes entries
//! that it has not heard of through many looks in a row. It counts looks and not time, so that a
//! process that was paused does not take its own absence for that of others. A process whose entry is
//! removed while it lives finds that out from its lists and writes it again.

use std::collections::HashMap;
use std::hash::Hash;

/// Looks in a row without a sign of a process, after which its entry is removed. A look a minute makes
/// ten minutes, far longer than a restart or an outage that anybody waits for.
pub const ABANDONED_LISTINGS: u32 = 10;

/// Entries that nobody was heard for, with the number of looks.
#[derive(Clone, Debug)]
pub struct Abandoned<K> {
    unheard: HashMap<K, u32>,
}

impl<K> Default for Abandoned<K> {
    fn default() -> Self {
        Self {
            unheard: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Abandoned<K> {
    /// Takes a list of all entries, each with whether its process was heard since the last one.
    /// Returns those to be removed.
    pub fn on_listing(&mut self, listed: impl Iterator<Item = (K, bool)>) -> Vec<K> {
        let mut unheard = HashMap::new();
        for (entry, is_heard) in listed {
            if !is_heard {
                let looks = self.unheard.get(&entry).copied().unwrap_or_default() + 1;
                unheard.insert(entry, looks);
            }
        }
        self.unheard = unheard;
        let is_due = |(_, looks): &(&K, &u32)| **looks >= ABANDONED_LISTINGS;
        let due = self.unheard.iter().filter(is_due);
        due.map(|(entry, _)| entry.clone()).collect()
    }

    /// Begins anew, since this process may itself have been cut off.
    pub fn clear(&mut self) {
        self.unheard.clear();
    }
}
