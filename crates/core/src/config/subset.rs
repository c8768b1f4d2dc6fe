//! The subset of a revision that concerns one group of targets.

use std::collections::BTreeSet;

use super::documents::{Documents, Revision, Service};
use crate::id::GroupId;

impl Revision {
    /// Returns the revision reduced to the services that the group's targets may serve, with all
    /// their pools and rules.
    ///
    /// Pools without the group are included if such a service uses them, because their targets may
    /// hold flows of the service.
    #[must_use]
    pub fn subset_for(&self, group: GroupId) -> Self {
        Self {
            number: self.number,
            epoch: self.epoch,
            documents: self.documents.subset_for(group),
        }
    }
}

impl Documents {
    fn subset_for(&self, group: GroupId) -> Self {
        let services: Vec<Service> = self
            .services
            .iter()
            .filter(|service| self.concerns(service, group))
            .cloned()
            .collect();
        let service_names: BTreeSet<&str> = services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let pool_names: BTreeSet<&str> = services
            .iter()
            .flat_map(|service| self.pools_of(service))
            .map(|pool| pool.name.as_str())
            .collect();
        let pools = self.pools.iter();
        let rules = self.rules.iter();
        Self {
            pools: pools
                .filter(|pool| pool_names.contains(pool.name.as_str()))
                .cloned()
                .collect(),
            rules: rules
                .filter(|rule| service_names.contains(rule.service.as_str()))
                .cloned()
                .collect(),
            services,
        }
    }

    fn concerns(&self, service: &Service, group: GroupId) -> bool {
        self.pools_of(service)
            .any(|pool| pool.group_ids().any(|id| id == group))
    }
}
