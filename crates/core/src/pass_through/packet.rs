//! Packets and messages between balancers and agents, as used by the decisions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::{FlowId, Segment};

/// Maximum time that a SYN stays queued at an agent. Callers give up 1,400 ms after the first copy,
/// and the handshake has to be complete by then.
const QUEUE_TIMEOUT_MAX: Millis = Millis(1_000);

/// How long a SYN may stay queued at an agent: half of the caller's time limit. The other half is
/// left for the request itself, or for a retry.
pub(super) fn queue_timeout(class: &RequestClass) -> Millis {
    Millis(class.time_limit_ms.0 / 2).min(QUEUE_TIMEOUT_MAX)
}

/// Packet to decide about. `B` is the type of the packet's bytes, which stay opaque here.
#[derive(Clone, Debug)]
pub struct Packet<B> {
    /// Flow of the packet.
    pub flow: FlowId,
    /// TCP header fields.
    pub segment: Segment,
    /// Packet bytes.
    pub bytes: B,
    /// Time since the caller sent the first copy, as far as known.
    pub age: Millis,
}

/// Reason for which a balancer forwards a packet to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// SYN of a new flow: accept it if the target has a free slot, or reject it at once.
    IfIdle,
    /// SYN of a new flow: accept it, queue it until there is capacity, or reject it.
    New,
    /// The target holds the flow, according to the balancer's table.
    Held,
    /// Probe: the flow is unknown, but the target may hold it, so deliver the packet to it.
    #[serde(rename = "trial")]
    Probe,
}

impl Offer {
    /// Whether the packet is the SYN of a new flow.
    #[must_use]
    pub const fn is_new_flow(self) -> bool {
        matches!(self, Self::IfIdle | Self::New)
    }
}

/// An agent's answer whether its target holds a flow.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// The target holds it.
    #[display("here")]
    Here,
    /// The target may hold it: the agent started after the target.
    #[display("maybe")]
    Maybe,
    /// The target does not hold it.
    #[display("no")]
    No,
    /// Its SYN is queued until the target has capacity.
    #[display("waiting")]
    Waiting,
}

/// Reason for which an agent rejects a packet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The target belongs to another group.
    #[display("wrong group")]
    WrongGroup,
    /// The target is draining or not ready.
    #[display("not ready")]
    NotReady,
    /// The target returned the packet, or did not answer it in time.
    #[display("returned")]
    Returned,
    /// The target does not hold the flow.
    #[display("not held")]
    NotHeld,
    /// The target has no capacity, or had none for as long as the packet may be queued.
    #[display("full")]
    Full,
}

/// Rejection of a packet by an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejected {
    /// Reason.
    pub reason: RejectReason,
    /// Time after which the target is expected to have capacity, zero if that was not the reason.
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

/// Reason for which a caller is reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// No service has the address. No request has been processed.
    #[display("no service has the address")]
    UnknownService,
    /// No target of the service accepts new flows. No request has been processed.
    #[display("no target takes new flows")]
    NoTarget,
    /// Every target that was offered the flow rejected it. No request has been processed.
    #[display("every target rejected the flow")]
    Rejected,
    /// The target returned a packet of a flow that it held before.
    #[display("the target has lost the flow")]
    Returned,
    /// The target has ended or restarted.
    #[display("the target has ended")]
    TargetEnded,
    /// The target's machine is lost or unreachable.
    #[display("the target cannot be reached")]
    TargetLost,
    /// Every target gave a negative answer for the flow.
    #[display("no target holds the flow")]
    Unclaimed,
}

/// RST to be sent to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reset {
    /// Flow to be reset.
    pub flow: FlowId,
    /// Sequence number that the caller accepts: the last one that it acknowledged.
    pub seq: u32,
    /// Reason.
    pub reason: ResetReason,
}

/// Reason for which a packet is dropped. The caller retransmits it where that matters.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// No service has the address, perhaps because its configuration has not arrived yet.
    #[display("no service has the address")]
    UnknownService,
    /// Too many packets wait for the outcome of a search.
    #[display("search is full")]
    SearchFull,
    /// No target claims the flow, which does not prove that none holds it.
    #[display("nobody claims the flow")]
    Unclaimed,
    /// No target is known to accept new flows, but the fleet is not fully known yet.
    #[display("fleet is not known yet")]
    NoTarget,
    /// Copy of a SYN that is queued at an agent.
    #[display("opening packet waits for room")]
    Waiting,
    /// Request on an open flow that cannot be answered in time while every target is full.
    #[display("every target is full")]
    Overload,
    /// RST or FIN of an unknown flow. No answer is expected.
    #[display("flow has ended")]
    Ended,
}
