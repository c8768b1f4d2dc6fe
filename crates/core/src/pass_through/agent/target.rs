//! State of the target as the agent observes it: readiness, load and end.

use std::collections::HashSet;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::InstanceId;
use crate::members::TargetState;

use super::super::conn::{Conn, Stage};
use super::super::fleet::{REMOTE_REPORT_INTERVAL, Report};
use super::super::packet::{Holding, Reset, ResetReason};
use super::starts::max_heartbeat_gap;
use super::{Agent, AgentAction, Heartbeat, Liveness, SYN_ANSWER_TIMEOUT};

/// Time span of the mean of requests in progress and queued.
const BUSY_SPAN: Millis = Millis(1_000);

/// Number of missed heartbeats after which the target is given no new flows.
pub(super) const MISSED_HEARTBEATS: u64 = 2;

/// Number of missed heartbeats, without packets either, after which the target counts as gone.
const GONE_HEARTBEATS: u64 = 3;

/// Time within which the target exits after its leave notice.
const EXIT_TIMEOUT: Millis = Millis(100);

/// Minimum gap between two calls of [`Agent`] methods that shows that this process was paused.
const PAUSE_MIN: Millis = Millis(600);

/// Leave notice of a start of the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaveNotice {
    /// Last heartbeat of the start.
    heartbeat: Heartbeat,
    at: Millis,
    /// Last time at which the start certainly ran. Flows that were opened later may be those of the
    /// next start.
    pub(super) ran_until: Millis,
}

