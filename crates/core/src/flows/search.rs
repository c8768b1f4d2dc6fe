//! State of the searches for the holders of flows.
//!
//! A search keeps the packets that caused it until a peer answers that it holds the flow, every
//! peer has given a negative answer, or the last round times out. The peers still to answer are
//! derived from the current list of peers, so a peer that joins during the search is asked too and
//! one that dies is not waited for.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::{ServiceId, TargetId};

use super::FlowLimits;
use super::packet::Packet;

/// One search for a flow's holder.
#[derive(Debug)]
pub(super) struct Search<B> {
    /// The service that owns the flow's address.
    pub(super) service: ServiceId,
    /// Peers that do not hold the flow.
    pub(super) not_held_by: Vec<TargetId>,
    /// The target to which a peer redirected the flow.
    pub(super) redirected_to: Option<TargetId>,
    /// Whether a peer named a holder that is unknown to this agent.
    pub(super) has_unknown_holder: bool,
    /// Whether the flow may be reset once every peer has given a negative answer.
    pub(super) may_reset: bool,
    /// Packets that wait for the outcome. Never empty.
    pub(super) kept: Vec<Packet<B>>,
    /// Rounds of questions so far.
    pub(super) rounds: u32,
    /// When the next round is due.
    pub(super) ask_at: Millis,
}

impl<B> Search<B> {
    pub(super) fn new(service: ServiceId, may_reset: bool, packet: Packet<B>) -> Self {
        let mut search = Self {
            service,
            not_held_by: Vec::new(),
            redirected_to: None,
            has_unknown_holder: false,
            may_reset,
            kept: Vec::new(),
            rounds: 0,
            ask_at: Millis::ZERO,
        };
        search.keep(packet);
        search
    }

    pub(super) fn mark_not_held(&mut self, peer: TargetId) {
        if !self.not_held_by.contains(&peer) {
            self.not_held_by.push(peer);
        }
    }

    /// Whether one of the packets came from this peer.
    pub(super) fn came_from(&self, peer: TargetId) -> bool {
        self.kept
            .iter()
            .any(|packet| packet.arrival.sender() == Some(peer))
    }

    /// Keeps a packet. A peer that passed it on does not hold its flow.
    fn keep(&mut self, packet: Packet<B>) {
        if let Some(sender) = packet.arrival.sender() {
            self.mark_not_held(sender);
        }
        self.kept.push(packet);
    }
}

/// Searches in progress, ordered by flow so that decisions are reproducible for a given seed.
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

    /// Number of packets that wait for an outcome.
    pub(super) const fn kept(&self) -> usize {
        self.kept
    }

    pub(super) fn has_capacity(&self, limits: &FlowLimits) -> bool {
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

    /// Adds a packet to its flow's search. Returns the packet if there is no capacity or no such
    /// search.
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
