//! A balancer's choice of an agent for a packet.
//!
//! Every balancer computes the choice from its own revision and view of the members, without
//! per-flow state. Balancers with different views may choose differently, so a choice is only a
//! prediction: the agent that receives the packet decides, and the candidates are the other targets
//! that may hold the flow. A hint echoed by the caller takes precedence over the table, because it
//! identifies the target that holds the flow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::{Revision, Rule, Share};
use crate::error::ErrorKind;
use crate::flow::{FlowId, Segment};
use crate::id::{GroupId, ServiceId, TargetId};
use crate::members::TargetRecord;

mod pool_table;

pub use pool_table::{Member, PoolTable, RANKS};

/// Index of a pool in [`Routes`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PoolKey(u32);

/// Indices of a target's pool and of the target among its members in [`Routes`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TargetKey {
    pool: PoolKey,
    member: u16,
}

/// Index of a service in [`Routes`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ServiceKey(u32);

/// The agent for a packet, and the other targets that may hold its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Service with the destination address.
    pub service: ServiceKey,
    /// Target whose agent gets the packet.
    pub target: TargetKey,
    /// Whether the target was identified by the caller's hint.
    pub hinted: bool,
    candidates: [Option<TargetKey>; RANKS],
}

impl Choice {
    /// Other targets that may hold the flow, most likely first.
    pub fn candidates(&self) -> impl Iterator<Item = TargetKey> {
        self.candidates.iter().flatten().copied()
    }
}

#[derive(Clone, Debug)]
struct RuleRoute {
    share: Share,
    pool: PoolKey,
}

#[derive(Clone, Debug)]
struct ServiceRoute {
    id: ServiceId,
    pool: PoolKey,
    rules: Vec<RuleRoute>,
}

impl ServiceRoute {
    fn pool_for(&self, flow: &FlowId) -> PoolKey {
        self.rules
            .iter()
            .find(|rule| rule.share.contains(flow))
            .map_or(self.pool, |rule| rule.pool)
    }

    fn pools(&self) -> impl Iterator<Item = PoolKey> {
        std::iter::once(self.pool).chain(self.rules.iter().map(|rule| rule.pool))
    }
}

/// Immutable routing table of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    revision: u64,
    by_address: HashMap<SocketAddr, ServiceKey>,
    services: Vec<ServiceRoute>,
    pools: Vec<Arc<PoolTable>>,
}

impl Routes {
    /// Builds the table, reusing from `previous` the tables of pools whose members did not change.
    #[must_use]
    pub fn build(revision: &Revision, targets: &[TargetRecord], previous: Option<&Self>) -> Self {
        let documents = &revision.documents;
        let by_group = targets_by_group(targets);
        let reusable = previous.map(Self::tables_by_digest).unwrap_or_default();
        let mut pools = Vec::with_capacity(documents.pools.len());
        let mut pool_keys = HashMap::with_capacity(documents.pools.len());
        for pool in &documents.pools {
            let key = PoolKey(u32::try_from(pools.len()).unwrap_or(u32::MAX));
            pool_keys.insert(pool.name.as_str(), key);
            let members = members_of(pool.group_ids(), &by_group);
            let digest = PoolTable::digest_of(&members);
            let table = reusable
                .get(&digest)
                .cloned()
                .unwrap_or_else(|| Arc::new(PoolTable::build(members)));
            pools.push(table);
        }
        let mut routes = Self {
            revision: revision.number,
            by_address: HashMap::new(),
            services: Vec::with_capacity(documents.services.len()),
            pools,
        };
        let rules = rules_by_service(&documents.rules, &pool_keys);
        for service in &documents.services {
            let Some(&pool) = pool_keys.get(service.pool.as_str()) else {
                continue;
            };
            let key = ServiceKey(u32::try_from(routes.services.len()).unwrap_or(u32::MAX));
            for address in &service.addresses {
                routes.by_address.insert(*address, key);
            }
            routes.services.push(ServiceRoute {
                id: service.id(),
                pool,
                rules: rules
                    .get(service.name.as_str())
                    .cloned()
                    .unwrap_or_default(),
            });
        }
        routes
    }