impl<B: Clone> Agent<B> {
    /// Processes a heartbeat of the target. Returns whether balancers must be notified at once, or
    /// `None` if the heartbeat is older than the last one of the same start.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        heartbeat: Heartbeat,
        out: &mut Vec<AgentAction<B>>,
    ) -> Option<bool> {
        self.detect_pause(now);
        let before = self.state(now);
        match self.last_heartbeat {
            None => self.adopt_start(now, heartbeat),
            Some((at, last)) if heartbeat.is_same_start(&last) => {
                if heartbeat.sequence <= last.sequence {
                    return None;
                }
                let interval = self.limits.heartbeat;
                let sent_since = heartbeat.sequence - last.sequence;
                let gap_max = max_heartbeat_gap(interval).0.saturating_mul(sent_since);
                let is_late = now.since(at).0 > gap_max;
                self.starts.on_current(now, is_late, interval);
                if !is_late {
                    // Probes that were delivered to another start have been discarded.
                    self.note_activity(now, Millis::ZERO);
                }
                self.last_heartbeat = Some((now, heartbeat));
            }
            Some(_) => {
                if !self.starts.on_other(now, heartbeat) {
                    return None;
                }
            }
        }
        // The start runs, so the notice was a late one of an earlier start of the instance.
        self.leave_notice
            .take_if(|notice| notice.heartbeat.is_same_start(&heartbeat));
        self.advance_starts(now, out);
        let current = self.last_heartbeat.map(|(_, current)| current);
        if current.is_some_and(|current| current.is_same_start(&heartbeat)) {
            self.liveness = Liveness::Responsive;
        }
        Some(self.state(now) != before)
    }

    /// Processes the leave notice of an instance of the target. It is ignored if another instance
    /// has sent a heartbeat since. Returns whether the notice was for the current instance.
    ///
    /// The notice does not name a start, so it may be a late one of an earlier start of the instance.
    /// Until no heartbeat has followed in time, the target is only given no new flows.
    pub fn on_leave(&mut self, now: Millis, instance: InstanceId) -> bool {
        self.detect_pause(now);
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return false;
        };
        if heartbeat.instance != instance {
            return false;
        }
        self.leave_notice = Some(LeaveNotice {
            heartbeat,
            at: now,
            ran_until: self.starts.ran_until(),
        });
        true
    }

    /// Ends the start that sent the leave notice, if no heartbeat of it has followed. An agent that
    /// is being stopped does not wait for one: the machine is taken away with its target.
    pub(super) fn end_left_start(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let timeout = if self.is_stopping {
            EXIT_TIMEOUT
        } else {
            max_heartbeat_gap(self.limits.heartbeat)
        };
        let has_left = |notice: &mut LeaveNotice| now.since(notice.at) >= timeout;
        let Some(notice) = self.leave_notice.take_if(has_left) else {
            return;
        };
        if let Some((_, current)) = &mut self.last_heartbeat
            && current.is_same_start(&notice.heartbeat)
        {
            current.state = TargetState::Dead;
        }
        self.reset_flows(now, notice.ran_until, out);
    }

    /// Whether the current start has sent a leave notice.
    fn may_have_left(&self) -> bool {
        let current = self.last_heartbeat.map(|(_, heartbeat)| heartbeat);
        self.leave_notice
            .is_some_and(|notice| current.is_some_and(|it| it.is_same_start(&notice.heartbeat)))
    }

    /// The start of the target that is proved to run, in ms since the Unix epoch, `None` while there
    /// is no proof.
    #[must_use]
    pub fn running_start(&self) -> Option<u64> {
        let current = self.last_heartbeat.filter(|_| self.starts.is_confirmed());
        current.map(|(_, heartbeat)| heartbeat.started_at)
    }

    /// Whether nothing is left to do for the target: it has no request in progress or queued, none
    /// is expected on a flow that was offered recently, and after a leave notice its flows are
    /// reset.
    #[must_use]
    pub fn is_idle(&self, now: Millis) -> bool {
        let is_quiet = self.busy == 0 && self.awaited(now) == 0 && self.waiting.is_empty();
        is_quiet && self.leave_notice.is_none()
    }

    /// Builds the next report to balancers.
    pub fn report(&mut self, now: Millis) -> Report {
        self.detect_pause(now);
        self.sequence += 1;
        let heartbeat = self.last_heartbeat.map(|(_, heartbeat)| heartbeat);
        Report {
            target: self.identity.target,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            agent: self.identity.agent,
            group: self.identity.group,
            domain: self.identity.domain,
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

    /// Whether the target leaves many requests unanswered, whatever state it reports.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// State of the target as reported to balancers.
    #[must_use]
    pub fn state(&self, now: Millis) -> TargetState {
        if self.is_timed_out(now) {
            return TargetState::Dead;
        }
        let Some((at, heartbeat)) = self.last_heartbeat else {
            return TargetState::Starting;
        };
        let is_late = now.since(at) > self.silence_timeout();
        let is_silent = self.liveness == Liveness::Unresponsive || is_late;
        let may_leave = self.may_have_left() || self.starts.may_drain();
        match heartbeat.state {
            TargetState::Ready if is_silent || may_leave => TargetState::Draining,
            state => state,
        }
    }

    /// Time without a heartbeat after which the target is given no new flows.
    fn silence_timeout(&self) -> Millis {
        Millis(self.limits.heartbeat.0 * MISSED_HEARTBEATS).after(SYN_ANSWER_TIMEOUT)
    }

    /// Whether another start in state `other` may be adopted before it is proved to run: the current
    /// one has announced its end, is silent, or is not proved to run either. The state of a draining
    /// target stays in force until the proof.
    pub(super) fn is_replaceable(&self, now: Millis, other: TargetState) -> bool {
        let Some((at, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let is_silent = now.since(self.starts.ran_until().max(at)) > self.silence_timeout();
        match heartbeat.state {
            _ if self.may_have_left() => true,
            TargetState::Dead => true,
            TargetState::Draining => false,
            _ => is_silent || (self.starts.is_undecided() && other == TargetState::Ready),
        }
    }

    /// Detects that this process was paused, so that the time without messages is not mistaken for
    /// silence of the target. Every entry point calls this, because any of them may be the first to
    /// run after a pause.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        if now.since(self.last_entry) > PAUSE_MIN {
            self.listening_since = now;
            self.starts.on_pause();
            self.health.clear_watched();
            if let Some((at, _)) = &mut self.last_heartbeat {
                *at = now;
            }
            if let Some(notice) = &mut self.leave_notice {
                notice.at = now;
            }
        }
        self.last_entry = now;
    }

    /// Whether the target has ended by a long silence.
    pub(super) fn is_gone(&self, now: Millis) -> bool {
        self.leave_notice.is_none() && self.is_timed_out(now)
    }

    /// Whether the target has sent nothing for so long that it must be gone, or never existed.
    fn is_timed_out(&self, now: Millis) -> bool {
        let heartbeat = self.last_heartbeat.map(|(at, _)| at);
        let heard_at = heartbeat.max(self.starts.other_heard_at());
        let silent_since = heard_at.unwrap_or(self.listening_since);
        let timeout = Millis(self.limits.heartbeat.0 * GONE_HEARTBEATS);
        now.since(silent_since) > timeout && now.since(self.last_packet) > timeout
    }

    /// Resets the callers of all flows that began before `end`.
    pub(super) fn reset_flows(&mut self, now: Millis, end: Millis, out: &mut Vec<AgentAction<B>>) {
        self.reset_flows_if(now, |_, conn| conn.is_opened_before(end), out);
    }

    /// Resets the callers of the flows that an earlier agent tracked.
    pub(super) fn reset_listed_flows(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        self.reset_flows_if(now, |_, conn| conn.is_listed(), out);
    }

    /// Resets the callers of a target that is silent and may have ended.
    ///
    /// A target that is only silent may go on processing its requests, so a flow with a request
    /// that must not be repeated is left alone: its caller could not act on the RST, and the answer
    /// would be lost.
    pub(super) fn reset_silent_flows(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let classes = self.request_classes.newest_first();
        let repeatable = classes.filter(|(_, class)| class.is_repeatable);
        let repeatable: HashSet<_> = repeatable.map(|(service, _)| *service).collect();
        let may_reset =
            |flow: &FlowId, conn: &Conn| !conn.is_busy || repeatable.contains(&flow.service);
        self.reset_flows_if(now, may_reset, out);
    }

    /// Ends the flows that match, with a reset of those that the target held.
    fn reset_flows_if(
        &mut self,
        now: Millis,
        predicate: impl Fn(&FlowId, &Conn) -> bool,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flows: Vec<_> = self
            .conns
            .newest_first()
            .filter(|(flow, conn)| conn.stage != Stage::Offered && predicate(flow, conn))
            .map(|(flow, conn)| (*flow, *conn))
            .collect();
        for (flow, conn) in flows {
            self.forget(now, &flow);
            if let Some(seq) = conn.reset_seq().filter(|_| conn.is_held()) {
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

    /// Updates the mean of requests in progress and queued up to `now`.
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
