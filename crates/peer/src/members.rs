//! Conversion of member records to and from messages. Decoding checks each field.

use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    BalancerRecord, TargetRecord, TargetState, TargetUpdate, Verdict, VerdictUpdate,
};
use thiserror::Error;

use crate::addr::{AddrError, addr_from_bytes, addr_to_bytes};
use crate::message::{Balancer, Target, TargetVerdict};

/// Error in a record of a message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The message has no record.
    #[error("record is missing")]
    Missing,
    /// The address does not parse.
    #[error("address of the record: {0}")]
    Addr(#[from] AddrError),
    /// The number is not one of a state.
    #[error("state {0} is unknown")]
    State(u32),
    /// The number is not one of a verdict.
    #[error("verdict {0} is unknown")]
    Verdict(u32),
    /// The number of slots exceeds that of any target.
    #[error("{0} slots are out of range")]
    Slots(u32),
    /// The time between two reports is longer than that of any agent.
    #[error("time of {0} between two reports is out of range")]
    Interval(Millis),
}

/// Encodes an update of a target.
#[must_use]
pub fn target_to_message(update: &TargetUpdate) -> Target {
    let record = &update.record;
    Target {
        id: record.id.0,
        group: record.group.0,
        domain: record.domain.0,
        agent: addr_to_bytes(record.agent),
        slots: u32::from(record.slots),
        state: state_to_number(record.state),
        incarnation: record.incarnation,
        sequence: record.sequence,
        verdict: verdict_to_number(update.verdict),
        gone_for_s: whole_secs(update.gone_for),
    }
}

/// Decodes an update of a target.
///
/// # Errors
///
/// [`RecordError`] with the invalid field.
pub fn target_from_message(target: &Target) -> Result<TargetUpdate, RecordError> {
    Ok(TargetUpdate {
        record: record_from_message(target)?,
        verdict: verdict_from_number(target.verdict)?,
        gone_for: Millis::from_secs(u64::from(target.gone_for_s)),
    })
}

/// Encodes a verdict.
#[must_use]
pub fn verdict_to_message(update: &VerdictUpdate) -> TargetVerdict {
    let (incarnation, sequence) = update.version;
    TargetVerdict {
        id: update.id.0,
        incarnation,
        sequence,
        verdict: verdict_to_number(update.verdict),
        gone_for_s: whole_secs(update.gone_for),
    }
}

/// Decodes a verdict.
///
/// # Errors
///
/// [`RecordError`] with the invalid field.
pub fn verdict_from_message(message: &TargetVerdict) -> Result<VerdictUpdate, RecordError> {
    Ok(VerdictUpdate {
        id: TargetId(message.id),
        version: (message.incarnation, message.sequence),
        verdict: verdict_from_number(message.verdict)?,
        gone_for: Millis::from_secs(u64::from(message.gone_for_s)),
    })
}

/// Decodes only the record that the agent announced, without the verdict of the balancers.
///
/// # Errors
///
/// [`RecordError`] with the invalid field.
pub fn record_from_message(target: &Target) -> Result<TargetRecord, RecordError> {
    let slots = u16::try_from(target.slots).map_err(|_| RecordError::Slots(target.slots))?;
    Ok(TargetRecord {
        id: TargetId(target.id),
        group: GroupId(target.group),
        domain: DomainId(target.domain),
        agent: addr_from_bytes(&target.agent)?,
        slots,
        state: state_from_number(target.state)?,
        incarnation: target.incarnation,
        sequence: target.sequence,
    })
}

/// Encodes a balancer's record.
#[must_use]
pub fn balancer_to_message(record: &BalancerRecord) -> Balancer {
    Balancer {
        id: record.id.0,
        domain: record.domain.0,
        control: addr_to_bytes(record.control),
        leaving: record.leaving,
        incarnation: record.incarnation,
        sequence: record.sequence,
    }
}

/// Decodes a balancer's record.
///
/// # Errors
///
/// [`RecordError`] with the invalid field.
pub fn balancer_from_message(balancer: &Balancer) -> Result<BalancerRecord, RecordError> {
    Ok(BalancerRecord {
        id: BalancerId(balancer.id),
        domain: DomainId(balancer.domain),
        control: addr_from_bytes(&balancer.control)?,
        leaving: balancer.leaving,
        incarnation: balancer.incarnation,
        sequence: balancer.sequence,
    })
}

fn whole_secs(span: Millis) -> u32 {
    u32::try_from(span.0 / 1_000).unwrap_or(u32::MAX)
}

pub(crate) const fn state_to_number(state: TargetState) -> u32 {
    match state {
        TargetState::Starting => 0,
        TargetState::Ready => 1,
        TargetState::Draining => 2,
        TargetState::Dead => 3,
    }
}

pub(crate) const fn state_from_number(number: u32) -> Result<TargetState, RecordError> {
    match number {
        0 => Ok(TargetState::Starting),
        1 => Ok(TargetState::Ready),
        2 => Ok(TargetState::Draining),
        3 => Ok(TargetState::Dead),
        other => Err(RecordError::State(other)),
    }
}

const fn verdict_to_number(verdict: Verdict) -> u32 {
    match verdict {
        Verdict::Alive => 0,
        Verdict::Suspect => 1,
        Verdict::Dead => 2,
    }
}

const fn verdict_from_number(number: u32) -> Result<Verdict, RecordError> {
    match number {
        0 => Ok(Verdict::Alive),
        1 => Ok(Verdict::Suspect),
        2 => Ok(Verdict::Dead),
        other => Err(RecordError::Verdict(other)),
    }
}
