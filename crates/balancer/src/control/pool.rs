//! The configuration and the targets that the agents of one group need.
//!
//! An agent serves only the services of its own group, so it gets the part of the revision that
//! concerns them, with all their pools, and the targets that any of those pools selects. Every
//! heartbeat is answered with a digest of that part, so the part is looked up in an index that is
//! built once per revision, and the digest is cached until the revision or the membership changes.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Revision};
use citronhollow_core::hash;
use citronhollow_core::id::GroupId;
use citronhollow_core::members::{TargetUpdate, View, digest_of_targets};
use citronhollow_peer::message::PoolReply;
use citronhollow_peer::target_to_message;

/// Seed of the digest of a part of a revision.
const PART_SEED: u64 = 0x7061_7274;

/// Configuration by group from the revision in force, with cached digests.
#[derive(Debug, Default)]
pub struct GroupConfigs {
    revision: Arc<Revision>,
    index: Index,
    digests: HashMap<GroupId, u64>,
    changes: u64,
}

/// Indexes of documents in the lists of the revision.
#[derive(Debug, Default)]
struct Index {
    services_by_group: HashMap<GroupId, BTreeSet<usize>>,
    pools_by_service: Vec<BTreeSet<usize>>,
    rules_by_service: Vec<Vec<usize>>,
}

impl GroupConfigs {
    /// Digest of the configuration and targets for the agents of `group`.
    pub fn digest(
        &mut self,
        now: Millis,
        view: &View,
        revision: &Arc<Revision>,
        group: GroupId,
    ) -> u64 {
        self.invalidate(view, revision);
        if let Some(digest) = self.digests.get(&group) {
            return *digest;
        }
        let part = self.part(group);
        let digest = digest_of(&part, &peers_of(now, view, &part, group));
        self.digests.insert(group, digest);
        digest
    }

    /// The reply to a request for the configuration and targets of a group.
    pub fn reply(
        &mut self,
        now: Millis,
        view: &View,
        revision: &Arc<Revision>,
        group: GroupId,
    ) -> PoolReply {
        self.invalidate(view, revision);
        let part = self.part(group);
        let peers = peers_of(now, view, &part, group);
        PoolReply {
            peers: peers.iter().map(target_to_message).collect(),
            peers_digest: digest_of(&part, &peers),
            revision_json: serde_json::to_vec(&part).unwrap_or_default(),
        }
    }

    /// Drops cached data that a new revision or a membership change has made stale.
    fn invalidate(&mut self, view: &View, revision: &Arc<Revision>) {
        let is_new = self.revision.number != revision.number;
        if is_new {
            self.revision = Arc::clone(revision);
            self.index = Index::of(&revision.documents);
        }
        if is_new || self.changes != view.changes() {
            self.digests.clear();
            self.changes = view.changes();
        }
    }

    /// The services whose pools select the group, with all their pools and rules.
    fn part(&self, group: GroupId) -> Revision {
        let all = &self.revision.documents;
        let services = self.index.services_by_group.get(&group);
        let services: Vec<usize> = services.into_iter().flatten().copied().collect();
        let pools: BTreeSet<usize> = services
            .iter()
            .flat_map(|service| &self.index.pools_by_service[*service])
            .copied()
            .collect();
        let rules: BTreeSet<usize> = services
            .iter()
            .flat_map(|service| &self.index.rules_by_service[*service])
            .copied()
            .collect();
        Revision {
            number: self.revision.number,
            epoch: self.revision.epoch,
            documents: Documents {
                services: services
                    .iter()
                    .map(|it| all.services[*it].clone())
                    .collect(),
                pools: pools.iter().map(|it| all.pools[*it].clone()).collect(),
                rules: rules.iter().map(|it| all.rules[*it].clone()).collect(),
            },
        }
    }
}

impl Index {
    fn of(documents: &Documents) -> Self {
        let indexed = documents.services.iter().enumerate();
        let service_indexes: HashMap<&str, usize> = indexed
            .map(|(index, it)| (it.name.as_str(), index))
            .collect();
        let indexed = documents.pools.iter().enumerate();
        let pool_indexes: HashMap<&str, usize> = indexed
            .map(|(index, it)| (it.name.as_str(), index))
            .collect();
        let own_pool = |name: &str| pool_indexes.get(name).copied().into_iter().collect();
        let pools = documents.services.iter().map(|it| own_pool(&it.pool));
        let mut index = Self {
            services_by_group: HashMap::new(),
            pools_by_service: pools.collect(),
            rules_by_service: vec![Vec::new(); documents.services.len()],
        };
        for (position, rule) in documents.rules.iter().enumerate() {
            if let Some(service) = service_indexes.get(rule.service.as_str()) {
                index.rules_by_service[*service].push(position);
                index.pools_by_service[*service].extend(pool_indexes.get(rule.pool.as_str()));
            }
        }
        for (service, pools) in index.pools_by_service.iter().enumerate() {
            let groups = pools.iter().flat_map(|it| documents.pools[*it].group_ids());
            for group in groups {
                let services = index.services_by_group.entry(group).or_default();
                services.insert(service);
            }
        }
        index
    }
}

/// Digest of a part and its targets. It leaves out the revision number, so that a revision that
/// does not change the part does not change the digest.
fn digest_of(part: &Revision, peers: &[TargetUpdate]) -> u64 {
    let json = serde_json::to_vec(&part.documents).unwrap_or_default();
    let documents = hash::bytes(&json, PART_SEED);
    hash::pair(documents, digest_of_targets(peers.iter()))
}

/// The targets that the pools select, and those of the group itself even if no pool does.
fn peers_of(now: Millis, view: &View, part: &Revision, group: GroupId) -> Vec<TargetUpdate> {
    let pools = part.documents.pools.iter();
    let mut groups: BTreeSet<GroupId> = pools.flat_map(Pool::group_ids).collect();
    groups.insert(group);
    view.targets(now)
        .filter(|update| groups.contains(&update.record.group))
        .collect()
}
