//! Shapes of the documents that operators edit.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::{GroupId, ServiceId};

/// How a refused flow is answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A TCP reset.
    #[default]
    Reset,
    /// An HTTP 503 with Retry-After.
    Unavailable,
}

/// How readily new flows are sent to another failure domain when their own is busier.
///
/// Traffic between domains costs by the byte, so it depends on how much a flow carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spill {
    /// At a small difference in load: the flows carry few bytes.
    Early,
    /// At a clear difference in load.
    #[default]
    Normal,
    /// Only from a domain without room: the flows carry many bytes.
    Late,
}

/// What the callers of a service expect of each request.
///
/// Only pass-through delivery asks: it decides by these which request goes first, how long one may wait
/// and when it is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestClass {
    /// Time within which an answer is of full use, in ms.
    pub objective_ms: Millis,
    /// Time after which an answer is of no use, in ms.
    pub time_limit_ms: Millis,
    /// Urgency, 0 for the most urgent.
    pub priority: u8,
    /// A request may be run twice, so that its caller may try again when it got no answer.
    pub is_repeatable: bool,
}

impl Default for RequestClass {
    /// A person notices longer waits than the objective, and gives up after the time limit.
    fn default() -> Self {
        Self {
            objective_ms: Millis(250),
            time_limit_ms: Millis::from_secs(2),
            priority: 5,
            is_repeatable: false,
        }
    }
}

/// A name that callers reach at one or more addresses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// IP numbers and TCP ports that callers use.
    pub addresses: Vec<SocketAddr>,
    /// Name of the pool that serves it where no rule says otherwise.
    pub pool: String,
    /// How a refused flow is answered.
    #[serde(default)]
    pub refusal: Refusal,
    /// New flows a second over the whole service, none for no limit.
    #[serde(default)]
    pub new_flows_per_s: Option<u32>,
    /// New flows a second from one caller's IP number, none for no limit.
    #[serde(default)]
    pub new_flows_per_s_per_caller: Option<u32>,
    /// How readily new flows leave the caller's failure domain. Only pass-through delivery asks.
    #[serde(default)]
    pub spill: Spill,
    /// What callers expect of a request.
    #[serde(default)]
    pub requests: RequestClass,
}

/// A set of targets, named by the groups that they announce.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// Groups whose targets belong to the pool.
    pub groups: Vec<String>,
    /// Flows that one target may hold, none for no limit.
    #[serde(default)]
    pub flows_per_target: Option<u32>,
}

/// Sends some of a service's callers to another pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Name of the pool for the flows that match.
    pub pool: String,
    /// Share of the callers' IP numbers, in percent.
    pub percent: u8,
}

/// The whole set that is checked and published together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Documents {
    /// Services by name.
    pub services: Vec<Service>,
    /// Pools by name.
    pub pools: Vec<Pool>,
    /// Rules by name.
    pub rules: Vec<Rule>,
}

/// A checked whole set with the number under which it is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Only grows.
    pub number: u64,
    /// Epoch of the publisher's lease that wrote it.
    pub epoch: u64,
    /// The checked set.
    pub documents: Documents,
}

impl Service {
    /// Identity of the service in messages.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

impl Pool {
    /// Identities of the groups that the pool selects.
    pub fn group_ids(&self) -> impl Iterator<Item = GroupId> {
        self.groups.iter().map(|name| GroupId::of(name))
    }
}

impl Documents {
    /// Brings the documents into the order of their names, in which they are published. Of two
    /// rules of a service, the first by name is asked first.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.rules.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// The pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Every pool that may hold flows of `service`: its own and those of its rules.
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
