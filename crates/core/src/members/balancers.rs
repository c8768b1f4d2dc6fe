//! The balancers that one process knows.
//!
//! Only a balancer itself says that it joins or leaves. That another one does not answer is kept
//! by each process for itself, because a cut between two regions would else fill the control
//! traffic with hundreds of accusations and as many refutations.

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
    /// The record of one balancer.
    #[must_use]
    pub fn get(&self, id: BalancerId) -> Option<&BalancerRecord> {
        self.by_id.get(&id).map(|entry| &entry.record)
    }

    /// Every record, those that are leaving included.
    pub fn iter(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.by_id.values().map(|entry| &entry.record)
    }

    /// Balancers that have not said that they leave.
    pub fn present(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.iter().filter(|record| !record.leaving)
    }

    /// Records known, those that are leaving included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no record is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Takes over what is newer, and says whether it was.
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

    /// Balancers that said so long ago that they leave that nobody remembers them otherwise.
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
