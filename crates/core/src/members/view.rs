//! The view of all members that one process has.
//!
//! Whatever arrives is merged by the order of [`TargetUpdate`], so that a late record never undoes a
//! newer one. The dead are kept for [`DEAD_TTL`] and age on the way: whoever learns of a death
//! late keeps it only for the rest of that time. An old record can come back only from a process
//! that was out of touch for longer, and such a process forgets its view first.

use std::collections::BTreeMap;

use super::balancers::Balancers;
use super::clock::AwakeClock;
use super::damping::Damping;
use super::detect::SUSPECT_AFTER;
use super::digest::{Digests, bucket_of};
use super::record::{BalancerRecord, TargetRecord, TargetState};
use super::update::{TargetUpdate, Verdict, VerdictUpdate};
use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};

/// Time for which the dead are remembered, so that no older record brings them back.
pub const DEAD_TTL: Millis = Millis::from_secs(2 * 60 * 60);

/// Time without a change after which a slice is worth comparing: updates on their way have arrived.
pub const SETTLED_AFTER: Millis = Millis::from_secs(8);

/// One target in the view.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) update: TargetUpdate,
    /// When its verdict was reached here, in awake time.
    pub(super) verdict_at: Millis,
    /// When it is forgotten, if it is gone.
    pub(super) forget_at: Millis,
    pub(super) damping: Damping,
}

/// All that one process knows of the members.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub(super) targets: BTreeMap<TargetId, Entry>,
    pub(super) balancers: Balancers,
    /// Awake time of the last heartbeat of each agent that reports to this process.
    pub(super) last_heartbeats: BTreeMap<TargetId, Millis>,
    pub(super) clock: AwakeClock,
    pub(super) last_contact: Millis,
    pub(super) last_sweep: Millis,
    pub(super) changes: u64,
    digests: Digests,
    changed_at: BTreeMap<usize, Millis>,
}

impl View {
    /// A view without members.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over what is newer, and says whether it was.
    pub fn merge_target(&mut self, now: Millis, update: TargetUpdate) -> bool {
        let id = update.record.id;
        let old = self.targets.get(&id);
        let is_newer = match old {
            Some(entry) => update.is_newer_than(&entry.update),
            None => update.gone_for < DEAD_TTL,
        };
        if is_newer {
            self.replace(now, update);
            self.stop_monitoring_if_reported_elsewhere(now, &update);
        }
        is_newer
    }

    /// Takes over a verdict on a record that is known here, and says whether it was new. One on
    /// another version is left to the repair.
    pub fn merge_verdict(&mut self, now: Millis, verdict: &VerdictUpdate) -> bool {
        let Some(entry) = self.targets.get(&verdict.id) else {
            return false;
        };
        if entry.update.record.version() != verdict.version {
            return false;
        }
        let update = TargetUpdate {
            verdict: verdict.verdict,
            gone_for: verdict.gone_for,
            ..entry.update
        };
        self.merge_target(now, update)
    }

    /// Takes over what is newer about a balancer, and says whether it was.
    pub fn merge_balancer(&mut self, now: Millis, record: BalancerRecord) -> bool {
        let old = self.balancers.get(record.id).copied();
        let is_newer = self.balancers.merge(now, record);
        if is_newer {
            self.digests.replace_balancer(old.as_ref(), Some(&record));
            self.touch_bucket(now, record.id.0);
        }
        is_newer
    }

    /// Removes a balancer that is known to be gone for good.
    pub fn remove_balancer(&mut self, now: Millis, id: BalancerId) {
        if let Some(old) = self.balancers.remove(id) {
            self.digests.replace_balancer(Some(&old), None);
            self.touch_bucket(now, id.0);
        }
    }

    /// What is known of a target, the time since its death brought up to date.
    #[must_use]
    pub fn target(&self, now: Millis, id: TargetId) -> Option<TargetUpdate> {
        let entry = self.targets.get(&id)?;
        Some(entry.update_at(now))
    }

