//! Addresses that must not move to another service yet.
//!
//! A process with an older revision still delivers an address's packets to the former service. An
//! address therefore stays reserved for the service that released it until every live process
//! reports a revision without it.

use super::{FleetState, IndexState};
use crate::config::{Documents, HeldAddress};
use crate::publisher::index::Reservation;

/// Returns the addresses in force, and those released after the lowest revision that is reported.
pub(super) fn held_addresses(current: &IndexState, fleet: &FleetState) -> Vec<HeldAddress> {
    let released = current
        .index
        .reserved
        .iter()
        .filter(|reserved| reserved.released_in > fleet.lowest_reported)
        .map(|reserved| reserved.held.clone());
    addresses_of(&current.documents).chain(released).collect()
}

fn addresses_of(documents: &Documents) -> impl Iterator<Item = HeldAddress> {
    documents.services.iter().flat_map(|service| {
        service.addresses.iter().map(|&address| HeldAddress {
            address,
            service: service.name.clone(),
        })
    })
}

/// Returns the reservations for a new revision: the existing ones that are still needed, and the
/// addresses that the revision releases.
pub(super) fn reservations(
    current: &IndexState,
    documents: &Documents,
    number: u64,
    fleet: &FleetState,
) -> Vec<Reservation> {
    let kept = current.index.reserved.iter().cloned();
    let released = addresses_of(&current.documents).map(|held| Reservation {
        held,
        released_in: number,
    });
    let in_use: Vec<HeldAddress> = addresses_of(documents).collect();
    kept.chain(released)
        .filter(|reserved| reserved.released_in > fleet.lowest_reported)
        .filter(|reserved| !in_use.contains(&reserved.held))
        .collect()
}