    /// Chooses the agent for a packet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownService`] if no service has the destination address, and
    /// [`ErrorKind::NoTarget`] if the pool has no members.
    pub fn choose(&self, flow: &FlowId, segment: &Segment) -> Result<Choice, ErrorKind> {
        let service = *self
            .by_address
            .get(&flow.service)
            .ok_or(ErrorKind::UnknownService)?;
        let route = &self.services[service.0 as usize];
        let pool = route.pool_for(flow);
        let table = &self.pools[pool.0 as usize];
        let hash = flow.hash();
        let hinted = self.hinted(route, segment.echo);
        if let Some(target) = hinted.filter(|_| !segment.is_initial_syn()) {
            return Ok(Choice {
                service,
                target,
                hinted: true,
                candidates: [None; RANKS],
            });
        }
        // Without a ready member in this view, the packet goes to a member that does not accept new
        // flows. Its agent may have a newer view, and refuses the flow or redirects it.
        let first = table
            .first_for_new(hash)
            .or_else(|| table.ranked(hash).next())
            .ok_or(ErrorKind::NoTarget)?;
        Ok(Self::choice(service, pool, table, hash, first))
    }

    /// Member for a key of this table.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> &Member {
        &self.pools[key.pool.0 as usize].members()[usize::from(key.member)]
    }

    /// Identity of a service.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> ServiceId {
        self.services[key.0 as usize].id
    }

    /// Number of the revision that the table was built from.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of services in the table.
    #[must_use]
    pub const fn service_count(&self) -> usize {
        self.services.len()
    }

    fn choice(
        service: ServiceKey,
        pool: PoolKey,
        table: &PoolTable,
        hash: u64,
        first: u16,
    ) -> Choice {
        let mut candidates = [None; RANKS];
        let others = table.ranked(hash).filter(|member| *member != first);
        for (place, member) in candidates.iter_mut().zip(others) {
            *place = Some(TargetKey { pool, member });
        }
        Choice {
            service,
            target: TargetKey {
                pool,
                member: first,
            },
            hinted: false,
            candidates,
        }
    }

    /// Target that the hint identifies. The hint is untrusted, so only targets of the destination's
    /// service are accepted.
    fn hinted(&self, route: &ServiceRoute, hint: u32) -> Option<TargetKey> {
        if hint == 0 {
            return None;
        }
        route.pools().find_map(|pool| {
            let member = self.pools[pool.0 as usize].by_hint(hint)?;
            Some(TargetKey { pool, member })
        })
    }

    fn tables_by_digest(&self) -> HashMap<u64, Arc<PoolTable>> {
        self.pools
            .iter()
            .map(|table| (table.digest(), Arc::clone(table)))
            .collect()
    }
}

fn targets_by_group(targets: &[TargetRecord]) -> HashMap<GroupId, Vec<Member>> {
    let mut by_group: HashMap<GroupId, Vec<Member>> = HashMap::new();
    for target in targets.iter().filter(|target| target.state.may_hold()) {
        by_group
            .entry(target.group)
            .or_default()
            .push(Member::from(target));
    }
    by_group
}

fn members_of(
    groups: impl Iterator<Item = GroupId>,
    by_group: &HashMap<GroupId, Vec<Member>>,
) -> Vec<Member> {
    let mut members: Vec<Member> = groups
        .filter_map(|group| by_group.get(&group))
        .flatten()
        .copied()
        .collect();
    members.sort_unstable_by_key(|member| member.id);
    members.dedup_by_key(|member| member.id);
    members
}

fn rules_by_service<'a>(
    rules: &'a [Rule],
    pool_keys: &HashMap<&str, PoolKey>,
) -> HashMap<&'a str, Vec<RuleRoute>> {
    let mut by_service: HashMap<&str, Vec<RuleRoute>> = HashMap::new();
    for rule in rules {
        let Some(&pool) = pool_keys.get(rule.pool.as_str()) else {
            continue;
        };
        by_service
            .entry(rule.service.as_str())
            .or_default()
            .push(RuleRoute {
                share: Share::from(rule),
                pool,
            });
    }
    by_service
}

/// Identities of a choice's candidates, for the envelope of the packet.
pub fn candidate_ids<'a>(
    routes: &'a Routes,
    choice: &'a Choice,
) -> impl Iterator<Item = TargetId> + 'a {
    choice.candidates().map(|key| routes.target(key).id)
}
