//! Choice of the target for a new flow.
//!
//! Flows are long-lived, so a target's load includes the work that its flows are expected to bring,
//! and not only its current work: it is the mean of the measured requests in progress and of the
//! number of flows times the fleet's average work per flow. Flows assigned since the last report
//! count at once, so that many callers that reconnect at the same time are not all sent to the
//! target that was reported idle. A target that fails requests finishes them quickly and appears
//! idle, so its share of failed requests is added to its load. Load is relative: a failing target
//! is still used where the others are full, and a pool that fails as a whole is used as before.
//! Traffic between failure domains is costly, so a target in another domain must be better by a
//! margin that depends on the bytes a flow carries.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::config::Spill;
use crate::id::{DomainId, GroupId};
use crate::members::TargetState;

use super::fleet::{Fleet, Member, TargetKey};

/// Age at which a report is too old: four report intervals, so that a few lost reports have no
/// effect.
pub(super) const REPORT_TIMEOUT: Millis = Millis(1_100);

/// Load of a target whose work fills all of its slots, in thousandths.
const FULL_MILLI: u64 = 1_000;

/// Difference in load at which a target in another domain is preferred, in thousandths of the
/// slots.
const fn margin_milli(spill: Spill) -> u64 {
    match spill {
        Spill::Early => 100,
        Spill::Normal => 400,
        Spill::Late => 4 * FULL_MILLI,
    }
}

/// Work that a flow is expected to bring while there are no measurements, in thousandths of a
/// request.
const UNMEASURED_FLOW_MILLI: u64 = 50;

/// Approximate factor by which a target is slower during its warm-up, in thousandths.
const COLD_MILLI: u64 = 1_600;

/// Share of failed requests that is ignored as isolated failures, in thousandths. The share
/// averages over about eight requests, so that a single failure adds 125 to it.
const FAILING_IGNORED_MILLI: u64 = 130;

/// Factor by which the share of failed requests above [`FAILING_IGNORED_MILLI`] is added to the
/// load. A target that fails a third of its requests beyond that share ranks behind one whose slots
/// are full.
const FAILING_LOAD: u64 = 3;

/// Random part of a score, in thousandths of the slots. It keeps balancers with the same
/// information from choosing the same target.
const JITTER_MILLI: u64 = 40;

/// Random part of a score once a target has rejected the flow. Reports then say little about which
/// targets have a free slot, and without it the balancers would keep choosing the targets with the
/// best reports.
const RETRY_JITTER_MILLI: u64 = FULL_MILLI;

/// Criteria for the choice of a target.
pub(super) struct Criteria<'a> {
    pub(super) groups: &'a dyn Fn(GroupId) -> bool,
    pub(super) domain: DomainId,
    pub(super) spill: Spill,
    pub(super) tried: &'a [TargetKey],
    /// Excludes targets that have announced that they have no capacity for now.
    pub(super) only_with_capacity: bool,
}

/// Returns the best target, `None` if no target of the groups may be assigned the flow.
pub(super) fn choose(
    now: Millis,
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    let members: Vec<_> = fleet
        .iter()
        .filter(|(_, member)| (criteria.groups)(member.report.group))
        .collect();
    let jitter = if criteria.tried.is_empty() {
        JITTER_MILLI
    } else {
        RETRY_JITTER_MILLI
    };
    let flow_milli = mean_flow_milli(members.iter().map(|(_, member)| *member));
    members
        .into_iter()
        .filter(|(key, _)| !criteria.tried.contains(key))
        .filter(|(_, member)| !criteria.only_with_capacity || !is_full(now, member))
        .filter_map(|(key, member)| {
            let rank = rank(now, member)?;
            let mut score = load_milli(member, flow_milli) + rng.random_range(0..jitter);
            if member.report.domain != criteria.domain {
                score += margin_milli(criteria.spill).max(jitter);
            }
            Some(((rank, score), key))
        })
        .min_by_key(|(score, _)| *score)
        .map(|(_, key)| key)
}

/// Whether the target has announced that it has no capacity yet.
fn is_full(now: Millis, member: &Member) -> bool {
    member
        .capacity_at
        .is_some_and(|capacity_at| now < capacity_at)
}

/// Whether the target may be assigned flows.
pub(super) fn is_assignable(now: Millis, member: &Member) -> bool {
    rank(now, member).is_some()
}

/// Preference that precedes the load, lower first. `None` for a target that must not be assigned
/// flows.
fn rank(now: Millis, member: &Member) -> Option<u8> {
    let is_reporting =
        member.is_seen_within_scaled(now, REPORT_TIMEOUT) && !member.report.is_stopping;
    match (member.report.state, is_reporting) {
        (TargetState::Ready, true) => Some(0),
        // The target has not announced itself since the agent was started, but may be running.
        (TargetState::Starting, true) => Some(1),
        (TargetState::Ready, false) => Some(2),
        _ => None,
    }
}

/// Expected work of one more flow, averaged over all targets of the groups.
fn mean_flow_milli<'a>(members: impl Iterator<Item = &'a Member>) -> u64 {
    let (work, flows) = members.fold((0, 0), |(work, flows), member| {
        (
            work + u64::from(member.report.mean_busy_milli),
            flows + u64::from(member.report.flows),
        )
    });
    if flows == 0 {
        return UNMEASURED_FLOW_MILLI;
    }
    (work / flows).clamp(1, FULL_MILLI)
}

/// Expected load, in thousandths of the slots.
fn load_milli(member: &Member, flow_milli: u64) -> u64 {
    let report = &member.report;
    let assigned = u64::from(member.assigned);
    let by_flows = (u64::from(report.flows) + assigned) * flow_milli;
    let measured = u64::from(report.mean_busy_milli).midpoint(u64::from(report.busy) * FULL_MILLI);
    let measured = measured + assigned * flow_milli;
    let work = by_flows.midpoint(measured);
    let failing = u64::from(report.failing_milli).saturating_sub(FAILING_IGNORED_MILLI);
    let load = work / u64::from(report.slots.max(1)) + failing * FAILING_LOAD;
    if report.cold_left == Millis::ZERO {
        load
    } else {
        load * COLD_MILLI / FULL_MILLI + FULL_MILLI / 4
    }
}
