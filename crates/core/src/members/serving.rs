//! What the routes see of the members.
//!
//! A suspect gets no new flow but is tried for those that it may hold, and so is a flapping target
//! until it is calm. If that left less than [`PANIC_USABLE_PERCENT`] of a group usable, the doubt
//! is held to be wrong rather than the targets: suspects and flapping targets then serve like the
//! others. The dead serve only where nobody else is left, and for [`PANIC_DEAD_TTL`], because a
//! packet to a dead agent is lost while a refusal is at least an answer.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::record::{TargetRecord, TargetState};
use super::update::Verdict;
use super::view::{Entry, View};
use crate::clock::Millis;
use crate::id::GroupId;

/// Share of a group's ready targets below which suspects serve too, in percent.
pub const PANIC_USABLE_PERCENT: usize = 50;

/// Time for which the dead serve in a group that has nobody else.
pub const PANIC_DEAD_TTL: Millis = Millis::from_secs(60);

/// Targets by what the routes do with them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Counts {
    /// Announced, not ready.
    pub starting: usize,
    /// Take new flows.
    pub ready: usize,
    /// Finish what they have.
    pub draining: usize,
    /// Silent for a while.
    pub suspect: usize,
    /// Held as not ready because they flap.
    pub flapping: usize,
    /// Gone, still remembered.
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
    /// Suspects and flapping targets serve too.
    Doubtful,
    /// Nobody else is left, so the lately dead serve too.
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
    /// The records from which routes are built.
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

    /// How many targets are in which state.
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

    /// A dead target that served in a panic stops doing so by the passage of time alone.
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
