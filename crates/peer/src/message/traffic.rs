//! Messages of the data plane: packets, questions about flows, and load.

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Tag of [`Forward::packet`].
pub(crate) const PACKET_TAG: u32 = 15;

/// Kind of sender of a forwarded packet.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Relay {
    /// A balancer.
    Balancer = 0,
    /// An agent that redirects a new flow: the receiver must accept or refuse it.
    Redirect = 1,
    /// An agent that passes the packet on because it does not hold the flow.
    Pass = 2,
}

/// Packet of a caller, forwarded towards the agent that holds its flow.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Revision by which the sender chose the receiver.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Other targets that may hold the flow, the most likely first.
    #[prost(fixed64, repeated, tag = "3")]
    pub candidates: Vec<u64>,
    /// Number of agents that have passed the packet on.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
    /// Trace identity, zero if the packet is not sampled.
    #[prost(fixed64, tag = "5")]
    pub trace: u64,
    /// Kind of sender.
    #[prost(enumeration = "Relay", tag = "6")]
    pub relay: i32,
    /// Target of the sending agent, zero for a balancer.
    #[prost(fixed64, tag = "7")]
    pub sender: u64,
    /// Pass-through: reason for which the packet is forwarded.
    #[prost(enumeration = "super::Offer", tag = "8")]
    pub offer: i32,
    /// Pass-through: group that the packet is meant for.
    #[prost(fixed64, tag = "9")]
    pub group: u64,
    /// Request class of a new flow, none for an established flow.
    #[prost(message, optional, tag = "10")]
    pub request_class: Option<super::RequestClass>,
    /// Time since the caller of a new flow sent its first SYN, in ms.
    #[prost(uint64, tag = "11")]
    pub age_ms: u64,
    /// IP packet as received from the fabric. The field has the highest number so that it is
    /// encoded last, where the frame's authentication tag can leave out its tail.
    #[prost(bytes = "bytes", tag = "15")]
    pub packet: Bytes,
}

/// Question whether the receiver holds a flow.
#[derive(Clone, PartialEq, Message)]
pub struct Question {
    /// Target of the asking agent, zero for a balancer.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Address of the caller.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
    /// Address of the service.
    #[prost(bytes = "vec", tag = "3")]
    pub service: Vec<u8>,
}

/// Answer to the question whether an agent holds a flow.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Holding {
    /// The agent does not hold the flow.
    No = 0,
    /// The agent holds the flow.
    Here = 1,
    /// The agent redirected the flow to the target in `at`.
    At = 2,
    /// Pass-through: the target may hold the flow.
    Maybe = 3,
    /// Pass-through: the SYN of the flow is queued until the target has capacity.
    Waiting = 4,
}

/// Answer to a [`Question`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Target of the answering agent.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Address of the caller.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
    /// Address of the service.
    #[prost(bytes = "vec", tag = "3")]
    pub service: Vec<u8>,
    /// Whether the sender holds the flow.
    #[prost(enumeration = "Holding", tag = "4")]
    pub holding: i32,
    /// Target to which the flow was redirected, zero unless `holding` is [`Holding::At`].
    #[prost(fixed64, tag = "5")]
    pub at: u64,
}

/// Measured load of the sender, reported to the peers of its pool several times a second.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Target of the sender.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number, which grows with every report, so that late reports are ignored.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Flows that the sender holds.
    #[prost(uint32, tag = "4")]
    pub open: u32,
    /// Flows with a request that the target has not answered.
    #[prost(uint32, tag = "5")]
    pub busy: u32,
    /// Flows waiting in the queue.
    #[prost(uint32, tag = "6")]
    pub queued: u32,
    /// Requests that the target can process at once, ramped up after a cold start, in thousandths.
    #[prost(uint32, tag = "7")]
    pub milli_slots: u32,
    /// Whether the sender accepts new flows.
    #[prost(bool, tag = "8")]
    pub takes_new: bool,
    /// Share of recent connects to the target that failed, in thousandths.
    #[prost(uint32, tag = "9")]
    pub milli_failures: u32,
}

/// Request of an operator to drain a target, or to end the drain. Idempotent.
///
/// A draining target accepts no new flows. The request is sent directly to the agent, so that it
/// works while the platform is unavailable. The agent answers with a [`super::Heartbeat`] that
/// carries its state.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct Drain {
    /// Whether the target has to drain.
    #[prost(bool, tag = "1")]
    pub on: bool,
}
