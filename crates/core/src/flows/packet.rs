//! What goes into the decisions and what comes out of them.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

/// How a packet came to this agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrival {
    /// From a balancer.
    Balancer,
    /// From a peer that chose this agent for a new flow: accept or refuse it here.
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

/// A packet to decide about. `B` is the packet's bytes, opaque here.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Packet<B> {
    /// The flow it belongs to.
    pub flow: FlowId,
    /// What its TCP header says.
    pub segment: Segment,
    /// How it came.
    pub arrival: Arrival,
    /// Other targets that may hold the flow, likeliest first.
    #[serde(rename = "chain")]
    pub candidates: Vec<TargetId>,
    /// Agents that have passed it on.
    pub hops: u32,
    /// Trace identity, zero if the packet is not sampled.
    pub trace: u64,
    /// The packet itself.
    pub bytes: B,
}

/// What a peer says about a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// It holds the flow.
    Here,
    /// It redirected the flow to this target.
    At(TargetId),
    /// It knows nothing of the flow.
    No,
}

/// How a packet is sent to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Relay {
    /// The peer must accept or refuse the new flow.
    Redirect,
    /// The peer may hold the flow.
    Pass,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// The destination is not an address of a service that this target serves.
    WrongService,
    /// Too many packets of unknown flows.
    UnknownLimit,
    /// Passed on too often.
    HopLimit,
    /// It belongs to a flow that has ended, or to none that a peer still holds.
    Stale,
    /// It repeats an opening packet that waits for room.
    Waiting,
    /// Not every peer that may hold its flow has answered.
    Unanswered,
}

/// Why an endpoint must go.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The service's address belongs to another service now. The caller gets a reset.
    Reassigned,
    /// The handshake took too long. The caller gets nothing.
    HalfOpenTimeout,
    /// Too many handshakes are open and this one is the oldest. The caller gets nothing.
    HalfOpenLimit,
}

impl CloseReason {
    /// Whether the caller gets a reset.
    ///
    /// A half-open endpoint goes in silence, because another agent may have finished the
    /// handshake of the same flow.
    #[must_use]
    pub const fn resets(self) -> bool {
        matches!(self, Self::Reassigned)
    }
}

/// What to do. Everything is to be done in the order given.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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
        /// The packet, its candidates without this agent and the peer.
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
    /// Remove the flow's endpoint. It needs no [`on_closed`](super::Flows::on_closed).
    Close {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: CloseReason,
    },
    /// Do nothing but count.
    Drop {
        /// Why.
        reason: DropReason,
    },
}
