//! Selection of the peers that get a push.
//!
//! One peer is in the local failure domain, which is cheap to reach, and at least one is in a
//! remote domain, so that updates do not stay within a domain. The rest is chosen uniformly from
//! the fleet.

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::members::BalancerRecord;

/// Random draws before the whole list is scanned.
const DRAWS: u32 = 8;

/// Chooses up to `count` distinct peers.
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

/// Picks a random peer that satisfies `is_wanted`.
///
/// A few random draws nearly always find one. Only if they fail is the whole list scanned.
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
