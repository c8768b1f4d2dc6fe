//! Anti-entropy repair of updates that the pushes missed.
//!
//! A digest bucket is compared only if it has not changed recently on either side, because a
//! difference that is still being pushed needs no repair. A digest of zero marks a bucket that must
//! not be compared. Only a few buckets are fetched at a time, because fetched updates are new to
//! this process and are pushed on to its peers.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::members::View;

/// Interval between the comparisons that one process starts.
pub const DIGEST_EVERY: Millis = Millis::from_secs(15);

/// Interval between comparisons while a peer is silent or a comparison recently found a
/// difference.
pub const DIGEST_EVERY_IN_REPAIR: Millis = Millis::from_secs(3);

/// Time without a difference after which comparisons return to [`DIGEST_EVERY`].
pub const REPAIR_FOR: Millis = Millis::from_secs(30);

/// Maximum number of buckets fetched after one comparison.
pub const BUCKETS_PER_FETCH: usize = 2;

/// Digests of the view's buckets, zero for a bucket that changed recently.
#[must_use]
pub fn comparable_digests(view: &View, now: Millis) -> Vec<u64> {
    let buckets = view.digests().buckets();
    buckets
        .iter()
        .enumerate()
        .map(|(bucket, digest)| {
            if view.is_settled(now, bucket) {
                *digest
            } else {
                0
            }
        })
        .collect()
}

/// Buckets to fetch from a peer with the digests `theirs`: a random choice of those that differ.
pub fn buckets_to_fetch<R: Rng>(
    view: &View,
    now: Millis,
    theirs: &[u64],
    rng: &mut R,
) -> Vec<usize> {
    let ours = view.digests().buckets();
    ours.iter()
        .zip(theirs)
        .enumerate()
        .filter(|(bucket, (ours, theirs))| {
            **theirs != 0 && ours != theirs && view.is_settled(now, *bucket)
        })
        .map(|(bucket, _)| bucket)
        .choose_multiple(rng, BUCKETS_PER_FETCH)
}
