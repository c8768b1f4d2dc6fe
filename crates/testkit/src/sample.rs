//! Sample fleet with one service and one pool, which most runs use.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use citronhollow_core::config::{Documents, Pool, Refusal, Service};
use citronhollow_core::flow::FlowId;

use crate::fleet::TargetPlan;

/// Name of the service, of its pool and of the group of its targets.
pub const NAME: &str = "match-desk";

/// Address of the service.
pub const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1)), 443);

/// Source port of every caller.
const CALLER_PORT: u16 = 20_000;

/// Returns the documents of the service and its pool.
#[must_use]
pub fn documents() -> Documents {
    let service = Service {
        name: String::from(NAME),
        addresses: vec![ADDRESS],
        pool: String::from(NAME),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = Pool {
        name: String::from(NAME),
        groups: vec![String::from(NAME)],
        flows_per_target: None,
    };
    Documents {
        services: vec![service],
        pools: vec![pool],
        rules: Vec::new(),
    }
}

/// Returns the plan of the target with this number.
#[must_use]
pub fn target(number: u16) -> TargetPlan {
    TargetPlan {
        name: format!("desk-{number}"),
        group: String::from(NAME),
        service: String::from(NAME),
        slots: 2,
        work_ms: 5,
    }
}

/// Returns the flow of the caller with this number; each caller has its own IP address.
#[must_use]
pub fn flow(number: u32) -> FlowId {
    let first = Ipv4Addr::new(10, 9, 0, 1).to_bits();
    FlowId {
        caller: SocketAddr::from((Ipv4Addr::from_bits(first + number), CALLER_PORT)),
        service: ADDRESS,
    }
}
