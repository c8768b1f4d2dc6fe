//! Lookup tables built from a revision: which service owns an address and which groups serve it.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::config::{Pool, RequestClass, Revision, Rule, Service, Share, Spill};
use crate::flow::FlowId;
use crate::id::{GroupId, ServiceId};

use super::rates::NewFlowLimits;

/// Index of a service in [`Services`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ServiceKey(u32);

/// Index of a pool in [`Services`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PoolKey(u32);

#[derive(Clone, Debug)]
struct PoolView {
    groups: Vec<GroupId>,
    flows_per_target: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct RuleView {
    share: Share,
    pool: PoolKey,
}

#[derive(Clone, Debug)]
struct ServiceView {
    id: ServiceId,
    pool: PoolKey,
    rules: Vec<RuleView>,
    new_flows: NewFlowLimits,
    spill: Spill,
    requests: RequestClass,
}

/// Services by address, with their pools and rules.
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    number: u64,
    by_address: HashMap<SocketAddr, ServiceKey>,
    views: Vec<ServiceView>,
    pools: Vec<PoolView>,
}

impl Services {
    pub(crate) fn build(revision: &Revision) -> Self {
        let documents = &revision.documents;
        let mut services = Self {
            number: revision.number,
            pools: documents.pools.iter().map(PoolView::from).collect(),
            ..Self::default()
        };
        let pools = pool_keys(&documents.pools);
        let rules = rules_by_service(&documents.rules, &pools);
        for service in &documents.services {
            services.add(service, &pools, &rules);
        }
        services
    }

    pub(crate) const fn number(&self) -> u64 {
        self.number
    }

    /// The service that owns the address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<ServiceKey> {
        self.by_address.get(&address).copied()
    }

    pub(crate) fn id(&self, service: ServiceKey) -> ServiceId {
        self.view(service).id
    }

    /// The pool for a new flow of the service: that of the first matching rule, else the service's.
    pub(crate) fn pool_for(&self, service: ServiceKey, flow: &FlowId) -> PoolKey {
        let view = self.view(service);
        let rule = view.rules.iter().find(|rule| rule.share.contains(flow));
        rule.map_or(view.pool, |rule| rule.pool)
    }

    /// Whether targets of the group serve the service.
    pub(crate) fn serves(&self, service: ServiceKey, group: GroupId) -> bool {
        let view = self.view(service);
        let of_rules = view.rules.iter().map(|rule| rule.pool);
        std::iter::once(view.pool)
            .chain(of_rules)
            .any(|pool| self.contains(pool, group))
    }

    /// Whether targets of the group belong to the pool.
    pub(crate) fn contains(&self, pool: PoolKey, group: GroupId) -> bool {
        self.pool(pool).groups.contains(&group)
    }

    /// Limits on the rate of new flows of the service.
    pub(super) fn new_flow_limits(&self, service: ServiceKey) -> NewFlowLimits {
        self.view(service).new_flows
    }

    /// How readily new flows of the service spill to another failure domain.
    pub(crate) fn spill(&self, service: ServiceKey) -> Spill {
        self.view(service).spill
    }

    /// The class of the service's requests.
    pub(crate) fn requests(&self, service: ServiceKey) -> RequestClass {
        self.view(service).requests
    }

    /// Whether the revision contains a service with this ID.
    pub(crate) fn has(&self, id: ServiceId) -> bool {
        self.views.iter().any(|view| view.id == id)
    }

    /// Maximum number of flows per target of the pool, `usize::MAX` if unlimited.
    pub(crate) fn flows_per_target(&self, pool: PoolKey) -> usize {
        let limit = self.pool(pool).flows_per_target;
        limit.map_or(usize::MAX, |limit| limit as usize)
    }

    fn add(&mut self, service: &Service, pools: &PoolKeys, rules: &RulesByService) {
        let Some(&pool) = pools.get(service.pool.as_str()) else {
            return;
        };
        let key = ServiceKey(u32::try_from(self.views.len()).unwrap_or(u32::MAX));
        for address in &service.addresses {
            self.by_address.insert(*address, key);
        }
        let rules = rules.get(service.name.as_str());
        self.views.push(ServiceView {
            id: service.id(),
            pool,
            rules: rules.cloned().unwrap_or_default(),
            new_flows: NewFlowLimits {
                per_s: service.new_flows_per_s,
                per_s_per_caller: service.new_flows_per_s_per_caller,
            },
            spill: service.spill,
            requests: service.requests,
        });
    }

    fn view(&self, service: ServiceKey) -> &ServiceView {
        &self.views[service.0 as usize]
    }

    fn pool(&self, pool: PoolKey) -> &PoolView {
        &self.pools[pool.0 as usize]
    }
}

impl From<&Pool> for PoolView {
    fn from(pool: &Pool) -> Self {
        Self {
            groups: pool.group_ids().collect(),
            flows_per_target: pool.flows_per_target,
        }
    }
}

type PoolKeys<'a> = HashMap<&'a str, PoolKey>;
type RulesByService<'a> = HashMap<&'a str, Vec<RuleView>>;

fn pool_keys(pools: &[Pool]) -> PoolKeys<'_> {
    let keys = (0_u32..).map(PoolKey);
    pools
        .iter()
        .map(|pool| pool.name.as_str())
        .zip(keys)
        .collect()
}

fn rules_by_service<'a>(rules: &'a [Rule], pools: &PoolKeys) -> RulesByService<'a> {
    let mut by_service = RulesByService::new();
    for rule in rules {
        let Some(&pool) = pools.get(rule.pool.as_str()) else {
            continue;
        };
        by_service
            .entry(rule.service.as_str())
            .or_default()
            .push(RuleView {
                share: Share::from(rule),
                pool,
            });
    }
    by_service
}
