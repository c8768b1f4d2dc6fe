//! The share of a service's callers that a rule selects.
//!
//! Balancers and agents must agree on the share for a flow to stay in its pool, so both use this
//! code.

use std::net::SocketAddr;

use super::Rule;
use crate::flow::FlowId;
use crate::hash;

/// A share of all callers. Only the caller's IP address counts, so all flows of one caller go to
/// the same pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    seed: u64,
    percent: u64,
}

impl From<&Rule> for Share {
    fn from(rule: &Rule) -> Self {
        Self {
            seed: hash::bytes(rule.name.as_bytes(), 0),
            percent: u64::from(rule.percent),
        }
    }
}

impl Share {
    /// Returns whether the flow's caller belongs to the share.
    #[must_use]
    pub fn contains(&self, flow: &FlowId) -> bool {
        let caller = SocketAddr::new(flow.caller.ip(), 0);
        hash::socket_addr(caller, self.seed) % 100 < self.percent
    }
}
