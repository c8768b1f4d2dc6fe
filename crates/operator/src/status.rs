//! Shapes of the status that a balancer reports.
//!
//! Each part is filled by the code that owns the facts: the control loop fills [`FleetStatus`], the
//! publisher fills [`PublishStatus`] and the traffic threads fill [`TrafficStatus`]. What a balancer
//! has not heard from a member itself is `None`, never a guess. Identities are printed as 16
//! hexadecimal digits, because JSON readers lose digits of 64-bit numbers.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;
use serde::{Deserialize, Serialize};

use crate::problem::Problem;

/// Everything that one balancer reports.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the balancer that reports.
    pub balancer: String,
    /// Its failure domain.
    pub domain: String,
    /// Version of its program.
    pub version: String,
    /// Time since it started.
    pub uptime_ms: Millis,
    /// What it knows of balancers and targets.
    pub fleet: FleetStatus,
    /// What it knows of the publisher and the platform.
    pub publish: PublishStatus,
    /// What its traffic threads count.
    pub traffic: TrafficStatus,
}

/// Balancers and targets as one balancer knows them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Revision in force on the balancer that reports, zero if none.
    pub revision: u64,
    /// Lowest revision that any process known to be alive reports.
    pub lowest_reported: u64,
    /// Every balancer known, the reporting one included.
    pub balancers: Vec<BalancerStatus>,
    /// Every target known.
    pub targets: Vec<TargetStatus>,
    /// Drains that this balancer was asked for.
    pub drains: Vec<DrainStatus>,
    /// Whether the reporting balancer hears from nobody.
    pub is_isolated: bool,
    /// Whether the reporting balancer is about to stop.
    pub is_leaving: bool,
    /// Frames from other processes that were refused since the start.
    pub refused_frames: u64,
}

/// A drain that an operator asked for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The target as the operator named it.
    pub target: String,
    /// Its state, none if it is not known any more.
    pub state: Option<TargetState>,
    /// Flows that its agent still holds, none if it has not said.
    pub open: Option<u32>,
}

/// Whether a balancer takes part.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancerState {
    /// Takes packets.
    #[default]
    Alive,
    /// Stops soon or is gone.
    Leaving,
    /// Not heard of for too long.
    Suspect,
}

/// One balancer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BalancerStatus {
    /// Identity, 16 hexadecimal digits.
    pub id: String,
    /// Identity of its failure domain, 16 hexadecimal digits.
    pub domain: String,
    /// Address of its control socket.
    pub control: SocketAddr,
    /// Whether it takes part.
    pub state: BalancerState,
    /// Highest revision it has reported, none if not heard from directly.
    pub revision: Option<u64>,
    /// Time since the last word from it, none if not heard from directly.
    pub last_seen_ms: Option<Millis>,
}

/// One target.
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
    /// Requests it can work on at once.
    pub slots: u16,
    /// What its agent announced that it can take, dead if it is gone.
    pub state: TargetState,
    /// Whether its agent has been silent for a while.
    pub is_suspect: bool,
    /// Highest revision its agent has reported, none if not heard from directly.
    pub revision: Option<u64>,
    /// Flows its agent holds, none if not heard from directly.
    pub open: Option<u32>,
    /// Time since the last word about it, none if not known.
    pub last_seen_ms: Option<Millis>,
}

/// The publisher and the platform, as one balancer sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PublishStatus {
    /// Name of the balancer that holds the publisher's lease, none if not known.
    pub publisher: Option<String>,
    /// Epoch of that lease, zero if not known.
    pub epoch: u64,
    /// Whether the reporting balancer itself holds the lease.
    pub is_publisher: bool,
    /// Revision that this balancer last saw published on the platform, none if never read.
    pub published: Option<u64>,
    /// Drafts that stay out of the published revision, with their problems.
    pub rejected: Vec<RejectedDraft>,
    /// The platform.
    pub platform: PlatformStatus,
}

/// A draft that the check keeps out.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RejectedDraft {
    /// Kind of the object: service, pool or rule.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// What is wrong with it, with the remedy.
    pub problems: Vec<Problem>,
}

/// Health of the platform as one balancer sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the latest call was answered.
    pub reachable: bool,
    /// Time since the latest answer, none if there was none.
    pub last_answer_ms: Option<Millis>,
    /// Calls sent since the start, repeated ones included.
    pub calls: u64,
    /// Calls that were repeated because an earlier try failed.
    pub retries: u64,
    /// The latest failure, none if there was none.
    pub last_error: Option<String>,
}

/// What the traffic threads of a balancer count since the start.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Packets taken from the fabric.
    pub packets: u64,
    /// Packets sent to an agent.
    pub forwarded: u64,
    /// Packets that do not parse.
    pub malformed: u64,
    /// Refused packets by kind of error, kinds without any left out.
    pub refused: Vec<RefusalCount>,
}

/// How often packets were refused for one reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Why.
    pub kind: ErrorKind,
    /// Packets since the start.
    pub count: u64,
}

/// Digits of an identity as text.
const ID_DIGITS: usize = 16;

/// The target that an operator means by a name, or by an identity in 16 hexadecimal digits.
#[must_use]
pub fn target_id(text: &str) -> TargetId {
    let id = u64::from_str_radix(text, 16).ok();
    match id.filter(|_| text.len() == ID_DIGITS) {
        Some(id) => TargetId(id),
        None => TargetId::of(text),
    }
}
