//! Inputs and outputs of the flow decisions.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

/// How a packet reached this agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrival {
    /// From a balancer.
    Balancer,
    /// From a peer that chose this agent for a new flow. The flow is to be opened or refused, or
    /// redirected further within the redirect limit.
    Redirected(TargetId),
    /// From a peer that does not hold the flow.
    Passed(TargetId),
}

impl Arrival {
    /// The peer that sent the packet.
    #[must_use]
    pub const fn sender(self) -> Option<TargetId> {
        match self {
            Self::Balancer => None,
            Self::Redirected(peer) | Self::Passed(peer) => Some(peer),
        }
    }
}

/// A packet to decide on. `B` is the packet's bytes, which are not inspected here.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Packet<B> {
    /// The flow that the packet belongs to.
    pub flow: FlowId,
    /// Fields of its TCP header.
    pub segment: Segment,
    /// How it reached this agent.
    pub arrival: Arrival,
    /// Other targets that may hold the flow, likeliest first.
    #[serde(rename = "chain")]
    pub candidates: Vec<TargetId>,
    /// Number of agents that have forwarded it.
    pub hops: u32,
    /// Trace ID, zero if the packet is not sampled.
    pub trace: u64,
    /// The packet itself.
    pub bytes: B,
}

/// A peer's answer to whether it holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// It holds the flow.
    Here,
    /// It redirected the flow to this target.
    At(TargetId),
    /// It does not hold the flow and has no redirect for it.
    No,
}

/// How a packet is sent to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Relay {
    /// The peer is to open or refuse the new flow, or to redirect it within the redirect limit.
    Redirect,
    /// The peer may hold the flow.
    Pass,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// The destination is no address of a service that this target serves.
    WrongService,
    /// The limits on packets of unknown flows are exceeded.
    UnknownLimit,
    /// Forwarded by too many agents.
    HopLimit,
    /// It belongs to a flow that has ended or is held by no peer.
    Stale,
    /// It is a retransmission of a SYN that already waits for capacity.
    Waiting,
    /// Not every peer that may hold its flow has answered, or the flow may not be reset yet.
    Unanswered,
}

/// Why an endpoint is closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The flow's address was reassigned to another service. The caller gets a reset.
    Reassigned,
    /// The handshake timed out. The caller gets no packet.
    HalfOpenTimeout,
    /// The limit of half-open flows is exceeded and this flow is the oldest. The caller gets no
    /// packet.
    HalfOpenLimit,
}

impl CloseReason {
    /// Whether the caller gets a reset.
    ///
    /// A half-open endpoint is closed without one, because another agent may have finished the
    /// handshake of the same flow.
    #[must_use]
    pub const fn resets(self) -> bool {
        matches!(self, Self::Reassigned)
    }
}

/// An action to perform. Actions are to be performed in the given order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action<B> {
    /// Create an endpoint for the flow and deliver the packet to it.
    Open {
        /// The initial SYN.
        packet: Packet<B>,
    },
    /// Deliver the packet to the flow's endpoint.
    Deliver {
        /// The packet.
        packet: Packet<B>,
    },
    /// Send the packet to a peer, with its hop count increased by one.
    Send {
        /// The peer.
        to: TargetId,
        /// Whether to redirect or to pass it.
        relay: Relay,
        /// The packet, with this agent and the peer removed from its candidates.
        packet: Packet<B>,
    },
    /// Ask a peer whether it holds the flow.
    Ask {
        /// The peer.
        to: TargetId,
        /// The flow.
        flow: FlowId,
    },
    /// Answer a peer's question, or notify it without one.
    Reply {
        /// The peer.
        to: TargetId,
        /// The flow.
        flow: FlowId,
        /// Where the flow is.
        holding: Holding,
    },
    /// Refuse the packet's flow, or reset it if it is unknown. No part of a refused flow was
    /// processed.
    Refuse {
        /// The refused packet.
        packet: Packet<B>,
        /// Why.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// Close the flow's endpoint. [`on_closed`](super::Flows::on_closed) is not to be called for
    /// it.
    Close {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: CloseReason,
    },
    /// Drop the packet. Drops are only counted.
    Drop {
        /// Why.
        reason: DropReason,
    },
}
