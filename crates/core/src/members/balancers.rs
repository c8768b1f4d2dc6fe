//! The balancers in one process's view.
//!
//! Only a balancer itself announces that it joins or leaves. Whether another balancer answers is
//! tracked by each process locally and not gossiped. Otherwise a network partition between two
//! regions would fill the control traffic with hundreds of suspicions and as many refutations.

use std::collections::BTreeMap;

use super::record::BalancerRecord;
use crate::clock::Millis;
use crate::hash;
use crate::id::BalancerId;

/// Balancers by identity.
#[derive(Clone, Debug, Default)]
pub struct Balancers {
    by_id: BTreeMap<BalancerId, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    record: BalancerRecord,
    changed_at: Millis,
}

impl Balancers {
    /// Record of one balancer.
    #[must_use]
    pub fn get(&self, id: BalancerId) -> Option<&BalancerRecord> {
        self.by_id.get(&id).map(|entry| &entry.record)
    }

    /// All records, including balancers that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.by_id.values().map(|entry| &entry.record)
    }

    /// Balancers that are not leaving or gone.
    pub fn present(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.iter().filter(|record| !record.leaving)
    }

    /// Number of records, including balancers that are leaving.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Merges a record and returns whether it was newer than the known one.
    pub(super) fn merge(&mut self, now: Millis, record: BalancerRecord) -> bool {
        let old = self.by_id.get(&record.id);
        let is_newer = old.is_none_or(|old| rank(&record) > rank(&old.record));
        if is_newer {
            let entry = Entry {
                record,
                changed_at: now,
            };
            self.by_id.insert(record.id, entry);
        }
        is_newer
    }

    pub(super) fn remove(&mut self, id: BalancerId) -> Option<BalancerRecord> {
        self.by_id.remove(&id).map(|entry| entry.record)
    }

    /// Balancers that have been known to leave for at least `kept`. By then no peer has an older
    /// record of them.
    pub(super) fn expired(&self, now: Millis, kept: Millis) -> Vec<BalancerId> {
        self.by_id
            .values()
            .filter(|entry| entry.record.leaving && now.since(entry.changed_at) >= kept)
            .map(|entry| entry.record.id)
            .collect()
    }
}

fn rank(record: &BalancerRecord) -> (u64, u64, bool, u64) {
    (
        record.incarnation,
        record.sequence,
        record.leaving,
        hash::socket_addr(record.control, record.domain.0),
    )
}
