//! Messages on the traffic path: packets, questions about flows, and load.

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Tag of [`Forward::packet`].
pub(crate) const PACKET_TAG: u32 = 15;

/// How a packet came to be sent.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Relay {
    /// By a balancer.
    Balancer = 0,
    /// By an agent that wants the receiver to accept or refuse the new flow.
    Redirect = 1,
    /// By an agent that does not hold the flow.
    Pass = 2,
}

/// A caller's packet on its way to the agent that holds its flow.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Revision by which the sender chose.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Other targets that may hold the flow, likeliest first.
    #[prost(fixed64, repeated, tag = "3")]
    pub candidates: Vec<u64>,
    /// Agents that have passed the packet on.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
    /// Trace identity, zero if the packet is not sampled.
    #[prost(fixed64, tag = "5")]
    pub trace: u64,
    /// How the packet came to be sent.
    #[prost(enumeration = "Relay", tag = "6")]
    pub relay: i32,
    /// The agent's target that sent it, zero for a balancer.
    #[prost(fixed64, tag = "7")]
    pub sender: u64,
    /// Why a packet of pass-through delivery is sent.
    #[prost(enumeration = "super::Offer", tag = "8")]
    pub offer: i32,
    /// The group that a packet of pass-through delivery is meant for.
    #[prost(fixed64, tag = "9")]
    pub group: u64,
    /// What the caller of a new flow expects, none for a flow that is open.
    #[prost(message, optional, tag = "10")]
    pub request_class: Option<super::RequestClass>,
    /// Time since the caller of a new flow sent its first packet, in ms.
    #[prost(uint64, tag = "11")]
    pub age_ms: u64,
    /// The IP packet as the fabric delivered it. Its tag is the highest, so that it is encoded last
    /// and the frame's tag can leave out the end of it.
    #[prost(bytes = "bytes", tag = "15")]
    pub packet: Bytes,
}

/// Does the receiver hold this flow?
#[derive(Clone, PartialEq, Message)]
pub struct Question {
    /// Target of the asking agent.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// The caller's address.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
    /// The service's address.
    #[prost(bytes = "vec", tag = "3")]
    pub service: Vec<u8>,
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Holding {
    /// Nothing.
    No = 0,
    /// It holds the flow.
    Here = 1,
    /// It redirected the flow to the target in `at`.
    At = 2,
    /// The target may hold the flow. Only in pass-through delivery.
    Maybe = 3,
    /// The opening packet of the flow waits for room at the target. Only in pass-through delivery.
    Waiting = 4,
}

/// Answer to a [`Question`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Target of the answering agent.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// The caller's address.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
    /// The service's address.
    #[prost(bytes = "vec", tag = "3")]
    pub service: Vec<u8>,
    /// What is known.
    #[prost(enumeration = "Holding", tag = "4")]
    pub holding: i32,
    /// Where the flow was redirected, zero unless `holding` says so.
    #[prost(fixed64, tag = "5")]
    pub at: u64,
}

/// True load of the sender, reported to the peers of its pool a few times a second.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Target of the sender.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Start of the sender that the report belongs to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with every report, so that a late one is ignored.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Flows held.
    #[prost(uint32, tag = "4")]
    pub open: u32,
    /// Flows with a request that the target has not answered.
    #[prost(uint32, tag = "5")]
    pub busy: u32,
    /// Flows that wait in the queue.
    #[prost(uint32, tag = "6")]
    pub queued: u32,
    /// Requests that the target can work on at once, ramped after a cold start, in thousandths.
    #[prost(uint32, tag = "7")]
    pub milli_slots: u32,
    /// Whether the sender takes new flows.
    #[prost(bool, tag = "8")]
    pub takes_new: bool,
    /// Connects to the target that failed lately, in thousandths of all.
    #[prost(uint32, tag = "9")]
    pub milli_failures: u32,
}

/// An operator's request that the target takes no new flow, or takes them again.
///
/// It goes to the agent directly, so that it works while the platform is down. The agent answers
/// with a [`super::Heartbeat`] that shows its state. Idempotent.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct Drain {
    /// Whether the target drains.
    #[prost(bool, tag = "1")]
    pub on: bool,
}
