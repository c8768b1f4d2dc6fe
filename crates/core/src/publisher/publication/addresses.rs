//! Addresses that may not change hands yet.
//!
//! Whoever is behind still hands an address's packets to its former service. An address therefore
//! stays with the service that released it until every live process reports a revision without it.

use super::{Current, Surroundings};
use crate::config::{Documents, HeldAddress};
use crate::publisher::index::Reservation;

/// Addresses in force and those released since the slowest process's revision.
pub(super) fn held_addresses(current: &Current, around: &Surroundings) -> Vec<HeldAddress> {
    let released = current
        .index
        .reserved
        .iter()
        .filter(|reserved| reserved.released_in > around.lowest_reported)
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

/// The reservations that hold after a new set: those still needed, and the addresses it releases.
pub(super) fn reservations(
    current: &Current,
    documents: &Documents,
    number: u64,
    around: &Surroundings,
) -> Vec<Reservation> {
    let kept = current.index.reserved.iter().cloned();
    let released = addresses_of(&current.documents).map(|held| Reservation {
        held,
        released_in: number,
    });
    let in_use: Vec<HeldAddress> = addresses_of(documents).collect();
    kept.chain(released)
        .filter(|reserved| reserved.released_in > around.lowest_reported)
        .filter(|reserved| !in_use.contains(&reserved.held))
        .collect()
}
