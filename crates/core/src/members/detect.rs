//! Failure detection by missing heartbeats.
//!
//! Every agent reports to a few balancers. A balancer that misses heartbeats suspects the target,
//! which then gets no new flow but may hold some. After a longer silence the target is dead. Both
//! verdicts require that the silence is not caused by this process: its own pauses do not count,
//! and while it receives no message from any process it reaches no verdict. A target is suspected
//! within [`SUSPECT_AFTER`] plus one tick of its last heartbeat, which is the bound on detection.

use super::record::TargetRecord;
use super::update::{TargetUpdate, Verdict};
use super::view::{DEAD_TTL, View};
use crate::clock::Millis;
use crate::id::TargetId;

/// Interval between heartbeats of an agent.
pub const HEARTBEAT: Millis = Millis::from_secs(2);

/// Silence after which a target is suspected and gets no new flow: two missed heartbeats and half
/// an interval for delay.
pub const SUSPECT_AFTER: Millis = Millis(5_000);

/// Time as a suspect after which a target is dead.
pub const DEAD_AFTER: Millis = Millis::from_secs(15);

/// Time without a message from any process after which this process considers itself isolated.
pub const ISOLATED_AFTER: Millis = Millis::from_secs(4);

/// Maximum number of verdicts per tick, so that the loss of a rack does not flood the network.
pub const VERDICTS_PER_TICK: usize = 16;

/// Interval between sweeps over all members.
const SWEEP: Millis = Millis::from_secs(1);

/// Result of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatOutcome {
    /// Whether the record was new to this process and has to be gossiped.
    pub is_update: bool,
    /// Version (incarnation and sequence) that the agent's record has to exceed, because the target
    /// is under a verdict or the record is older than the one known of the same agent.
    pub refute_above: Option<(u64, u64)>,
}

impl View {
    /// Records that a message from another process was received.
    pub fn on_contact(&mut self, now: Millis) {
        self.last_contact = self.clock.awake(now);
    }

    /// Handles a heartbeat. `is_last` is set if the agent reports to another balancer from now on.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        record: TargetRecord,
        is_last: bool,
    ) -> HeartbeatOutcome {
        self.on_contact(now);
        let update = TargetUpdate::alive(record);
        let is_update = self.merge_target(now, update);
        if is_last {
            self.last_heartbeats.remove(&record.id);
        } else {
            self.last_heartbeats
                .insert(record.id, self.clock.awake(now));
        }
        HeartbeatOutcome {
            is_update,
            refute_above: self.refute_above(&record),
        }
    }

    /// Reaches the verdicts that are due, and returns those that have to be gossiped.
    pub fn on_tick(&mut self, now: Millis) -> Vec<TargetUpdate> {
        let pause = self.clock.tick(now);
        if pause.0 >= DEAD_TTL.0 / 2 {
            self.forget_all();
        }
        if now.since(self.last_sweep) >= SWEEP {
            self.sweep(now);
        }
        if self.is_isolated(now) {
            return Vec::new();
        }
        self.reach_verdicts(now)
    }

    /// Whether this process has received no message for [`ISOLATED_AFTER`].
    #[must_use]
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.clock.awake(now).since(self.last_contact) >= ISOLATED_AFTER
    }

    /// Number of agents that report to this process.
    #[must_use]
    pub fn reporting(&self) -> usize {
        self.last_heartbeats.len()
    }

    /// Version that the agent has to exceed, if any.
    ///
    /// This includes an agent whose clock went back between two starts, so that its incarnation is
    /// too low. An agent at another address is excluded: it was replaced by a later start there and
    /// must not compete with its replacement.
    fn refute_above(&self, record: &TargetRecord) -> Option<(u64, u64)> {
        let known = &self.targets.get(&record.id)?.update;
        let is_current = known.verdict == Verdict::Alive && known.record == *record;
        let is_replaced = known.record.agent != record.agent;
        (!is_current && !is_replaced).then_some(known.record.version())
    }

    fn reach_verdicts(&mut self, now: Millis) -> Vec<TargetUpdate> {
        let awake = self.clock.awake(now);
        let due: Vec<TargetUpdate> = self
            .last_heartbeats
            .iter()
            .filter(|(_, last)| awake.since(**last) >= SUSPECT_AFTER)
            .filter_map(|(id, _)| self.next_verdict(awake, *id))
            .take(VERDICTS_PER_TICK)
            .collect();
        for update in &due {
            self.replace(now, *update);
            if update.verdict == Verdict::Dead {
                self.last_heartbeats.remove(&update.record.id);
            }
        }
        due
    }

    fn next_verdict(&self, awake: Millis, id: TargetId) -> Option<TargetUpdate> {
        let entry = self.targets.get(&id)?;
        match entry.update.verdict {
            _ if entry.update.is_gone() => None,
            Verdict::Alive => Some(entry.update.with_verdict(Verdict::Suspect)),
            Verdict::Suspect if awake.since(entry.verdict_at) >= DEAD_AFTER => {
                Some(entry.update.with_verdict(Verdict::Dead))
            }
            Verdict::Suspect | Verdict::Dead => None,
        }
    }

    /// Handles what is not urgent: old suspects, stable targets and expired records.
    fn sweep(&mut self, now: Millis) {
        self.expire_suspects(now);
        self.release_stable(now);
        self.detect_end_of_panic(now);
        self.forget_expired(now);
        self.last_sweep = now;
    }

    /// Declares suspects dead whose reporters may have died with them. Every process reaches this
    /// verdict itself, so it is not gossiped.
    fn expire_suspects(&mut self, now: Millis) {
        if self.is_isolated(now) {
            return;
        }
        let awake = self.clock.awake(now);
        let bound = DEAD_AFTER.after(SUSPECT_AFTER);
        let due: Vec<TargetUpdate> = self
            .targets
            .values()
            .filter(|entry| entry.update.verdict == Verdict::Suspect && !entry.update.is_gone())
            .filter(|entry| awake.since(entry.verdict_at) >= bound)
            .map(|entry| entry.update.with_verdict(Verdict::Dead))
            .collect();
        for update in due {
            self.replace(now, update);
        }
    }

    fn release_stable(&mut self, now: Millis) {
        let mut released = 0;
        for entry in self.targets.values_mut() {
            released += u64::from(entry.damping.release_if_stable(now));
        }
        self.changes += released;
    }

    fn forget_expired(&mut self, now: Millis) {
        let targets: Vec<TargetId> = self
            .targets
            .values()
            .filter(|entry| entry.update.is_gone() && now >= entry.forget_at)
            .map(|entry| entry.update.record.id)
            .collect();
        for id in targets {
            self.remove_target(id);
        }
        for id in self.balancers.expired(now, DEAD_TTL) {
            self.remove_balancer(now, id);
        }
    }
}
