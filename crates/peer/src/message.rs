//! Protobuf messages between processes.
//!
//! Identities are 64-bit hashes, addresses are encoded by [`crate::addr_to_bytes`]. For
//! compatibility fields are only added, never removed or renumbered: an older process skips the
//! fields that are unknown to it.

use prost::{Message, Oneof};

mod control;
mod pass_through;
mod traffic;

pub use control::{
    Balancer, Digest, Gossip, Heartbeat, HeartbeatReply, LowestReply, LowestRequest, MembersReply,
    MembersRequest, PoolReply, PoolRequest, RevisionReply, RevisionRequest, Target, TargetVerdict,
    Version,
};
pub use pass_through::{
    Hello, Offer, Reject, RejectReason, RequestClass, TargetReport, TargetReports,
};
pub(crate) use traffic::PACKET_TAG;
pub use traffic::{Drain, Forward, Holding, Load, Question, Relay, Reply};

/// Tag of [`Body::Forward`].
pub(crate) const FORWARD_TAG: u32 = 1;

/// Contents of every frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Message, none if its kind is unknown to this version.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 30, 31, 32, 33"
    )]
    pub body: Option<Body>,
}

/// Message of an envelope.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Balancer or agent to agent: a caller's packet.
    #[prost(message, tag = "1")]
    Forward(Forward),
    /// To an agent: asks whether it holds a flow.
    #[prost(message, tag = "2")]
    Question(Question),
    /// From an agent: answer to a question, or an unsolicited notice where a flow is.
    #[prost(message, tag = "3")]
    Reply(Reply),
    /// Agent to agent: load of the sender's target.
    #[prost(message, tag = "4")]
    Load(Load),
    /// Balancer to agent: an operator's drain request.
    #[prost(message, tag = "5")]
    Drain(Drain),
    /// Agent to balancer: heartbeat with the sender's record.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// Balancer to agent: answer to a heartbeat, with what the agent may have missed.
    #[prost(message, tag = "11")]
    HeartbeatReply(HeartbeatReply),
    /// Balancer to balancer: updates of members and of the revision.
    #[prost(message, tag = "12")]
    Gossip(Gossip),
    /// Balancer to balancer: digest of the members, to find differences.
    #[prost(message, tag = "13")]
    Digest(Digest),
    /// Over TCP: requests members.
    #[prost(message, tag = "14")]
    MembersRequest(MembersRequest),
    /// Over TCP: members.
    #[prost(message, tag = "15")]
    MembersReply(MembersReply),
    /// Over TCP: requests a revision.
    #[prost(message, tag = "16")]
    RevisionRequest(RevisionRequest),
    /// Over TCP: a revision.
    #[prost(message, tag = "17")]
    RevisionReply(RevisionReply),
    /// Over TCP, agent to balancer: requests the peers and services of a group.
    #[prost(message, tag = "18")]
    PoolRequest(PoolRequest),
    /// Over TCP, balancer to agent: the peers and services of a group.
    #[prost(message, tag = "19")]
    PoolReply(PoolReply),
    /// Balancer to balancer: requests the lowest revision.
    #[prost(message, tag = "20")]
    LowestRequest(LowestRequest),
    /// Balancer to balancer: the lowest revision.
    #[prost(message, tag = "21")]
    LowestReply(LowestReply),
    /// Agent to balancer, pass-through: a rejected packet.
    #[prost(message, tag = "30")]
    Reject(Reject),
    /// Agent to balancer, pass-through: state and load of the target.
    #[prost(message, tag = "31")]
    TargetReport(TargetReport),
    /// Balancer to balancer, pass-through: reports of agents.
    #[prost(message, tag = "32")]
    TargetReports(TargetReports),
    /// Balancer to agents and balancers, pass-through: address and revision of the sender.
    #[prost(message, tag = "33")]
    Hello(Hello),
}

impl From<Body> for Envelope {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
