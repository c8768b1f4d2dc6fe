//! Selection of the members that are used for routing.
//!
//! A suspect gets no new flow but still gets packets of flows that it may hold, and so does a
//! flapping target until it is stable. If less than [`PANIC_USABLE_PERCENT`] of a group's ready
//! targets were usable, false suspicion is assumed to be more likely than so many failures:
//! suspects and flapping targets are then used like the others (panic mode). Dead targets are used
//! only if no other is left in the group, and only for [`PANIC_DEAD_TTL`], because a packet to a
//! dead agent is lost while a refusal is at least an answer.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::record::{TargetRecord, TargetState};
use super::update::Verdict;
use super::view::{Entry, View};
use crate::clock::Millis;
use crate::id::GroupId;

/// Percentage of usable targets among a group's ready ones below which suspects and flapping
/// targets are used too.
pub const PANIC_USABLE_PERCENT: usize = 50;

/// Time for which dead targets are used in a group without any other target.
pub const PANIC_DEAD_TTL: Millis = Millis::from_secs(60);

/// Number of targets by their state for routing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Counts {
    /// Announced, not yet ready.
    pub starting: usize,
    /// Accept new flows.
    pub ready: usize,
    /// Finish their open flows.
    pub draining: usize,
    /// Suspected because their heartbeats are missing.
    pub suspect: usize,
    /// Treated as not ready because they flap.
    pub flapping: usize,
    /// Gone, with their records still kept.
    pub dead: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Group {
    ready: usize,
    usable: usize,
    doubtful: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Panic {
    /// Enough targets are usable.
    No,
    /// Suspects and flapping targets are used too.
    Doubtful,
    /// No other target is left, so recently dead targets are used too.
    All,
}

impl Group {
    const fn panic(&self) -> Panic {
        if self.usable * 100 >= self.ready * PANIC_USABLE_PERCENT {
            Panic::No
        } else if self.usable + self.doubtful > 0 {
            Panic::Doubtful
        } else {
            Panic::All
        }
    }
}

impl View {
    /// Records from which the routes are built, sorted by identity, with states as used for
    /// routing.
    #[must_use]
    pub fn records_for_routes(&self, now: Millis) -> Vec<TargetRecord> {
        let groups = self.groups(now);
        let mut records: Vec<TargetRecord> = self
            .targets
            .values()
            .map(|entry| {
                let group = groups.get(&entry.update.record.group);
                let panic = group.map_or(Panic::No, Group::panic);
                TargetRecord {
                    state: entry.effective_state(now, panic),
                    ..entry.update.record
                }
            })
            .filter(|record| record.state.may_hold())
            .collect();
        records.sort_unstable_by_key(|record| record.id);
        records
    }

    /// Number of targets by state.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for entry in self.targets.values() {
            let count = match entry.update.record.state {
                _ if entry.update.is_gone() => &mut counts.dead,
                _ if entry.update.verdict == Verdict::Suspect => &mut counts.suspect,
                TargetState::Ready if entry.damping.is_suppressed() => &mut counts.flapping,
                TargetState::Ready => &mut counts.ready,
                TargetState::Draining => &mut counts.draining,
                TargetState::Starting | TargetState::Dead => &mut counts.starting,
            };
            *count += 1;
        }
        counts
    }

    /// Counts a change if a dead target's [`PANIC_DEAD_TTL`] ended since the last sweep. The target
    /// may have been in use until then, and no update reports the end.
    pub(super) fn detect_end_of_panic(&mut self, now: Millis) {
        let before = self.last_sweep;
        let ended = self.targets.values().any(|entry| {
            entry.is_recently_dead(before) && !entry.is_recently_dead(now) && entry.update.is_gone()
        });
        self.changes += u64::from(ended);
    }

    fn groups(&self, now: Millis) -> HashMap<GroupId, Group> {
        let mut groups: HashMap<GroupId, Group> = HashMap::new();
        let ready = self
            .targets
            .values()
            .filter(|entry| entry.announces_ready());
        for entry in ready {
            if entry.update.is_gone() && !entry.is_recently_dead(now) {
                continue;
            }
            let group = groups.entry(entry.update.record.group).or_default();
            group.ready += 1;
            group.usable += usize::from(entry.is_usable());
            group.doubtful += usize::from(entry.is_doubtful());
        }
        groups
    }
}

impl Entry {
    fn is_usable(&self) -> bool {
        self.update.verdict == Verdict::Alive && !self.damping.is_suppressed()
    }

    fn is_doubtful(&self) -> bool {
        !self.is_usable() && !self.update.is_gone()
    }

    fn is_recently_dead(&self, now: Millis) -> bool {
        self.update.verdict == Verdict::Dead && self.gone_for(now) < PANIC_DEAD_TTL
    }

    fn effective_state(&self, now: Millis, panic: Panic) -> TargetState {
        let announced = self.update.record.state;
        if self.update.is_gone() {
            let serves = panic == Panic::All && self.is_recently_dead(now);
            return if serves { announced } else { TargetState::Dead };
        }
        if announced != TargetState::Ready || self.is_usable() || panic == Panic::Doubtful {
            return announced;
        }
        if self.update.verdict == Verdict::Suspect {
            return TargetState::Draining;
        }
        TargetState::Starting
    }
}
