//! Messages of pass-through delivery as the decisions know them, and back.

use std::net::SocketAddr;

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{MAX_PRIORITY, RequestClass};
use citronhollow_core::flow::FlowId;
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::pass_through::{Holding, Offer, RejectReason, Rejected, Report};

use crate::addr::{AddrError, addr_from_bytes, addr_to_bytes};
use crate::members::{RecordError, state_from_number, state_to_number};
use crate::message::{self, Body, Forward, Greeting, Question, Reject, Reply, TargetReport};

/// The message that brings a packet to an agent, without the packet.
#[must_use]
pub fn offer_to_message(offer: Offer, group: GroupId, class: Option<RequestClass>) -> Forward {
    let offer = match offer {
        Offer::IfIdle => message::Offer::IfIdle,
        Offer::New => message::Offer::New,
        Offer::Held => message::Offer::Held,
        Offer::Probe => message::Offer::Trial,
    };
    Forward {
        offer: offer.into(),
        group: group.0,
        class: class.map(|class| message::RequestClass {
            objective_ms: class.objective_ms.0,
            time_limit_ms: class.time_limit_ms.0,
            priority: u32::from(class.priority),
            is_repeatable: class.is_repeatable,
        }),
        ..Forward::default()
    }
}

/// Why a packet was sent, none if this version does not know.
#[must_use]
pub fn offer_from_message(forward: &Forward) -> Option<Offer> {
    match message::Offer::try_from(forward.offer) {
        Ok(message::Offer::IfIdle) => Some(Offer::IfIdle),
        Ok(message::Offer::New) => Some(Offer::New),
        Ok(message::Offer::Held) => Some(Offer::Held),
        Ok(message::Offer::Trial) => Some(Offer::Probe),
        Err(_) => None,
    }
}

/// What the caller of a new flow expects, none for a flow that is open.
#[must_use]
pub fn class_from_message(forward: &Forward) -> Option<RequestClass> {
    let class = forward.class?;
    Some(RequestClass {
        objective_ms: Millis(class.objective_ms),
        time_limit_ms: Millis(class.time_limit_ms),
        priority: u8::try_from(class.priority).unwrap_or(MAX_PRIORITY),
        is_repeatable: class.is_repeatable,
    })
}

/// The message that gives a packet back.
#[must_use]
pub fn reject(target: TargetId, rejected: Rejected, packet: Bytes) -> Body {
    let reason = match rejected.reason {
        RejectReason::NotHeld => message::RejectReason::NotHeld,
        RejectReason::WrongGroup => message::RejectReason::WrongGroup,
        RejectReason::NotReady => message::RejectReason::NotReady,
        RejectReason::Returned => message::RejectReason::Returned,
        RejectReason::Full => message::RejectReason::Full,
    };
    Body::Reject(Reject {
        target: target.0,
        packet,
        reason: reason.into(),
        room_after_ms: rejected.retry_after.0,
    })
}

/// Why a packet was given back. A reason that this version does not know is taken for the one that
/// proves nothing of the flow.
#[must_use]
pub fn rejected_from_message(reject: &Reject) -> Rejected {
    let reason = match message::RejectReason::try_from(reject.reason) {
        Ok(message::RejectReason::NotHeld) => RejectReason::NotHeld,
        Ok(message::RejectReason::WrongGroup) => RejectReason::WrongGroup,
        Ok(message::RejectReason::Returned) => RejectReason::Returned,
        Ok(message::RejectReason::Full) => RejectReason::Full,
        Ok(message::RejectReason::NotReady) | Err(_) => RejectReason::NotReady,
    };
    Rejected {
        reason,
        retry_after: Millis(reject.room_after_ms),
    }
}

/// The message that asks for a flow.
#[must_use]
pub fn question(flow: &FlowId) -> Body {
    Body::Question(Question {
        sender: 0,
        caller: addr_to_bytes(flow.caller),
        service: addr_to_bytes(flow.service),
    })
}

/// The message that says what is known of a flow.
#[must_use]
pub fn reply(target: TargetId, flow: &FlowId, holding: Holding) -> Body {
    let holding = match holding {
        Holding::Here => message::Holding::Here,
        Holding::Maybe => message::Holding::Maybe,
        Holding::No => message::Holding::No,
        Holding::Waiting => message::Holding::Waiting,
    };
    Body::Reply(Reply {
        sender: target.0,
        caller: addr_to_bytes(flow.caller),
        service: addr_to_bytes(flow.service),
        holding: holding.into(),
        at: 0,
    })
}

/// What a reply says, none if this version does not know it.
#[must_use]
pub fn holding_from_message(reply: &Reply) -> Option<Holding> {
    match message::Holding::try_from(reply.holding) {
        Ok(message::Holding::Here) => Some(Holding::Here),
        Ok(message::Holding::Maybe) => Some(Holding::Maybe),
        Ok(message::Holding::No) => Some(Holding::No),
        Ok(message::Holding::Waiting) => Some(Holding::Waiting),
        Ok(message::Holding::At) | Err(_) => None,
    }
}

/// The flow that a question or a reply is about.
///
/// # Errors
///
/// [`AddrError`] if an address is malformed.
pub fn flow_from_message(caller: &[u8], service: &[u8]) -> Result<FlowId, AddrError> {
    Ok(FlowId {
        caller: addr_from_bytes(caller)?,
        service: addr_from_bytes(service)?,
    })
}

/// Balancers that a greeting names. An address that cannot be read is left out, since the others
/// hold.
pub fn named_balancers(greeting: &Greeting) -> impl Iterator<Item = SocketAddr> {
    let addrs = greeting.others.iter();
    addrs.filter_map(|addr| match addr_from_bytes(addr) {
        Ok(addr) => Some(addr),
        Err(err) => {
            log::warn!("peer: balancer named by another one is left out: {err}");
            None
        }
    })
}

/// Encodes a report.
#[must_use]
pub fn report_to_message(report: &Report) -> TargetReport {
    TargetReport {
        target: report.target.0,
        incarnation: report.incarnation,
        sequence: report.sequence,
        agent: addr_to_bytes(report.agent),
        group: report.group.0,
        domain: report.domain.0,
        state: state_to_number(report.state),
        is_stopping: report.is_stopping,
        slots: u32::from(report.slots),
        cold_left_ms: report.cold_left.0,
        flows: report.flows,
        busy: report.busy,
        mean_busy_milli: report.mean_busy_milli,
        failing_milli: report.failing_milli,
        far_interval_ms: report.far_interval.0,
    }
}

/// Decodes a report.
///
/// # Errors
///
/// [`RecordError`] names the field that is invalid.
pub fn report_from_message(message: &TargetReport) -> Result<Report, RecordError> {
    let slots = u16::try_from(message.slots).map_err(|_| RecordError::Slots(message.slots))?;
    Ok(Report {
        target: TargetId(message.target),
        incarnation: message.incarnation,
        sequence: message.sequence,
        agent: addr_from_bytes(&message.agent)?,
        group: GroupId(message.group),
        domain: DomainId(message.domain),
        state: state_from_number(message.state)?,
        is_stopping: message.is_stopping,
        slots,
        cold_left: Millis(message.cold_left_ms),
        flows: message.flows,
        busy: message.busy,
        mean_busy_milli: message.mean_busy_milli,
        failing_milli: message.failing_milli,
        far_interval: Millis(message.far_interval_ms),
    })
}
