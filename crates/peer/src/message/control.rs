//! Messages about members and revisions.

use prost::Message;

/// A target's record.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Identity of the target.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The label that pools select by.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// Failure domain.
    #[prost(fixed64, tag = "3")]
    pub domain: u64,
    /// UDP address at which the agent takes packets.
    #[prost(bytes = "vec", tag = "4")]
    pub agent: Vec<u8>,
    /// Requests it can work on at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// State: 0 starting, 1 ready, 2 draining, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Grows with every start.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Verdict of balancers: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "9")]
    pub verdict: u32,
    /// Seconds since it is gone, zero if it is not.
    #[prost(uint32, tag = "10")]
    pub gone_for_s: u32,
}

/// A balancer's record.
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
    /// Whether it is leaving or gone.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Grows with every start.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
}

/// An agent's sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's record.
    #[prost(message, optional, tag = "1")]
    pub target: Option<Target>,
    /// Highest revision the sender knows.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Flows the sender holds.
    #[prost(uint32, tag = "3")]
    pub open: u32,
    /// Whether the sender reports to another balancer from now on.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    /// Whether the sender reports to fewer balancers than it should.
    #[prost(bool, tag = "5")]
    pub wants_balancers: bool,
}

/// What an agent may have missed.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReply {
    /// Highest revision the balancer knows.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the peers of the agent's group and of the services that concern it.
    #[prost(fixed64, tag = "2")]
    pub peers_digest: u64,
    /// A few balancers, for the agent's list.
    #[prost(message, repeated, tag = "3")]
    pub balancers: Vec<Balancer>,
    /// Incarnation and sequence that the agent's record must exceed to refute what is said of it.
    #[prost(message, optional, tag = "4")]
    pub refute_above: Option<Version>,
}

/// Version of a record.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct Version {
    /// Grows with every start.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// A verdict on a target whose record the receiver has.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct TargetVerdict {
    /// Identity of the target.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Version of the record: incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the record: sequence.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Verdict of balancers: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "4")]
    pub verdict: u32,
    /// Seconds since it is gone, zero if it is not.
    #[prost(uint32, tag = "5")]
    pub gone_for_s: u32,
}

/// Updates, pushed to a few balancers, which push what is new to them.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Verdicts on targets that did not change otherwise.
    #[prost(message, repeated, tag = "1")]
    pub verdicts: Vec<TargetVerdict>,
    /// Targets that changed.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
    /// Balancers that changed.
    #[prost(message, repeated, tag = "3")]
    pub balancers: Vec<Balancer>,
    /// Difference that gives the highest revision, as JSON, if it is short; empty if not.
    #[prost(bytes = "vec", tag = "4")]
    pub delta_json: Vec<u8>,
    /// Highest revision the sender knows.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Summary of what the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The sender's record.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Balancer>,
    /// Highest revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Digest of the members, one for each slice of the identities.
    #[prost(fixed64, repeated, tag = "3")]
    pub members: Vec<u64>,
    /// Whether the receiver is to answer with its own digest.
    #[prost(bool, tag = "4")]
    pub wants_answer: bool,
    /// Lowest revision of the sender and of the agents that report to it.
    #[prost(uint64, tag = "5")]
    pub lowest_revision: u64,
}

/// Asks for the members of some slices.
#[derive(Clone, PartialEq, Message)]
pub struct MembersRequest {
    /// Slices, empty for all.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
}

/// Members.
#[derive(Clone, PartialEq, Message)]
pub struct MembersReply {
    /// Targets.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<Target>,
    /// Balancers.
    #[prost(message, repeated, tag = "2")]
    pub balancers: Vec<Balancer>,
}

/// Asks for a revision that is newer than the one known.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RevisionRequest {
    /// Number of the revision known, zero for none.
    #[prost(uint64, tag = "1")]
    pub known: u64,
}

/// A whole revision.
#[derive(Clone, PartialEq, Message)]
pub struct RevisionReply {
    /// The revision as JSON, empty if there is none newer or the differences do.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Differences that lead from the known revision to the newest, in order, as JSON.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub deltas_json: Vec<Vec<u8>>,
}

/// Asks for what the agents of a group must know.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PoolRequest {
    /// The group.
    #[prost(fixed64, tag = "1")]
    pub group: u64,
}

/// What the agents of a group must know.
#[derive(Clone, PartialEq, Message)]
pub struct PoolReply {
    /// Every target that may hold a flow of the group's services.
    #[prost(message, repeated, tag = "1")]
    pub peers: Vec<Target>,
    /// Revision that holds only the group's services, pools and rules, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub revision_json: Vec<u8>,
    /// Digest of both, to compare with [`HeartbeatReply`].
    #[prost(fixed64, tag = "3")]
    pub peers_digest: u64,
}

/// Asks for the lowest revision among the receiver and the agents that report to it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LowestRequest {}

/// The lowest revision among the sender and the agents that report to it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LowestReply {
    /// Identity of the sender.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// The sender's own revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The lowest one.
    #[prost(uint64, tag = "3")]
    pub lowest: u64,
}
