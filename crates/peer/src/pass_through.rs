//! Conversion between messages of pass-through delivery and the types of the core.

use std::net::SocketAddr;

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{RequestClass, request_class_problems};
use citronhollow_core::flow::FlowId;
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::pass_through::{Holding, Offer, RejectReason, Rejected, Report};
use thiserror::Error;

use crate::addr::{AddrError, addr_from_bytes, addr_to_bytes, process_addr_from_bytes};
use crate::members::{RecordError, state_from_number, state_to_number};
use crate::message::{self, Body, Forward, Hello, Question, Reject, Reply, TargetReport};

/// Longest time between two reports that is accepted from an agent.
const REPORT_INTERVAL_MAX: Millis = Millis::from_secs(60);

/// Encodes the message that forwards a packet to an agent, without the packet itself.
#[must_use]
pub fn offer_to_message(offer: Offer, group: GroupId, class: Option<RequestClass>) -> Forward {
    let offer = match offer {
        Offer::IfIdle => message::Offer::IfIdle,
        Offer::New => message::Offer::New,
        Offer::Held => message::Offer::Held,
        Offer::Probe => message::Offer::Probe,
    };
    Forward {
        offer: offer.into(),
        group: group.0,
        request_class: class.map(|class| message::RequestClass {
            objective_ms: class.objective_ms.0,
            time_limit_ms: class.time_limit_ms.0,
            priority: u32::from(class.priority),
            is_repeatable: class.is_repeatable,
        }),
        ..Forward::default()
    }
}

/// Decodes the reason for which a packet was forwarded, none if it is unknown to this version.
#[must_use]
pub fn offer_from_message(forward: &Forward) -> Option<Offer> {
    match message::Offer::try_from(forward.offer) {
        Ok(message::Offer::IfIdle) => Some(Offer::IfIdle),
        Ok(message::Offer::New) => Some(Offer::New),
        Ok(message::Offer::Held) => Some(Offer::Held),
        Ok(message::Offer::Probe) => Some(Offer::Probe),
        Err(_) => None,
    }
}

/// Request class whose values no balancer sends.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("request class is out of range")]
pub struct RequestClassError;

/// Decodes the request class of a new flow, none for an established flow.
///
/// # Errors
///
/// [`RequestClassError`] if a value is out of range.
pub fn request_class_from_message(
    forward: &Forward,
) -> Result<Option<RequestClass>, RequestClassError> {
    let Some(class) = forward.request_class else {
        return Ok(None);
    };
    let class = RequestClass {
        objective_ms: Millis(class.objective_ms),
        time_limit_ms: Millis(class.time_limit_ms),
        priority: u8::try_from(class.priority).map_err(|_| RequestClassError)?,
        is_repeatable: class.is_repeatable,
    };
    if request_class_problems(&class).is_empty() {
        Ok(Some(class))
    } else {
        Err(RequestClassError)
    }
}

/// Encodes the rejection of a packet.
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
        retry_after_ms: rejected.retry_after.0,
    })
}

/// Decodes the reason of a rejection. A reason unknown to this version becomes
/// [`RejectReason::NotReady`], which implies nothing about the flow.
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
        retry_after: Millis(reject.retry_after_ms),
    }
}

/// Encodes the question whether an agent holds a flow.
#[must_use]
pub fn question(flow: &FlowId) -> Body {
    Body::Question(Question {
        sender: 0,
        caller: addr_to_bytes(flow.caller),
        service: addr_to_bytes(flow.service),
    })
}

/// Encodes an agent's answer whether its target holds a flow.
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

/// Decodes the answer of a reply, none if it is unknown to this version.
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

/// Decodes the flow of a question or a reply.
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

/// Decodes the addresses of other balancers in a hello. Each may be malformed, and the others are
/// still usable.
pub fn named_balancers(hello: &Hello) -> impl Iterator<Item = Result<SocketAddr, AddrError>> {
    hello
        .others
        .iter()
        .map(|addr| process_addr_from_bytes(addr))
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
        remote_interval_ms: report.remote_interval.0,
    }
}

/// Decodes a report.
///
/// # Errors
///
/// [`RecordError`] with the invalid field.
pub fn report_from_message(message: &TargetReport) -> Result<Report, RecordError> {
    let slots = u16::try_from(message.slots).map_err(|_| RecordError::Slots(message.slots))?;
    let remote_interval = Millis(message.remote_interval_ms);
    if remote_interval > REPORT_INTERVAL_MAX {
        return Err(RecordError::Interval(remote_interval));
    }
    Ok(Report {
        target: TargetId(message.target),
        incarnation: message.incarnation,
        sequence: message.sequence,
        agent: process_addr_from_bytes(&message.agent)?,
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
        remote_interval,
    })
}
