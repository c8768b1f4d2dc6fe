//! Searches for the holders of flows.
//!
//! A search keeps the packets that caused it until a peer says that it holds the flow, every
//! peer has denied it, or time is up. Who is still to answer is worked out from the peers known
//! at that moment, so that a peer that joins during the search is asked too and one that dies is
//! not waited for.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::{ServiceId, TargetId};

use super::FlowLimits;
use super::packet::Packet;

/// One search.
#[derive(Debug)]
pub(super) struct Search<B> {
    /// The service that the flow's address belongs to.
    pub(super) service: ServiceId,
    /// Peers that do not hold the flow.
    pub(super) denied: Vec<TargetId>,
    /// Where a peer redirected the flow.
    pub(super) handed_to: Option<TargetId>,
    /// Whether somebody named a holder that this agent does not know.
    pub(super) has_unknown_holder: bool,
    /// Whether the flow may be reset once every peer has denied it.
    pub(super) may_reset: bool,
    /// Packets that wait for the outcome, at least one.
    pub(super) kept: Vec<Packet<B>>,
    /// Times that the peers were asked.
    pub(super) rounds: u32,
    /// When they are asked again.
    pub(super) ask_at: Millis,
}

impl<B> Search<B> {
    pub(super) fn new(service: ServiceId, may_reset: bool, packet: Packet<B>) -> Self {
        let mut search = Self {
            service,
            denied: Vec::new(),
            handed_to: None,
            has_unknown_holder: false,
            may_reset,
            kept: Vec::new(),
            rounds: 0,
            ask_at: Millis::ZERO,
        };
        search.keep(packet);
        search
    }

    pub(super) fn deny(&mut self, peer: TargetId) {
        if !self.denied.contains(&peer) {
            self.denied.push(peer);
        }
    }

    /// Whether one of the packets came from this peer.
    pub(super) fn came_from(&self, peer: TargetId) -> bool {
        self.kept
            .iter()
            .any(|packet| packet.arrival.sender() == Some(peer))
    }

    /// A peer that passes a packet on does not hold its flow.
    fn keep(&mut self, packet: Packet<B>) {
        if let Some(sender) = packet.arrival.sender() {
            self.deny(sender);
        }
        self.kept.push(packet);
    }
}

/// Searches in progress, in the order of flows so that decisions repeat under one seed.
#[derive(Debug)]
pub(super) struct Searches<B> {
    by_flow: BTreeMap<FlowId, Search<B>>,
    kept: usize,
}

impl<B> Searches<B> {
    pub(super) const fn new() -> Self {
        Self {
            by_flow: BTreeMap::new(),
            kept: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_flow.len()
    }

    /// Packets that wait for an outcome.
    pub(super) const fn kept(&self) -> usize {
        self.kept
    }

    pub(super) fn has_room(&self, limits: &FlowLimits) -> bool {
        self.by_flow.len() < limits.searches && self.kept < limits.search_packets
    }

    pub(super) fn insert(&mut self, flow: FlowId, search: Search<B>) {
        self.kept += search.kept.len();
        self.by_flow.insert(flow, search);
    }

    pub(super) fn get_mut(&mut self, flow: &FlowId) -> Option<&mut Search<B>> {
        self.by_flow.get_mut(flow)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<Search<B>> {
        let search = self.by_flow.remove(flow)?;
        self.kept -= search.kept.len();
        Some(search)
    }

    /// Adds a packet to a search, or returns it if there is no room or no search.
    pub(super) fn keep(&mut self, limits: &FlowLimits, packet: Packet<B>) -> Option<Packet<B>> {
        let Some(search) = self.by_flow.get_mut(&packet.flow) else {
            return Some(packet);
        };
        let is_full = search.kept.len() >= limits.search_packets_per_flow;
        if is_full || self.kept >= limits.search_packets {
            return Some(packet);
        }
        search.keep(packet);
        self.kept += 1;
        None
    }

    pub(super) fn flows(&self) -> Vec<FlowId> {
        self.by_flow.keys().copied().collect()
    }
}
