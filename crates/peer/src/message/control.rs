//! Messages of the control plane: members and revisions.

use prost::Message;

/// Record of a target, with the verdict of the balancers.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Identity of the target.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Group, the label by which pools select targets.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// Failure domain.
    #[prost(fixed64, tag = "3")]
    pub domain: u64,
    /// UDP address at which the agent receives packets.
    #[prost(bytes = "vec", tag = "4")]
    pub agent: Vec<u8>,
    /// Requests that the target can process at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// State: 0 starting, 1 ready, 2 draining, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Incarnation, which grows with every start.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Sequence number, which grows with every change within an incarnation.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Verdict of the balancers: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "9")]
    pub verdict: u32,
    /// Time since the target is gone, in seconds; zero if it is not gone.
    #[prost(uint32, tag = "10")]
    pub gone_for_s: u32,
}

/// Record of a balancer.
#[derive(Clone, PartialEq, Message)]
pub struct Balancer {
    /// Identity of the balancer.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Failure domain.
    #[prost(fixed64, tag = "2")]
    pub domain: u64,
    /// Address of the control socket, UDP and TCP.
    #[prost(bytes = "vec", tag = "3")]
    pub control: Vec<u8>,
    /// Whether the balancer is leaving or has left.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Incarnation, which grows with every start.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Sequence number, which grows with every change within an incarnation.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
}

/// Heartbeat of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's record.
    #[prost(message, optional, tag = "1")]
    pub target: Option<Target>,
    /// Highest revision known to the sender.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Flows that the sender holds.
    #[prost(uint32, tag = "3")]
    pub open: u32,
    /// Whether this is the last heartbeat to this balancer, because the sender switches to another.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    /// Whether the sender reports to too few balancers and asks for more.
    #[prost(bool, tag = "5")]
    pub wants_balancers: bool,
}

/// Answer to a heartbeat, with what the agent may have missed.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReply {
    /// Highest revision known to the balancer.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the peers and services of the agent's group, as in [`PoolReply::peers_digest`].
    #[prost(fixed64, tag = "2")]
    pub peers_digest: u64,
    /// Balancers that the agent can report to.
    #[prost(message, repeated, tag = "3")]
    pub balancers: Vec<Balancer>,
    /// Version that the agent's next record must exceed to refute a verdict on its target.
    #[prost(message, optional, tag = "4")]
    pub refute_above: Option<Version>,
}

/// Version of a record.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct Version {
    /// Incarnation, which grows with every start.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number, which grows with every change within an incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Verdict on a target whose record the receiver already has.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct TargetVerdict {
    /// Identity of the target.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Incarnation of the record.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the record.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Verdict of the balancers: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "4")]
    pub verdict: u32,
    /// Time since the target is gone, in seconds; zero if it is not gone.
    #[prost(uint32, tag = "5")]
    pub gone_for_s: u32,
}

/// Gossip: updates that are pushed to a few balancers, which push on what is new to them.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Verdicts on targets whose record did not change.
    #[prost(message, repeated, tag = "1")]
    pub verdicts: Vec<TargetVerdict>,
    /// Targets that changed.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
    /// Balancers that changed.
    #[prost(message, repeated, tag = "3")]
    pub balancers: Vec<Balancer>,
    /// Delta that leads to the highest revision, as JSON; empty if it is too long to be gossiped.
    #[prost(bytes = "vec", tag = "4")]
    pub delta_json: Vec<u8>,
    /// Highest revision known to the sender.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Digest of the members and the revision known to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The sender's record.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Balancer>,
    /// Highest revision known to the sender.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Digests of the members, one for each bucket of identities.
    #[prost(fixed64, repeated, tag = "3")]
    pub members: Vec<u64>,
    /// Whether the receiver has to answer with its own digest.
    #[prost(bool, tag = "4")]
    pub wants_answer: bool,
    /// Lowest revision of the sender and of the agents that report to it.
    #[prost(uint64, tag = "5")]
    pub lowest_revision: u64,
}

/// Requests the members of some digest buckets.
#[derive(Clone, PartialEq, Message)]
pub struct MembersRequest {
    /// Numbers of the buckets, empty for all.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
}

/// Members of the requested buckets.
#[derive(Clone, PartialEq, Message)]
pub struct MembersReply {
    /// Targets.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<Target>,
    /// Balancers.
    #[prost(message, repeated, tag = "2")]
    pub balancers: Vec<Balancer>,
}

/// Requests a revision newer than the one known to the sender.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RevisionRequest {
    /// Number of the revision known to the sender, zero for none.
    #[prost(uint64, tag = "1")]
    pub known: u64,
}

/// Newest revision, either whole or as deltas from the known one.
#[derive(Clone, PartialEq, Message)]
pub struct RevisionReply {
    /// Whole revision as JSON; empty if there is no newer one or the deltas are sent instead.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Deltas from the known revision to the newest one, in order, as JSON.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub deltas_json: Vec<Vec<u8>>,
}

/// Requests the configuration and peers that agents of a group need.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PoolRequest {
    /// Identity of the group.
    #[prost(fixed64, tag = "1")]
    pub group: u64,
}

/// Configuration and peers that agents of a group need.
#[derive(Clone, PartialEq, Message)]
pub struct PoolReply {
    /// All targets that may hold a flow of the group's services.
    #[prost(message, repeated, tag = "1")]
    pub peers: Vec<Target>,
    /// Revision reduced to the group's services, pools and rules, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub revision_json: Vec<u8>,
    /// Digest of the peers and the reduced revision. The agent compares it with
    /// [`HeartbeatReply::peers_digest`].
    #[prost(fixed64, tag = "3")]
    pub peers_digest: u64,
}

/// Requests the lowest revision among the receiver and the agents that report to it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LowestRequest {}

/// Lowest revision among the sender and the agents that report to it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LowestReply {
    /// Identity of the sender.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Revision of the sender itself.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Lowest revision.
    #[prost(uint64, tag = "3")]
    pub lowest: u64,
}
