//! What the agent knows of its target: its state, its load, and when it has ended.

use std::collections::HashSet;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::InstanceId;
use crate::members::TargetState;

use super::super::conn::{Conn, Stage};
use super::super::fleet::{REMOTE_REPORT_INTERVAL, Report};
use super::super::packet::{Holding, Reset, ResetReason};
use super::health::Health;
use super::{ANSWER_WITHIN, Agent, AgentAction, Heartbeat, Life};

/// Span over which the mean of requests in progress is taken.
const BUSY_SPAN: Millis = Millis(1_000);

/// Heartbeats that may be missing before the target is given no new flows.
pub(super) const MISSED_HEARTBEATS: u64 = 2;

/// Heartbeats that are missing, with nothing else from the target, when it counts as gone.
const GONE_HEARTBEATS: u64 = 3;

/// Time after its goodbye in which the target ends.
const END_WITHIN: Millis = Millis(100);

/// A gap between two entries to the table that shows that the process itself was paused.
const PAUSE: Millis = Millis(600);

impl<B: Clone> Agent<B> {
    /// Takes a heartbeat of the target. Returns whether balancers must be notified at once, or none if
    /// the heartbeat is older than what is known.
    ///
    /// A target that was started again has lost the flows of its last start. Their callers are
    /// reset, also those that wait for nothing: their next request would be lost.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        heartbeat: Heartbeat,
        out: &mut Vec<AgentAction<B>>,
    ) -> Option<bool> {
        self.notice_pause(now);
        let before = self.state(now);
        match self.last_heartbeat {
            Some((_, last)) if heartbeat.born < last.born => return None,
            Some((_, last)) if heartbeat.born == last.born => {
                if heartbeat.sequence <= last.sequence {
                    return None;
                }
            }
            Some(_) => {
                self.saw_start = true;
                self.health = Health::default();
                // What the last start was shown is lost with it.
                self.trials.clear();
                let started = Millis(now.0.saturating_sub(heartbeat.age.0));
                self.reset_flows(now, started, out);
            }
            // The time of day may jump, so the count of heartbeats must agree with the age.
            None => {
                let is_younger = heartbeat.age < now.since(self.started);
                self.saw_start = heartbeat.sequence <= 1 && is_younger;
            }
        }
        self.last_heartbeat = Some((now, heartbeat));
        self.life = Life::Seen;
        self.last_sign = Some(now);
        self.use_inherited(now, out);
        Some(self.state(now) != before)
    }

    /// An instance of the target says that it is gone. That is of no interest if another one has been
    /// heard since. Returns whether it was the one that is known.
    pub fn on_goodbye(&mut self, now: Millis, instance: InstanceId) -> bool {
        self.notice_pause(now);
        let Some((_, heartbeat)) = &mut self.last_heartbeat else {
            return false;
        };
        if heartbeat.instance != instance {
            return false;
        }
        heartbeat.state = TargetState::Dead;
        self.goodbye = Some(now);
        true
    }

    /// Whether nothing is left to do for the target: it has no request in progress, and none is on its way
    /// on a flow that it was just offered, or it is gone and its flows are reset.
    #[must_use]
    pub fn is_idle(&self, now: Millis) -> bool {
        let is_quiet = self.busy == 0 && self.awaited(now) == 0 && self.waiting.is_empty();
        is_quiet && self.goodbye.is_none()
    }

    /// What balancers are to know.
    pub fn report(&mut self, now: Millis) -> Report {
        self.notice_pause(now);
        self.sequence += 1;
        let heartbeat = self.last_heartbeat.map(|(_, heartbeat)| heartbeat);
        Report {
            target: self.place.target,
            incarnation: self.place.incarnation,
            sequence: self.sequence,
            agent: self.place.agent,
            group: self.place.group,
            domain: self.place.domain,
            state: self.state(now),
            is_stopping: self.is_stopping,
            slots: heartbeat.map_or(1, |heartbeat| heartbeat.slots),
            cold_left: self.cold_left(now),
            flows: u32::try_from(self.conns.len()).unwrap_or(u32::MAX),
            busy: self.pending(),
            mean_busy_milli: u32::try_from(self.mean_busy_milli).unwrap_or(u32::MAX),
            failing_milli: self.health.failing_milli(),
            remote_interval: REMOTE_REPORT_INTERVAL,
        }
    }

    /// Whether the target leaves many requests without an answer, whatever it says of itself.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// What the target can take.
    #[must_use]
    pub fn state(&self, now: Millis) -> TargetState {
        if self.has_fallen_silent(now) {
            return TargetState::Dead;
        }
        let Some((at, heartbeat)) = self.last_heartbeat else {
            return TargetState::Starting;
        };
        let patience = Millis(self.limits.heartbeat.0 * MISSED_HEARTBEATS).after(ANSWER_WITHIN);
        let is_silent = self.life == Life::Mute || now.since(at) > patience;
        match heartbeat.state {
            TargetState::Ready if is_silent => TargetState::Draining,
            state => state,
        }
    }

    /// Notices that the process was paused, so that silence until now says nothing about the target.
    /// Every entry to the table begins with this: which of them comes first after a pause is chance.
    pub(super) fn notice_pause(&mut self, now: Millis) {
        if now.since(self.entered) > PAUSE {
            self.listening_since = now;
            self.health.forgive();
            if let Some((at, _)) = &mut self.last_heartbeat {
                *at = now;
            }
        }
        self.entered = now;
    }

    /// Whether the target has ended, by its own word or by a long silence.
    pub(super) fn is_gone(&self, now: Millis) -> bool {
        if let Some(goodbye) = self.goodbye {
            return now.since(goodbye) >= END_WITHIN;
        }
        self.has_fallen_silent(now)
    }

    /// Whether nothing came from the target for so long that it must be gone, or was never there.
    fn has_fallen_silent(&self, now: Millis) -> bool {
        let heartbeat = self.last_heartbeat.map(|(at, _)| at);
        let heard = heartbeat.unwrap_or(self.listening_since);
        let patience = Millis(self.limits.heartbeat.0 * GONE_HEARTBEATS);
        now.since(heard) > patience && now.since(self.last_packet) > patience
    }

    /// Resets the callers of all flows that began before `end`.
    pub(super) fn reset_flows(&mut self, now: Millis, end: Millis, out: &mut Vec<AgentAction<B>>) {
        self.reset_flows_if(now, |_, conn| conn.since < end, out);
    }

    /// Resets the callers of a target that is silent and may have ended. One that is only silent may go on
    /// with what it works on, so a request that must not be repeated is left alone: its caller could do
    /// nothing with the reset, and its answer would be lost.
    pub(super) fn reset_silent_flows(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let classes = self.classes.newest_first();
        let repeatable = classes.filter(|(_, class)| class.is_repeatable);
        let repeatable: HashSet<_> = repeatable.map(|(service, _)| *service).collect();
        let may_reset =
            |flow: &FlowId, conn: &Conn| !conn.is_busy || repeatable.contains(&flow.service);
        self.reset_flows_if(now, may_reset, out);
    }

    fn reset_flows_if(
        &mut self,
        now: Millis,
        is_meant: impl Fn(&FlowId, &Conn) -> bool,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flows: Vec<_> = self
            .conns
            .newest_first()
            .filter(|(flow, conn)| conn.stage != Stage::Offered && is_meant(flow, conn))
            .map(|(flow, conn)| (*flow, *conn))
            .collect();
        for (flow, conn) in flows {
            self.forget(now, &flow);
            if let Some(seq) = conn.reset_seq() {
                let reason = ResetReason::TargetEnded;
                out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            }
            let holding = Holding::No;
            out.extend(
                conn.balancer
                    .map(|to| AgentAction::Reply { to, flow, holding }),
            );
        }
    }

    /// Brings the mean of requests in progress up to now.
    pub(super) fn measure(&mut self, now: Millis) {
        let span = now.since(self.measured).0.min(BUSY_SPAN.0);
        if span == 0 {
            return;
        }
        let current = u64::from(self.pending()) * 1_000;
        let old = self.mean_busy_milli * (BUSY_SPAN.0 - span);
        self.mean_busy_milli = (old + current * span) / BUSY_SPAN.0;
        self.measured = now;
    }

    pub(super) fn cold_left(&self, now: Millis) -> Millis {
        self.last_heartbeat.map_or(Millis::ZERO, |(at, heartbeat)| {
            Millis(heartbeat.cold_left.0.saturating_sub(now.since(at).0))
        })
    }
}
