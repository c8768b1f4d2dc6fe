//! Messages of pass-through delivery, between balancers and agents.
//!
//! A packet goes to an agent as [`super::Forward`], a question and its answer as
//! [`super::Question`] and [`super::Reply`].

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Why a packet is sent to an agent.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Offer {
    /// It opens a flow.
    New = 0,
    /// The target holds the flow.
    Held = 1,
    /// The target may hold the flow.
    Probe = 2,
    /// It opens a flow, if a slot of the target is free.
    IfIdle = 3,
}

/// Why a packet is given back.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum RejectReason {
    /// The target does not hold the flow.
    NotHeld = 0,
    /// The target is of another group.
    WrongGroup = 1,
    /// The target is leaving or not ready.
    NotReady = 2,
    /// The target returned the packet.
    Returned = 3,
    /// The target has no room.
    Full = 4,
}

/// What callers of a flow's service expect of a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RequestClass {
    /// Time within which an answer is of full use, in ms.
    #[prost(uint64, tag = "1")]
    pub objective_ms: u64,
    /// Time after which an answer is of no use, in ms.
    #[prost(uint64, tag = "2")]
    pub time_limit_ms: u64,
    /// Urgency, 0 for the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// A request may be run twice.
    #[prost(bool, tag = "4")]
    pub is_repeatable: bool,
}

/// An agent gives a packet back.
#[derive(Clone, PartialEq, Message)]
pub struct Reject {
    /// Target of the agent.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The packet.
    #[prost(bytes = "bytes", tag = "2")]
    pub packet: Bytes,
    /// Why.
    #[prost(enumeration = "RejectReason", tag = "3")]
    pub reason: i32,
    /// Time after which the target is expected to have room, in ms.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// What an agent reports of its target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetReport {
    /// The target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Start of the agent, a number that no other start has.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with every report of one start.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Address at which the agent takes packets.
    #[prost(bytes = "vec", tag = "4")]
    pub agent: Vec<u8>,
    /// The label that pools select by.
    #[prost(fixed64, tag = "5")]
    pub group: u64,
    /// Failure domain of the target.
    #[prost(fixed64, tag = "6")]
    pub domain: u64,
    /// What the target can take, numbered as in [`super::Target::state`].
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// The agent is being stopped.
    #[prost(bool, tag = "8")]
    pub is_stopping: bool,
    /// Requests that the target can work on at once.
    #[prost(uint32, tag = "9")]
    pub slots: u32,
    /// How much longer the target stays slow after its start, in ms.
    #[prost(uint64, tag = "10")]
    pub cold_left_ms: u64,
    /// Flows that the target holds.
    #[prost(uint32, tag = "11")]
    pub flows: u32,
    /// Requests in progress and waiting.
    #[prost(uint32, tag = "12")]
    pub busy: u32,
    /// Mean of the same over the last seconds, in thousandths.
    #[prost(uint32, tag = "13")]
    pub mean_busy_milli: u32,
    /// Share of its last requests that the target did not answer, in thousandths.
    #[prost(uint32, tag = "14")]
    pub failing_milli: u32,
    /// Time between two reports to other failure domains, in ms.
    #[prost(uint64, tag = "15")]
    pub remote_interval_ms: u64,
}

/// Reports of several targets, from one balancer to another.
#[derive(Clone, PartialEq, Message)]
pub struct TargetReports {
    /// The reports.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<TargetReport>,
}

/// A balancer makes itself known to an agent or to another balancer.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Address at which the balancer takes messages.
    #[prost(bytes = "vec", tag = "1")]
    pub balancer: Vec<u8>,
    /// Number of the revision in force there, zero for none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The sender has just started and asks a balancer for the reports that it has.
    #[prost(bool, tag = "3")]
    pub wants_reports: bool,
    /// Some of the balancers that the sender hears.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub others: Vec<Vec<u8>>,
    /// Failure domain of the sender.
    #[prost(fixed64, tag = "5")]
    pub domain: u64,
    /// Era of the platform's data as the sender knows it, zero for none.
    #[prost(uint64, tag = "6")]
    pub store_era: u64,
}
