//! Status of a balancer as reported to operators.
//!
//! The control loop fills [`FleetStatus`], the publisher [`PublishStatus`] and the traffic threads
//! [`TrafficStatus`]. Values that a balancer has not received directly from a member are `None`,
//! never estimated. Identities are formatted as 16 hexadecimal digits, because JSON readers lose
//! digits of 64-bit numbers.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;
use serde::{Deserialize, Serialize};

use crate::problem::Problem;

/// Status of one balancer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the balancer.
    pub balancer: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// Version of the program.
    pub version: String,
    /// Time since the start of the process.
    pub uptime_ms: Millis,
    /// Balancers and targets.
    pub fleet: FleetStatus,
    /// Publisher and platform.
    pub publish: PublishStatus,
    /// Packet counts of the traffic threads.
    pub traffic: TrafficStatus,
}

/// Balancers and targets known to one balancer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Revision in force on the reporting balancer, zero if none.
    pub revision: u64,
    /// Lowest revision reported by any process that is known to be alive.
    pub lowest_reported: u64,
    /// All known balancers, the reporting one included.
    pub balancers: Vec<BalancerStatus>,
    /// All known targets.
    pub targets: Vec<TargetStatus>,
    /// Drains requested from this balancer.
    pub drains: Vec<DrainStatus>,
    /// Whether the reporting balancer receives no messages from any other process.
    pub is_isolated: bool,
    /// Whether the reporting balancer is about to stop.
    pub is_leaving: bool,
    /// Frames from other processes that were refused since the start.
    pub refused_frames: u64,
}

/// Drain requested by an operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Target as named by the operator.
    pub target: String,
    /// State of the target, none if the target is no longer known.
    pub state: Option<TargetState>,
    /// Flows that its agent still holds, none if not reported.
    pub open: Option<u32>,
}

/// State of a balancer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancerState {
    /// Receives packets.
    #[default]
    Alive,
    /// Stops soon or has left.
    Leaving,
    /// No message from it for too long.
    Suspect,
}

/// Status of a balancer in the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BalancerStatus {
    /// Identity, 16 hexadecimal digits.
    pub id: String,
    /// Identity of its failure domain, 16 hexadecimal digits.
    pub domain: String,
    /// Address of its control socket.
    pub control: SocketAddr,
    /// State.
    pub state: BalancerState,
    /// Highest revision it has reported, none if it has not reported to this balancer.
    pub revision: Option<u64>,
    /// Time since its last message, none if it has not reported to this balancer.
    pub last_seen_ms: Option<Millis>,
}

/// Status of a target in the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Identity, 16 hexadecimal digits.
    pub id: String,
    /// Identity of its group, 16 hexadecimal digits.
    pub group: String,
    /// Identity of its failure domain, 16 hexadecimal digits.
    pub domain: String,
    /// UDP address of its agent.
    pub agent: SocketAddr,
    /// Requests that the target can process at once.
    pub slots: u16,
    /// State announced by its agent, dead if the target is gone.
    pub state: TargetState,
    /// Whether its agent has missed heartbeats and the target is suspected dead.
    pub is_suspect: bool,
    /// Highest revision reported by its agent, none if it has not reported to this balancer.
    pub revision: Option<u64>,
    /// Flows that its agent holds, none if it has not reported to this balancer.
    pub open: Option<u32>,
    /// Time since the last message about it, none if unknown.
    pub last_seen_ms: Option<Millis>,
}

/// Publisher and platform as observed by one balancer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PublishStatus {
    /// Name of the balancer that holds the publisher's lease, none if unknown.
    pub publisher: Option<String>,
    /// Epoch of that lease, zero if unknown.
    pub epoch: u64,
    /// Whether the reporting balancer holds the lease.
    pub is_publisher: bool,
    /// Published revision when this balancer last read it from the platform, none if it never did.
    pub published: Option<u64>,
    /// Drafts left out of the published revision, with their problems.
    pub rejected: Vec<RejectedDraft>,
    /// State of the platform.
    pub platform: PlatformStatus,
}

/// Draft that failed the check.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RejectedDraft {
    /// Kind of the object: service, pool or rule.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Problems of the draft, with remedies.
    pub problems: Vec<Problem>,
}

/// Health of the platform as observed by one balancer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the latest call was answered.
    pub reachable: bool,
    /// Time since the latest answer, none if there has been none.
    pub last_answer_ms: Option<Millis>,
    /// Calls since the start, retries included.
    pub calls: u64,
    /// Retries after failed calls.
    pub retries: u64,
    /// Latest failure, none if there has been none.
    pub last_error: Option<String>,
}

/// Packet counts of the traffic threads of a balancer since its start.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Packets received from the fabric.
    pub packets: u64,
    /// Packets sent to an agent.
    pub forwarded: u64,
    /// Packets that do not parse.
    pub malformed: u64,
    /// Refused packets by kind of error, without kinds that never occurred.
    pub refused: Vec<RefusalCount>,
}

/// Number of packets refused for one reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Reason.
    pub kind: ErrorKind,
    /// Packets since the start.
    pub count: u64,
}

/// Length of an identity in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Converts a name, or an identity in 16 hexadecimal digits, to the identity of a target.
#[must_use]
pub fn target_id(text: &str) -> TargetId {
    let id = u64::from_str_radix(text, 16).ok();
    match id.filter(|_| text.len() == ID_DIGITS) {
        Some(id) => TargetId(id),
        None => TargetId::of(text),
    }
}
