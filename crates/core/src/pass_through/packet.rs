//! What passes between balancers and agents, as the decisions see it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::{FlowId, Segment};

/// Longest wait of an opening packet for room at an agent. Callers give up 1,400 ms after the first copy,
/// and the handshake has to be over by then.
const QUEUE_TIMEOUT_MAX: Millis = Millis(1_000);

/// Time for which an opening packet may wait for room at an agent: half of what its caller has. The other
/// half is for the request itself, or for another try.
pub(super) fn queue_timeout(class: &RequestClass) -> Millis {
    Millis(class.time_limit_ms.0 / 2).min(QUEUE_TIMEOUT_MAX)
}

/// A packet to decide about. `B` is the packet's bytes, opaque here.
#[derive(Clone, Debug)]
pub struct Packet<B> {
    /// The flow it belongs to.
    pub flow: FlowId,
    /// What its header says.
    pub segment: Segment,
    /// The packet itself.
    pub bytes: B,
    /// Time since the caller sent its first copy, as far as is known.
    pub age: Millis,
}

/// Why a balancer sends a packet to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// The packet opens a flow: take it if a slot of the target is free, or reject it at once.
    IfIdle,
    /// The packet opens a flow: take it, keep it until there is room, or reject it.
    New,
    /// The target holds the flow, as far as the balancer knows.
    Held,
    /// Nobody knows the flow. The target may hold it, so let it see the packet.
    #[serde(rename = "trial")]
    Probe,
}

impl Offer {
    /// Whether the packet opens a flow.
    #[must_use]
    pub const fn is_new_flow(self) -> bool {
        matches!(self, Self::IfIdle | Self::New)
    }
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// The target holds it.
    #[display("here")]
    Here,
    /// The target may hold it: the agent was started after the target.
    #[display("maybe")]
    Maybe,
    /// The target does not hold it.
    #[display("no")]
    No,
    /// Its opening packet waits until the target has room.
    #[display("waiting")]
    Waiting,
}

/// Why an agent gave a packet back.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The target is of another group.
    #[display("wrong group")]
    WrongGroup,
    /// The target is leaving or not ready.
    #[display("not ready")]
    NotReady,
    /// The target returned the packet.
    #[display("returned")]
    Returned,
    /// The target does not hold the flow.
    #[display("not held")]
    NotHeld,
    /// The target has no room, or had none for as long as the packet may wait.
    #[display("full")]
    Full,
}

/// A packet that an agent gave back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejected {
    /// Why.
    pub reason: RejectReason,
    /// Time after which the target is expected to have room, zero if that was not the reason.
    pub retry_after: Millis,
}

impl From<RejectReason> for Rejected {
    fn from(reason: RejectReason) -> Self {
        Self {
            reason,
            retry_after: Millis::ZERO,
        }
    }
}

/// Why a caller is reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// No service has the address. Nothing has run.
    #[display("no service has the address")]
    UnknownService,
    /// No target of the service takes new flows. Nothing has run.
    #[display("no target takes new flows")]
    NoTarget,
    /// Every target that was offered the flow rejected it. Nothing has run.
    #[display("every target rejected the flow")]
    Rejected,
    /// The target returned a packet of the flow, which it held before.
    #[display("the target has lost the flow")]
    Returned,
    /// The target ended or was started again.
    #[display("the target has ended")]
    TargetEnded,
    /// The target's machine, or the way to it, is lost.
    #[display("the target cannot be reached")]
    TargetLost,
    /// Every target denies the flow.
    #[display("no target holds the flow")]
    Unclaimed,
}

/// A reset towards a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reset {
    /// The flow that is reset.
    pub flow: FlowId,
    /// Sequence number that the caller accepts: the last one that it acknowledged.
    pub seq: u32,
    /// Why.
    pub reason: ResetReason,
}

/// Why a packet is dropped. The caller repeats it where it matters.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// No service has the address, perhaps not yet.
    #[display("no service has the address")]
    UnknownService,
    /// Too many packets wait for the outcome of a search.
    #[display("search is full")]
    SearchFull,
    /// No target claims the flow, which is no proof that none holds it.
    #[display("nobody claims the flow")]
    Unclaimed,
    /// No target takes new flows as far as is known, which is not far yet.
    #[display("fleet is not known yet")]
    NoTarget,
    /// A copy of an opening packet that waits for room at an agent.
    #[display("opening packet waits for room")]
    Waiting,
    /// A request on an open flow that cannot be answered in time while every target is full.
    #[display("every target is full")]
    Overload,
    /// A reset or an end of a flow that is unknown here. Nobody waits for an answer.
    #[display("flow has ended")]
    Ended,
}
