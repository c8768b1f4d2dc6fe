//! Validation of the addresses of services.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use super::{Findings, HeldAddress, MAX_ADDRESSES, Problem, Service, length_problem};
use crate::config::problem::DocumentKind;

pub(super) fn check(services: &[Service], held: &[HeldAddress], findings: &mut Findings) {
    let held: BTreeMap<SocketAddr, &str> = held
        .iter()
        .map(|held| (held.address, held.service.as_str()))
        .collect();
    let mut owners: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for service in services {
        let mut add = |problem: Problem| {
            findings.add(DocumentKind::Service, &service.name, "addresses", problem);
        };
        if service.addresses.is_empty() {
            add(Problem::NoAddress);
        }
        if let Some(problem) = length_problem(service.addresses.len(), MAX_ADDRESSES) {
            add(problem);
        }
        for &address in &service.addresses {
            if !is_usable(address) {
                add(Problem::UnusableAddress(address));
            }
            if let Some(problem) = owner_problem(service, address, &mut owners) {
                add(problem);
            }
            if let Some(&owner) = held.get(&address)
                && owner != service.name
            {
                let service = String::from(owner);
                add(Problem::HeldAddress { address, service });
            }
        }
    }
}

fn owner_problem<'a>(
    service: &'a Service,
    address: SocketAddr,
    owners: &mut BTreeMap<SocketAddr, &'a str>,
) -> Option<Problem> {
    let owner = owners.insert(address, &service.name)?;
    if owner == service.name {
        return Some(Problem::DuplicateAddress(address));
    }
    let service = String::from(owner);
    Some(Problem::SharedAddress { address, service })
}

/// Returns whether callers can connect to the address.
///
/// An IPv4-mapped IPv6 address is rejected, because packets carry the IPv4 address and would never
/// match it.
fn is_usable(address: SocketAddr) -> bool {
    let is_usable_ip = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => {
            !ip.is_unspecified() && !ip.is_multicast() && ip.to_ipv4_mapped().is_none()
        }
    };
    is_usable_ip && address.port() != 0
}
