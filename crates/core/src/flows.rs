//! The agent's decisions about flows.
//!
//! The truth about a flow is beside the target that serves it, so the agent and not the balancer
//! decides what becomes of a packet. It owns the flows it opened, remembers which flows it handed
//! to a peer, and searches for the holder of a flow it does not know before it resets it.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

/// How a packet came to this agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// From a balancer.
    Balancer,
    /// From a peer that chose this agent for a new flow: accept or refuse it here.
    Handed(TargetId),
    /// From a peer that does not hold the flow.
    Passed(TargetId),
}

/// A packet to decide about. `B` is the packet's bytes, opaque here.
#[derive(Clone, Debug)]
pub struct Packet<B> {
    /// The flow it belongs to.
    pub flow: FlowId,
    /// What its TCP header says.
    pub segment: Segment,
    /// How it came.
    pub arrival: Arrival,
    /// Other targets that may hold the flow, likeliest first.
    pub chain: Vec<TargetId>,
    /// Agents that have passed it on.
    pub hops: u32,
    /// Trace identity, zero if the packet is not sampled.
    pub trace: u64,
    /// The packet itself.
    pub bytes: B,
}

/// What a peer says about a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holding {
    /// It holds the flow.
    Here,
    /// It handed the flow to this target.
    At(TargetId),
    /// It knows nothing of the flow.
    No,
}

/// How a packet is sent to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relay {
    /// The peer must accept or refuse the new flow.
    Hand,
    /// The peer may hold the flow.
    Pass,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The destination is not an address of a service that this target serves.
    WrongService,
    /// Too many packets of unknown flows.
    UnknownLimit,
    /// Passed on too often.
    HopLimit,
    /// It answers nothing that a peer still holds.
    Stale,
}

/// What to do. Everything is to be done in the order given.
#[derive(Clone, Debug)]
pub enum Action<B> {
    /// Create an endpoint for the flow and give it the packet.
    Open {
        /// The opening packet.
        packet: Packet<B>,
    },
    /// Give the packet to the flow's endpoint.
    Deliver {
        /// The packet.
        packet: Packet<B>,
    },
    /// Send the packet to a peer, which gets it with one hop more.
    Send {
        /// The peer.
        to: TargetId,
        /// How.
        relay: Relay,
        /// The packet, its chain without this agent and the peer.
        packet: Packet<B>,
    },
    /// Ask a peer whether it holds the flow.
    Ask {
        /// The peer.
        to: TargetId,
        /// The flow.
        flow: FlowId,
    },
    /// Answer a peer's question.
    Reply {
        /// The peer.
        to: TargetId,
        /// The flow.
        flow: FlowId,
        /// What is known of it.
        holding: Holding,
    },
    /// Refuse the packet's flow at once: nothing of it was run.
    Refuse {
        /// The refused packet.
        packet: Packet<B>,
        /// Why.
        kind: ErrorKind,
        /// When the caller may come back.
        retry_after: Millis,
    },
    /// Do nothing but count.
    Drop {
        /// Why.
        reason: DropReason,
    },
}

/// Life of a flow that this agent opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    HalfOpen,
    Established,
}

/// The agent's table of flows.
#[derive(Debug)]
pub struct Flows {
    me: TargetId,
    held: HashMap<FlowId, Stage>,
}

impl Flows {
    /// A table without flows for the agent of target `me`.
    #[must_use]
    pub fn new(me: TargetId) -> Self {
        Self {
            me,
            held: HashMap::new(),
        }
    }

    /// Decides about a packet.
    pub fn on_packet<B>(&mut self, _now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if self.held.contains_key(&packet.flow) {
            out.push(Action::Deliver { packet });
            return;
        }
        if packet.segment.opens() {
            self.held.insert(packet.flow, Stage::HalfOpen);
            out.push(Action::Open { packet });
            return;
        }
        let me = self.me;
        let next = packet.chain.iter().copied().find(|other| *other != me);
        if let Some(to) = next {
            let mut packet = packet;
            packet.chain.retain(|other| *other != to && *other != me);
            out.push(Action::Send {
                to,
                relay: Relay::Pass,
                packet,
            });
            return;
        }
        out.push(Action::Refuse {
            packet,
            kind: ErrorKind::UnknownFlow,
            retry_after: Millis::ZERO,
        });
    }

    /// The endpoint finished the handshake.
    pub fn on_established(&mut self, flow: &FlowId) {
        if let Some(stage) = self.held.get_mut(flow) {
            *stage = Stage::Established;
        }
    }

    /// The endpoint is gone.
    pub fn on_closed(&mut self, flow: &FlowId) {
        self.held.remove(flow);
    }

    /// Flows held here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
