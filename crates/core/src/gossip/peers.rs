//! Choice of the peers that get a push.
//!
//! One peer in the own failure domain is cheap to reach, and at least one in another keeps the
//! domains from becoming islands. The rest is chosen evenly from the fleet.

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::members::BalancerRecord;

/// Draws before the whole list is read.
const DRAWS: u32 = 8;

/// Chooses up to `count` different peers.
pub fn choose_peers<R: Rng>(
    me: &BalancerRecord,
    candidates: &[BalancerRecord],
    count: usize,
    rng: &mut R,
) -> Vec<BalancerRecord> {
    let mut chosen: Vec<BalancerRecord> = Vec::with_capacity(count);
    let local = pick(candidates, rng, |peer| peer.domain == me.domain);
    let remote = pick(candidates, rng, |peer| peer.domain != me.domain);
    chosen.extend(local.into_iter().chain(remote).take(count));
    while chosen.len() < count {
        let is_new = |peer: &BalancerRecord| chosen.iter().all(|other| other.id != peer.id);
        let Some(peer) = pick(candidates, rng, is_new) else {
            break;
        };
        chosen.push(peer);
    }
    chosen
}

/// A few random draws find a wanted peer in all but odd fleets, and there the whole list is read.
fn pick<R: Rng>(
    candidates: &[BalancerRecord],
    rng: &mut R,
    is_wanted: impl Fn(&BalancerRecord) -> bool,
) -> Option<BalancerRecord> {
    for _ in 0..DRAWS {
        let drawn = candidates.choose(rng)?;
        if is_wanted(drawn) {
            return Some(*drawn);
        }
    }
    candidates
        .iter()
        .filter(|peer| is_wanted(peer))
        .choose(rng)
        .copied()
}
