//! A bounded map that evicts the least recently used entry.
//!
//! Entries live in an arena and are linked by index, so inserting into a full map, touching an
//! entry and removing the oldest one take constant time whatever the capacity is.

use std::collections::HashMap;
use std::hash::Hash;

use crate::clock::Millis;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EntryKey(u32);

#[derive(Clone, Copy, Debug)]
struct Entry<K, V> {
    key: K,
    value: V,
    last_used: Millis,
    older: Option<EntryKey>,
    newer: Option<EntryKey>,
}

/// At most `capacity` values. A full map evicts the least recently used one.
///
/// Inserting and [`touch`](Self::touch) count as use; reading does not.
#[derive(Debug)]
pub(crate) struct LruMap<K, V> {
    capacity: usize,
    by_key: HashMap<K, EntryKey>,
    entries: Vec<Entry<K, V>>,
    free: Vec<EntryKey>,
    oldest: Option<EntryKey>,
    newest: Option<EntryKey>,
}

impl<K: Copy + Eq + Hash, V: Copy> LruMap<K, V> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            by_key: HashMap::new(),
            entries: Vec::new(),
            free: Vec::new(),
            oldest: None,
            newest: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn contains(&self, key: &K) -> bool {
        self.by_key.contains_key(key)
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        let at = *self.by_key.get(key)?;
        Some(&self.entry(at).value)
    }

    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let at = *self.by_key.get(key)?;
        Some(&mut self.entry_mut(at).value)
    }

    /// Inserts or replaces a value. Returns the entry that was evicted to make space.
    pub(crate) fn insert(&mut self, now: Millis, key: K, value: V) -> Option<(K, V)> {
        self.remove(&key);
        let evicted = self.evict_if_full();
        let entry = Entry {
            key,
            value,
            last_used: now,
            older: None,
            newer: None,
        };
        let at = self.store(entry);
        self.by_key.insert(key, at);
        self.link_newest(at);
        evicted
    }

    /// Marks the entry as just used.
    pub(crate) fn touch(&mut self, now: Millis, key: &K) {
        let Some(&at) = self.by_key.get(key) else {
            return;
        };
        self.unlink(at);
        self.entry_mut(at).last_used = now;
        self.link_newest(at);
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.by_key.remove(key)?;
        self.unlink(at);
        self.free.push(at);
        Some(self.entry(at).value)
    }

    /// Removes the least recently used entry if its last use is at least `ttl` ago.
    pub(crate) fn pop_expired(&mut self, now: Millis, ttl: Millis) -> Option<(K, V)> {
        let at = self.oldest?;
        let entry = *self.entry(at);
        if now.since(entry.last_used) < ttl {
            return None;
        }
        self.remove(&entry.key);
        Some((entry.key, entry.value))
    }

    /// Entries from the most to the least recently used.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = (&K, &V)> {
        let older = |at: &EntryKey| self.entry(*at).older;
        std::iter::successors(self.newest, older).map(|at| {
            let entry = self.entry(at);
            (&entry.key, &entry.value)
        })
    }

    fn evict_if_full(&mut self) -> Option<(K, V)> {
        if self.by_key.len() < self.capacity {
            return None;
        }
        self.pop_expired(Millis::ZERO, Millis::ZERO)
    }

    fn store(&mut self, entry: Entry<K, V>) -> EntryKey {
        if let Some(at) = self.free.pop() {
            *self.entry_mut(at) = entry;
            return at;
        }
        let at = u32::try_from(self.entries.len()).expect("a table below 2^32 entries");
        self.entries.push(entry);
        EntryKey(at)
    }

    fn unlink(&mut self, at: EntryKey) {
        let Entry { older, newer, .. } = *self.entry(at);
        match older {
            Some(older) => self.entry_mut(older).newer = newer,
            None => self.oldest = newer,
        }
        match newer {
            Some(newer) => self.entry_mut(newer).older = older,
            None => self.newest = older,
        }
    }

    fn link_newest(&mut self, at: EntryKey) {
        let before = self.newest.replace(at);
        let entry = self.entry_mut(at);
        entry.older = before;
        entry.newer = None;
        match before {
            Some(before) => self.entry_mut(before).newer = Some(at),
            None => self.oldest = Some(at),
        }
    }

    fn entry(&self, at: EntryKey) -> &Entry<K, V> {
        &self.entries[at.0 as usize]
    }

    fn entry_mut(&mut self, at: EntryKey) -> &mut Entry<K, V> {
        &mut self.entries[at.0 as usize]
    }
}
