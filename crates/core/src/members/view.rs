//! One process's view of all members.
//!
//! Updates are merged by the order of [`TargetUpdate`], so that a delayed record never overwrites a
//! newer one. Records of dead targets are kept for [`DEAD_TTL`]. They carry the time since the
//! death, so that a process that learns of it late keeps the record only for the rest of the TTL.
//! After that, an older record could come back only from a process that was out of contact for
//! longer. A process therefore clears its view after a pause of at least half the TTL.

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

/// TTL of the records of dead targets and balancers, during which no older record can bring them
/// back.
pub const DEAD_TTL: Millis = Millis::from_secs(2 * 60 * 60);

/// Time without a change after which a digest bucket is compared. By then, gossip has delivered the
/// updates in flight.
pub const SETTLED_AFTER: Millis = Millis::from_secs(8);

/// State of one target in the view.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) update: TargetUpdate,
    /// Awake time at which the verdict was reached or merged.
    pub(super) verdict_at: Millis,
    /// Time at which the entry is removed if the target is gone.
    pub(super) forget_at: Millis,
    pub(super) damping: Damping,
}

/// One process's view of all members.
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

    /// Merges an update and returns whether it was newer than the known one.
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

    /// Merges a verdict on a known record and returns whether it was new. A verdict on another
    /// version is ignored and left to the repair.
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

    /// Merges a balancer's record and returns whether it was newer than the known one.
    pub fn merge_balancer(&mut self, now: Millis, record: BalancerRecord) -> bool {
        let old = self.balancers.get(record.id).copied();
        let is_newer = self.balancers.merge(now, record);
        if is_newer {
            self.digests.replace_balancer(old.as_ref(), Some(&record));
            self.touch_bucket(now, record.id.0);
        }
        is_newer
    }

    /// Removes a balancer that is permanently gone.
    pub fn remove_balancer(&mut self, now: Millis, id: BalancerId) {
        if let Some(old) = self.balancers.remove(id) {
            self.digests.replace_balancer(Some(&old), None);
            self.touch_bucket(now, id.0);
        }
    }

    /// Latest update about a target, with `gone_for` as of `now`.
    #[must_use]
    pub fn target(&self, now: Millis, id: TargetId) -> Option<TargetUpdate> {
        let entry = self.targets.get(&id)?;
        Some(entry.update_at(now))
    }

    /// All targets, including dead ones.
    pub fn targets(&self, now: Millis) -> impl Iterator<Item = TargetUpdate> {
        self.targets.values().map(move |entry| entry.update_at(now))
    }

    /// All balancers.
    #[must_use]
    pub const fn balancers(&self) -> &Balancers {
        &self.balancers
    }

    /// Counter that increases with every change that may affect the routes.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Digests of all buckets.
    #[must_use]
    pub const fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Whether nothing in the digest bucket has changed for [`SETTLED_AFTER`].
    #[must_use]
    pub fn is_settled(&self, now: Millis, bucket: usize) -> bool {
        self.changed_at
            .get(&bucket)
            .is_none_or(|at| now.since(*at) >= SETTLED_AFTER)
    }

    /// Removes all members. Used by a process that was paused for too long.
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

    /// Replaces the update about a target, whether newer or not.
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

    /// Stops monitoring an agent that is silent here but alive by an update from another balancer:
    /// it reports to other balancers by now.
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

    /// Removes a target whose record has expired.
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

    /// Whether the agent announces the target as ready.
    pub(super) fn announces_ready(&self) -> bool {
        self.update.record.state == TargetState::Ready
    }

    /// Time for which the target has been gone.
    pub(super) fn gone_for(&self, now: Millis) -> Millis {
        self.update_at(now).gone_for
    }
}

/// Whether a usable target became unusable or restarted, other than by a planned drain or stop.
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
