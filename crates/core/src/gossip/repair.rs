//! Repair of what pushes left out.
//!
//! A slice is compared only where neither side had a change in it lately, because a difference
//! that is still being pushed needs no repair. A zero stands for a slice that is not compared.
//! Few slices are fetched at a time: what is fetched is new here and is pushed on.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::members::View;

/// Time between two comparisons that one process starts.
pub const DIGEST_EVERY: Millis = Millis::from_secs(15);

/// The same while something was amiss lately: a peer was silent or a comparison found a difference.
pub const DIGEST_EVERY_IN_REPAIR: Millis = Millis::from_secs(3);

/// Time without a difference after which all counts as well again.
pub const REPAIR_FOR: Millis = Millis::from_secs(30);

/// Slices that one comparison fetches at most.
pub const BUCKETS_PER_FETCH: usize = 2;

/// The digests of a view, zero where a change is still on its way.
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

/// The slices to fetch from a peer that has these digests.
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
