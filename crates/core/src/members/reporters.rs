//! Selection of the balancers that an agent reports to.
//!
//! Rendezvous hashing distributes the agents evenly and moves few of them when a balancer joins or
//! leaves. The selected balancers are in different failure domains if there are enough domains, so
//! that the loss of one domain does not take a target together with all balancers that monitor it.

use super::record::BalancerRecord;
use crate::hash;
use crate::id::TargetId;

/// Number of balancers that one agent reports to.
pub const REPORTERS: usize = 3;

/// The `count` highest-ranked balancers for a target, in order of rank, one per failure domain
/// first.
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