    /// Every target, the dead included.
    pub fn targets(&self, now: Millis) -> impl Iterator<Item = TargetUpdate> {
        self.targets.values().map(move |entry| entry.update_at(now))
    }

    /// The balancers.
    #[must_use]
    pub const fn balancers(&self) -> &Balancers {
        &self.balancers
    }

    /// Grows with every change that the routes can see.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Digest of every slice.
    #[must_use]
    pub const fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Whether nothing in the slice changed lately.
    #[must_use]
    pub fn is_settled(&self, now: Millis, bucket: usize) -> bool {
        self.changed_at
            .get(&bucket)
            .is_none_or(|at| now.since(*at) >= SETTLED_AFTER)
    }

    /// Forgets every member, as a process does that was out of touch for too long.
    pub fn forget_all(&mut self) {
        let changes = self.changes + 1;
        *self = Self {
            clock: self.clock,
            last_contact: self.last_contact,
            last_sweep: self.last_sweep,
            changes,
            ..Self::default()
        };
    }

    /// Replaces what is known of a target, whether newer or not.
    pub(super) fn replace(&mut self, now: Millis, update: TargetUpdate) {
        let awake = self.clock.awake(now);
        let id = update.record.id;
        let old = self.targets.get(&id);
        let old_update = old.map(|entry| entry.update);
        let mut damping = old.map(|entry| entry.damping).unwrap_or_default();
        if old_update.is_some_and(|old| is_flap(&old, &update)) {
            damping.record_flap(now);
        }
        let entry = Entry {
            update,
            verdict_at: awake,
            forget_at: now.after(DEAD_TTL.since(update.gone_for)),
            damping,
        };
        self.digests
            .replace_target(old_update.as_ref(), Some(&update));
        self.targets.insert(id, entry);
        self.touch_bucket(now, id.0);
        self.changes += 1;
    }

    /// An agent that others hear from and this process does not reports to others by now.
    fn stop_monitoring_if_reported_elsewhere(&mut self, now: Millis, update: &TargetUpdate) {
        let awake = self.clock.awake(now);
        let is_silent = self
            .last_heartbeats
            .get(&update.record.id)
            .is_some_and(|last| awake.since(*last) >= SUSPECT_AFTER);
        if is_silent && update.verdict == Verdict::Alive {
            self.last_heartbeats.remove(&update.record.id);
        }
    }

    /// Removes a target that has been gone for long enough.
    pub(super) fn remove_target(&mut self, id: TargetId) {
        self.last_heartbeats.remove(&id);
        if let Some(old) = self.targets.remove(&id) {
            self.digests.replace_target(Some(&old.update), None);
        }
    }

    fn touch_bucket(&mut self, now: Millis, id: u64) {
        self.changed_at.insert(bucket_of(id), now);
    }
}

impl Entry {
    fn update_at(&self, now: Millis) -> TargetUpdate {
        if !self.update.is_gone() {
            return self.update;
        }
        let gone_for = DEAD_TTL.since(self.forget_at.since(now));
        TargetUpdate {
            gone_for,
            ..self.update
        }
    }

    /// Whether the record claims to be ready.
    pub(super) fn announces_ready(&self) -> bool {
        self.update.record.state == TargetState::Ready
    }

    /// How long the target has been gone.
    pub(super) fn gone_for(&self, now: Millis) -> Millis {
        self.update_at(now).gone_for
    }
}

/// Whether a target that was usable stopped being so, other than by draining as asked.
fn is_flap(old: &TargetUpdate, new: &TargetUpdate) -> bool {
    if !is_usable(old) {
        return false;
    }
    let restarted = new.record.incarnation != old.record.incarnation;
    let planned = matches!(new.record.state, TargetState::Draining | TargetState::Dead);
    !planned && (restarted || !is_usable(new))
}

fn is_usable(update: &TargetUpdate) -> bool {
    let TargetRecord { state, .. } = update.record;
    state == TargetState::Ready && update.verdict == Verdict::Alive
}
