//! The messages themselves, as prost derives them.
//!
//! Identities are 64-bit hashes, addresses are the bytes of [`crate::addr_to_bytes`]. Fields are
//! only ever added: an older process skips what it does not know.

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

/// What every frame carries.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message, none if it is of a kind that this version does not know.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 30, 31, 32, 33"
    )]
    pub body: Option<Body>,
}

/// One of the messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A caller's packet.
    #[prost(message, tag = "1")]
    Forward(Forward),
    /// Agent to agent: do you hold this flow?
    #[prost(message, tag = "2")]
    Question(Question),
    /// Agent to agent: what is known of the flow.
    #[prost(message, tag = "3")]
    Reply(Reply),
    /// Agent to agent: the sender's true load.
    #[prost(message, tag = "4")]
    Load(Load),
    /// Balancer to agent: an operator's request.
    #[prost(message, tag = "5")]
    Drain(Drain),
    /// Agent to balancer: the sender's record.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// Balancer to agent: what the agent may have missed.
    #[prost(message, tag = "11")]
    HeartbeatReply(HeartbeatReply),
    /// Balancer to balancer: updates of members and revisions.
    #[prost(message, tag = "12")]
    Gossip(Gossip),
    /// Balancer to balancer: a summary to compare.
    #[prost(message, tag = "13")]
    Digest(Digest),
    /// Over a stream: ask for members.
    #[prost(message, tag = "14")]
    MembersRequest(MembersRequest),
    /// Over a stream: members.
    #[prost(message, tag = "15")]
    MembersReply(MembersReply),
    /// Over a stream: ask for a revision.
    #[prost(message, tag = "16")]
    RevisionRequest(RevisionRequest),
    /// Over a stream: a revision.
    #[prost(message, tag = "17")]
    RevisionReply(RevisionReply),
    /// Over a stream, agent to balancer: ask for the peers of a group.
    #[prost(message, tag = "18")]
    PoolRequest(PoolRequest),
    /// Over a stream, balancer to agent: the peers and the services of a group.
    #[prost(message, tag = "19")]
    PoolReply(PoolReply),
    /// Balancer to balancer: ask for the lowest revision.
    #[prost(message, tag = "20")]
    LowestRequest(LowestRequest),
    /// Balancer to balancer: the lowest revision.
    #[prost(message, tag = "21")]
    LowestReply(LowestReply),
    /// Agent to balancer, pass-through: a packet given back.
    #[prost(message, tag = "30")]
    Reject(Reject),
    /// Agent to balancer, pass-through: state and load of the target.
    #[prost(message, tag = "31")]
    TargetReport(TargetReport),
    /// Balancer to balancer, pass-through: what agents reported.
    #[prost(message, tag = "32")]
    TargetReports(TargetReports),
    /// Balancer to agents and balancers, pass-through: the sender's address and revision.
    #[prost(message, tag = "33")]
    Hello(Hello),
}

impl From<Body> for Envelope {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
