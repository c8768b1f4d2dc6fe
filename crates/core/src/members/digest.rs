//! Digests of a view, one for each slice of the identities.
//!
//! Two views that agree have the same digests, and a slice that differs names the records to
//! fetch. Each digest is the sum of the hashes of its records, so that it follows a change at
//! the cost of one record.

use super::record::{BalancerRecord, TargetState};
use super::update::{TargetUpdate, Verdict};
use crate::hash;

/// Slices of the identities.
pub const DIGEST_BUCKETS: usize = 64;

/// The slice that an identity belongs to.
#[must_use]
pub const fn bucket_of(id: u64) -> usize {
    // Identities are hashes, so their upper bits spread evenly.
    (id >> 58) as usize
}

/// Digest of every slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Digests([u64; DIGEST_BUCKETS]);

impl Default for Digests {
    fn default() -> Self {
        Self([0; DIGEST_BUCKETS])
    }
}

impl Digests {
    /// The digest of each slice.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.0
    }

    /// Replaces one target in its slice.
    pub fn replace_target(&mut self, old: Option<&TargetUpdate>, new: Option<&TargetUpdate>) {
        if let Some(update) = old {
            self.subtract(update.record.id.0, target_hash(update));
        }
        if let Some(update) = new {
            self.add(update.record.id.0, target_hash(update));
        }
    }

    /// Replaces one balancer in its slice.
    pub fn replace_balancer(&mut self, old: Option<&BalancerRecord>, new: Option<&BalancerRecord>) {
        if let Some(record) = old {
            self.subtract(record.id.0, balancer_hash(record));
        }
        if let Some(record) = new {
            self.add(record.id.0, balancer_hash(record));
        }
    }

    fn add(&mut self, id: u64, hash: u64) {
        let digest = &mut self.0[bucket_of(id)];
        *digest = digest.wrapping_add(hash);
    }

    fn subtract(&mut self, id: u64, hash: u64) {
        let digest = &mut self.0[bucket_of(id)];
        *digest = digest.wrapping_sub(hash);
    }
}

/// The dead count nothing, because every process forgets them at a time of its own.
fn target_hash(update: &TargetUpdate) -> u64 {
    if update.is_gone() {
        return 0;
    }
    let record = &update.record;
    let is_suspect = update.verdict == Verdict::Suspect;
    let state = (record.state as u64) << 1 | u64::from(is_suspect);
    let version = hash::pair(record.incarnation, record.sequence);
    hash::pair(hash::pair(record.id.0, version), state)
}

fn balancer_hash(record: &BalancerRecord) -> u64 {
    if record.leaving {
        return 0;
    }
    let version = hash::pair(record.incarnation, record.sequence);
    hash::pair(record.id.0, version)
}

/// Digest of some targets, in any order.
#[must_use]
pub fn digest_of_targets<'a>(targets: impl Iterator<Item = &'a TargetUpdate>) -> u64 {
    targets.fold(0, |digest, update| {
        let gone = hash::pair(update.record.id.0, TargetState::Dead as u64);
        let hash = if update.is_gone() {
            gone
        } else {
            target_hash(update)
        };
        digest.wrapping_add(hash)
    })
}
