//! What the agents of one group must know.
//!
//! An agent serves only its own group's services, so it gets the part of the revision that
//! concerns them, with all their pools, and the targets that any of those pools selects.

use std::collections::{BTreeSet, HashMap};

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Revision};
use citronhollow_core::hash;
use citronhollow_core::id::GroupId;
use citronhollow_core::members::{TargetNews, View, digest_of_targets};
use citronhollow_peer::message::PoolReply;
use citronhollow_peer::target_to_message;

/// Seed of the digest of a part of a revision.
const SLICE_SEED: u64 = 0x736c_6963;

/// Digests by group, for as long as neither the revision nor the membership changes.
#[derive(Debug, Default)]
pub struct PoolDigests {
    by_group: HashMap<GroupId, u64>,
    revision: u64,
    changes: u64,
}

impl PoolDigests {
    /// Digest of what the agents of `group` must know.
    pub fn of(&mut self, now: Millis, view: &View, revision: &Revision, group: GroupId) -> u64 {
        let changes = view.changes();
        if (self.revision, self.changes) != (revision.number, changes) {
            self.by_group.clear();
            self.revision = revision.number;
            self.changes = changes;
        }
        *self.by_group.entry(group).or_insert_with(|| {
            let slice = slice_for(revision, group);
            let peers = peers_of(now, view, &slice, group);
            digest_of(&slice, &peers)
        })
    }
}

/// The reply to a request for a group.
#[must_use]
pub fn reply(now: Millis, view: &View, revision: &Revision, group: GroupId) -> PoolReply {
    let slice = slice_for(revision, group);
    let peers = peers_of(now, view, &slice, group);
    PoolReply {
        peers: peers.iter().map(target_to_message).collect(),
        peers_digest: digest_of(&slice, &peers),
        revision_json: serde_json::to_vec(&slice).unwrap_or_default(),
    }
}

/// Digest of the documents of a revision, whatever its number.
#[must_use]
pub fn slice_digest(documents: &Documents) -> u64 {
    let json = serde_json::to_vec(documents).unwrap_or_default();
    hash::bytes(&json, SLICE_SEED)
}

fn digest_of(slice: &Revision, peers: &[TargetNews]) -> u64 {
    hash::pair(
        slice_digest(&slice.documents),
        digest_of_targets(peers.iter()),
    )
}

/// The services whose pools select the group, with all their pools and rules.
fn slice_for(revision: &Revision, group: GroupId) -> Revision {
    let all = &revision.documents;
    let services: Vec<_> = all
        .services
        .iter()
        .filter(|service| {
            all.pools_of(service)
                .any(|pool| pool.group_ids().any(|id| id == group))
        })
        .cloned()
        .collect();
    let names: BTreeSet<&str> = services.iter().map(|it| it.name.as_str()).collect();
    let pools: BTreeSet<&str> = services
        .iter()
        .flat_map(|service| all.pools_of(service))
        .map(|pool| pool.name.as_str())
        .collect();
    let documents = Documents {
        pools: all
            .pools
            .iter()
            .filter(|pool| pools.contains(pool.name.as_str()))
            .cloned()
            .collect(),
        rules: all
            .rules
            .iter()
            .filter(|rule| names.contains(rule.service.as_str()))
            .cloned()
            .collect(),
        services: services.clone(),
    };
    Revision {
        number: revision.number,
        epoch: revision.epoch,
        documents,
    }
}

/// The targets that the pools select, and those of the group itself even if no pool does.
fn peers_of(now: Millis, view: &View, slice: &Revision, group: GroupId) -> Vec<TargetNews> {
    let mut groups: BTreeSet<GroupId> = slice
        .documents
        .pools
        .iter()
        .flat_map(citronhollow_core::config::Pool::group_ids)
        .collect();
    groups.insert(group);
    let mut peers: Vec<TargetNews> = view
        .targets(now)
        .filter(|news| groups.contains(&news.record.group))
        .collect();
    peers.sort_unstable_by_key(|news| news.record.id);
    peers
}
