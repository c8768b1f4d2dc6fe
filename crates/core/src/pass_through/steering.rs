//! Which target a new flow is given to.
//!
//! Flows live long, so a target is judged by what its flows will bring and not only by what it
//! works on at the moment: the load of a target is the mean of its measured requests in progress
//! and of what its number of flows brings at the fleet's average. Flows given since the last
//! report count at once, which keeps many callers that come back together from meeting at the
//! target that looked idle. A target that leaves requests without an answer is soon done with them
//! and looks idle too, so the share that it fails counts as load. That is relative: it still helps
//! where the others are full, and a pool that fails as a whole is used as before. Traffic between failure domains costs, so a target in another domain
//! must be better by a margin that depends on the bytes a flow carries.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::config::Spill;
use crate::id::{DomainId, GroupId};
use crate::members::TargetState;

use super::fleet::{Fleet, Member, TargetKey};

/// A report older than this counts as silence: four intervals, so that lost reports do no harm.
pub(super) const SILENT_AFTER: Millis = Millis(1_100);

/// Load of a target whose work fills all of its slots.
const FULL_MILLI: u64 = 1_000;

/// Difference in load, in thousandths of the slots, at which another domain is better.
const fn margin_milli(spill: Spill) -> u64 {
    match spill {
        Spill::Early => 100,
        Spill::Normal => 400,
        Spill::Late => 4 * FULL_MILLI,
    }
}

/// Work that a flow is expected to bring where nothing was measured, in thousandths of a request.
const UNMEASURED_FLOW_MILLI: u64 = 50;

/// A target is slower by about this much while it is cold, in thousandths.
const COLD_MILLI: u64 = 1_600;

/// Share of failed requests that is taken for single failures, in thousandths: of eight requests in
/// a row none, with the weight that one failure has in the share.
const FAILING_IGNORED_MILLI: u64 = 130;

/// Load for each failed request: a target that fails a third more than single requests comes after
/// one whose slots are full.
const FAILING_LOAD: u64 = 3;

/// Random part of a score, in thousandths of the slots. Balancers that know the same do not
/// choose the same target then.
const JITTER_MILLI: u64 = 40;

/// The same once a target has given the flow back. Reports then say little about who has a free slot, and
/// the balancers would go on meeting at the targets that were reported best.
const RETRY_JITTER_MILLI: u64 = FULL_MILLI;

/// What to choose by.
pub(super) struct Wish<'a> {
    pub(super) groups: &'a dyn Fn(GroupId) -> bool,
    pub(super) domain: DomainId,
    pub(super) spill: Spill,
    pub(super) tried: &'a [TargetKey],
    /// Leaves out targets that have said that they have no room for now.
    pub(super) only_with_room: bool,
}

/// The best target, none if no target of the groups may take the flow.
pub(super) fn choose(
    now: Millis,
    fleet: &Fleet,
    wish: &Wish<'_>,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    let members: Vec<_> = fleet
        .iter()
        .filter(|(_, member)| (wish.groups)(member.report.group))
        .collect();
    let jitter = if wish.tried.is_empty() {
        JITTER_MILLI
    } else {
        RETRY_JITTER_MILLI
    };
    let flow_milli = mean_flow_milli(members.iter().map(|(_, member)| *member));
    members
        .into_iter()
        .filter(|(key, _)| !wish.tried.contains(key))
        .filter(|(_, member)| !wish.only_with_room || !is_full(now, member))
        .filter_map(|(key, member)| {
            let rank = rank(now, member)?;
            let mut score = load_milli(member, flow_milli) + rng.random_range(0..jitter);
            if member.report.domain != wish.domain {
                score += margin_milli(wish.spill).max(jitter);
            }
            Some(((rank, score), key))
        })
        .min_by_key(|(score, _)| *score)
        .map(|(_, key)| key)
}

/// Whether the target has said that it has no room yet.
fn is_full(now: Millis, member: &Member) -> bool {
    member.room_at.is_some_and(|room_at| now < room_at)
}

/// Whether the target may be given flows.
pub(super) fn takes_flows(now: Millis, member: &Member) -> bool {
    rank(now, member).is_some()
}

/// Order of preference before any load, none for a target that must not be given flows.
fn rank(now: Millis, member: &Member) -> Option<u8> {
    let is_heard = member.is_in_touch(now, SILENT_AFTER) && !member.report.is_stopping;
    match (member.report.state, is_heard) {
        (TargetState::Ready, true) => Some(0),
        // Not announced since the agent was started. The target may well be at work.
        (TargetState::Starting, true) => Some(1),
        (TargetState::Ready, false) => Some(2),
        _ => None,
    }
}

/// Work that one more flow brings, from all targets of the groups together.
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
    let given = u64::from(member.given);
    let by_flows = (u64::from(report.flows) + given) * flow_milli;
    let measured = u64::from(report.mean_busy_milli).midpoint(u64::from(report.busy) * FULL_MILLI);
    let measured = measured + given * flow_milli;
    let work = by_flows.midpoint(measured);
    let failing = u64::from(report.failing_milli).saturating_sub(FAILING_IGNORED_MILLI);
    let load = work / u64::from(report.slots.max(1)) + failing * FAILING_LOAD;
    if report.cold_left == Millis::ZERO {
        load
    } else {
        load * COLD_MILLI / FULL_MILLI + FULL_MILLI / 4
    }
}
