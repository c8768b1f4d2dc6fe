//! Digests of a view, one for each bucket of identities.
//!
//! Equal views have equal digests, and if the digests of a bucket differ, its records have to be
//! fetched. Each digest is the sum of the hashes of its records, so that a change of one record
//! updates it in constant time.

use super::record::{BalancerRecord, TargetState};
use super::update::{TargetUpdate, Verdict};
use crate::hash;

/// Number of digest buckets.
pub const DIGEST_BUCKETS: usize = 64;

/// Digest bucket of an identity.
#[must_use]
pub const fn bucket_of(id: u64) -> usize {
    // Identities are hashes, so their upper bits are uniformly distributed.
    (id >> 58) as usize
}

/// Digests of all buckets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Digests([u64; DIGEST_BUCKETS]);

impl Default for Digests {
    fn default() -> Self {
        Self([0; DIGEST_BUCKETS])
    }
}

impl Digests {
    /// The digest of each bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.0
    }

    /// Replaces one target in the digest of its bucket.
    pub fn replace_target(&mut self, old: Option<&TargetUpdate>, new: Option<&TargetUpdate>) {
        if let Some(update) = old {
            self.subtract(update.record.id.0, target_hash(update));
        }
        if let Some(update) = new {
            self.add(update.record.id.0, target_hash(update));
        }
    }

    /// Replaces one balancer in the digest of its bucket.
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

/// Hash of a target, zero if it is gone, because every process forgets dead targets at a different
/// time.
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

/// Digest of some targets, independent of their order. Targets that are gone count as dead.
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
