//! Documents that operators edit, and the revision that they form.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::{GroupId, ServiceId};

/// Response to a refused flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Reset the connection (TCP RST).
    #[default]
    Reset,
    /// Respond with HTTP 503 and Retry-After.
    Unavailable,
}

/// Difference in load at which new flows are sent to another failure domain.
///
/// Traffic between failure domains is charged per byte, so the right setting depends on how much
/// data a flow carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spill {
    /// At a small difference in load, for flows that carry few bytes.
    Early,
    /// At a clear difference in load.
    #[default]
    Normal,
    /// Only from a domain without free capacity, for flows that carry many bytes.
    Late,
}

/// Request class: what the callers of a service expect of each request.
///
/// Only pass-through delivery uses it, to decide which request goes first, how long a request may
/// wait and when it is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestClass {
    /// Latency objective: time within which a response is fully useful, in ms.
    pub objective_ms: Millis,
    /// Time limit, in ms. A later response is useless to the caller.
    pub time_limit_ms: Millis,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Whether requests are idempotent. A caller may then retry a request that got no response.
    pub is_repeatable: bool,
}

impl Default for RequestClass {
    /// Returns values for interactive use: people notice a latency above the objective, and give up
    /// after the time limit.
    fn default() -> Self {
        Self {
            objective_ms: Millis(250),
            time_limit_ms: Millis::from_secs(2),
            priority: 5,
            is_repeatable: false,
        }
    }
}

/// A service that callers reach at one or more addresses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// IP addresses and TCP ports that callers connect to.
    pub addresses: Vec<SocketAddr>,
    /// Name of the pool for flows that no rule matches.
    pub pool: String,
    /// Response to a refused flow.
    #[serde(default)]
    pub refusal: Refusal,
    /// Limit of new flows per second over the whole service, `None` for no limit.
    #[serde(default)]
    pub new_flows_per_s: Option<u32>,
    /// Limit of new flows per second from one caller's IP address, `None` for no limit.
    #[serde(default)]
    pub new_flows_per_s_per_caller: Option<u32>,
    /// Difference in load at which new flows leave the caller's failure domain. Only pass-through
    /// delivery uses it.
    #[serde(default)]
    pub spill: Spill,
    /// Request class of all requests to the service.
    #[serde(default)]
    pub requests: RequestClass,
}

/// A set of targets, selected by the groups that they announce.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// Groups whose targets belong to the pool.
    pub groups: Vec<String>,
    /// Maximum number of flows that one target may hold, `None` for no limit.
    #[serde(default)]
    pub flows_per_target: Option<u32>,
}

/// Sends a share of a service's callers to another pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Name of the pool for the flows that match.
    pub pool: String,
    /// Share of the callers' IP addresses, in percent.
    pub percent: u8,
}

/// A whole set of documents, checked and published together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Documents {
    /// Services, sorted by name when published.
    pub services: Vec<Service>,
    /// Pools, sorted by name when published.
    pub pools: Vec<Pool>,
    /// Rules, sorted by name when published.
    pub rules: Vec<Rule>,
}

/// A checked set of documents and its revision number.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Revision number, which never decreases.
    pub number: u64,
    /// Epoch of the publisher lease under which it was written.
    pub epoch: u64,
    /// The checked documents.
    pub documents: Documents,
}

impl Service {
    /// Returns the identity of the service in messages.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

impl Pool {
    /// Returns the identities of the groups that the pool selects.
    pub fn group_ids(&self) -> impl Iterator<Item = GroupId> {
        self.groups.iter().map(|name| GroupId::of(name))
    }
}

impl Documents {
    /// Sorts the documents by name, the order in which they are published. If two rules of a
    /// service match a flow, the first by name applies.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.rules.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns every pool that may hold flows of `service`: its own pool and those of its rules.
    pub fn pools_of<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Pool> {
        let of_rules = self
            .rules
            .iter()
            .filter(|rule| rule.service == service.name)
            .map(|rule| rule.pool.as_str());
        std::iter::once(service.pool.as_str())
            .chain(of_rules)
            .filter_map(|name| self.pool(name))
    }
}
