//! Messages of pass-through delivery, between balancers and agents.
//!
//! Packets are sent to agents in a [`super::Forward`]. Queries for a flow and their answers use
//! [`super::Question`] and [`super::Reply`].

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Reason for which a balancer forwards a packet to an agent.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Offer {
    /// The packet is the SYN of a new flow.
    New = 0,
    /// The target holds the flow.
    Held = 1,
    /// Probe: the flow is unknown, and the target may hold it.
    Probe = 2,
    /// The packet is the SYN of a new flow, to be accepted only if the target has a free slot.
    IfIdle = 3,
}

/// Reason for which an agent rejects a packet.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum RejectReason {
    /// The target does not hold the flow.
    NotHeld = 0,
    /// The target belongs to another group.
    WrongGroup = 1,
    /// The target is draining or not ready.
    NotReady = 2,
    /// The target returned the packet.
    Returned = 3,
    /// The target has no capacity.
    Full = 4,
}

/// Request class of a service: what its callers expect of a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RequestClass {
    /// Latency objective: time within which an answer has its full value, in ms.
    #[prost(uint64, tag = "1")]
    pub objective_ms: u64,
    /// Time limit after which an answer is useless, in ms.
    #[prost(uint64, tag = "2")]
    pub time_limit_ms: u64,
    /// Priority, 0 for the most urgent requests.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Whether requests are idempotent, so that one may be sent twice.
    #[prost(bool, tag = "4")]
    pub is_repeatable: bool,
}

/// Rejection of a packet by an agent.
#[derive(Clone, PartialEq, Message)]
pub struct Reject {
    /// Target of the rejecting agent.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The rejected packet.
    #[prost(bytes = "bytes", tag = "2")]
    pub packet: Bytes,
    /// Reason.
    #[prost(enumeration = "RejectReason", tag = "3")]
    pub reason: i32,
    /// Time after which the target is expected to have capacity, in ms.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// Report of an agent on the state and load of its target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetReport {
    /// Identity of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Incarnation of the agent, unique to each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number, which grows with every report of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Address at which the agent receives packets.
    #[prost(bytes = "vec", tag = "4")]
    pub agent: Vec<u8>,
    /// Group, the label by which pools select targets.
    #[prost(fixed64, tag = "5")]
    pub group: u64,
    /// Failure domain of the target.
    #[prost(fixed64, tag = "6")]
    pub domain: u64,
    /// State of the target, numbered as in [`super::Target::state`].
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// Whether the agent is stopping.
    #[prost(bool, tag = "8")]
    pub is_stopping: bool,
    /// Requests that the target can process at once.
    #[prost(uint32, tag = "9")]
    pub slots: u32,
    /// Remaining time of the cold start, in which the target is still slow, in ms.
    #[prost(uint64, tag = "10")]
    pub cold_left_ms: u64,
    /// Flows that the target holds.
    #[prost(uint32, tag = "11")]
    pub flows: u32,
    /// Requests in progress or queued.
    #[prost(uint32, tag = "12")]
    pub busy: u32,
    /// Mean of `busy` over the last seconds, in thousandths.
    #[prost(uint32, tag = "13")]
    pub mean_busy_milli: u32,
    /// Share of recent requests that the target did not answer, in thousandths.
    #[prost(uint32, tag = "14")]
    pub failing_milli: u32,
    /// Interval of reports to remote failure domains, in ms.
    #[prost(uint64, tag = "15")]
    pub remote_interval_ms: u64,
}

/// Reports on several targets, from one balancer to another.
#[derive(Clone, PartialEq, Message)]
pub struct TargetReports {
    /// The reports.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<TargetReport>,
}

/// Hello of a balancer, by which agents and other balancers discover it.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Address at which the balancer receives messages.
    #[prost(bytes = "vec", tag = "1")]
    pub balancer: Vec<u8>,
    /// Number of the revision in force on the sender, zero for none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the sender requests the receiver's reports, since it has just started or misses them.
    #[prost(bool, tag = "3")]
    pub wants_reports: bool,
    /// Addresses of some of the balancers from which the sender receives messages.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub others: Vec<Vec<u8>>,
    /// Failure domain of the sender.
    #[prost(fixed64, tag = "5")]
    pub domain: u64,
    /// Era of the platform's store known to the sender, zero for none.
    #[prost(uint64, tag = "6")]
    pub store_era: u64,
}
