//! Choice of the balancers that an agent reports to.
//!
//! Rendezvous hashing spreads the agents evenly and moves few of them when a balancer joins or
//! leaves. The chosen stand in different failure domains where there are enough, so that the loss
//! of one domain never takes a target and all that watch it together.

use super::record::BalancerRecord;
use crate::hash;
use crate::id::TargetId;

/// Balancers that one agent reports to.
pub const REPORTERS: usize = 3;

/// The `count` best balancers for one target, best first.
#[must_use]
pub fn reporters_for(
    target: TargetId,
    balancers: &[BalancerRecord],
    count: usize,
) -> Vec<BalancerRecord> {
    let mut ranked: Vec<(u64, &BalancerRecord)> = balancers
        .iter()
        .filter(|balancer| !balancer.leaving)
        .map(|balancer| (hash::pair(target.0, balancer.id.0), balancer))
        .collect();
    ranked.sort_unstable_by_key(|(score, balancer)| (*score, balancer.id));
    let mut chosen: Vec<BalancerRecord> = Vec::with_capacity(count);
    for (_, balancer) in &ranked {
        let is_new_domain = chosen.iter().all(|other| other.domain != balancer.domain);
        if is_new_domain && chosen.len() < count {
            chosen.push(**balancer);
        }
    }
    for (_, balancer) in &ranked {
        let is_new = chosen.iter().all(|other| other.id != balancer.id);
        if is_new && chosen.len() < count {
            chosen.push(**balancer);
        }
    }
    chosen
}
