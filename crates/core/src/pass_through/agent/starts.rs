//! Starts of the target, told apart by their heartbeats.
//!
//! A heartbeat names the instance and the time of its start. Both identify the start, but do not
//! order two of them: the wall clock may jump between two starts, and a heartbeat of an earlier
//! start may arrive after those of the next. The start that keeps sending is the running one. A
//! single heartbeat of another start therefore ends nothing: flows are reset only once the other
//! start has sent for longer than a heartbeat interval while the previous one was silent.

use crate::clock::Millis;
use crate::members::TargetState;

use super::health::Health;
use super::{Agent, AgentAction, Heartbeat};

/// Heartbeats of one start, without any sign of another start in between.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Arrival of the first and the last heartbeat.
    since: Millis,
    last: Millis,
    /// Number of heartbeats, zero if another start was heard since the last one.
    count: u32,
}

impl Run {
    const fn new(now: Millis) -> Self {
        Self {
            since: now,
            last: now,
            count: 1,
        }
    }

    const fn on_heartbeat(&mut self, now: Millis) {
        if self.count == 0 {
            self.since = now;
        }
        self.last = now;
        self.count += 1;
    }

    const fn interrupt(&mut self) {
        self.count = 0;
    }

    /// Whether this start is the running one: it sends at the pace of a running start, and any other
    /// would have been heard in between. Late heartbeats of an earlier start may arrive at once.
    const fn is_proof(&self, now: Millis, interval: Millis) -> bool {
        let is_paced = self.last.since(self.since).0 >= min_heartbeat_gap(interval).0;
        self.count > 1 && is_paced && now.since(self.since).0 >= max_heartbeat_gap(interval).0
    }
}

/// Longest time between two heartbeats of a running start.
pub(super) const fn max_heartbeat_gap(interval: Millis) -> Millis {
    Millis(interval.0 * 5 / 4)
}

/// Shortest time between two heartbeats of a running start whose state does not change.
const fn min_heartbeat_gap(interval: Millis) -> Millis {
    Millis(interval.0 * 3 / 4)
}

/// Start other than the current one, which may be the running one.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Last heartbeat and its arrival.
    heartbeat: Heartbeat,
    at: Millis,
    run: Run,
    /// Number of heartbeats since the current start was last heard, and the arrival of the first.
    count: u32,
    first_at: Millis,
}

/// Number of heartbeats of another start, with none of the current one for as many intervals, after
/// which it is adopted even if packets suggest that the current one runs.
const ADOPTED_HEARTBEATS: u32 = 3;

/// Start that was the running one before the current start was heard.
#[derive(Clone, Copy, Debug)]
struct Previous {
    heartbeat: Heartbeat,
    ran_until: Millis,
    observed_start: bool,
}

/// What the heartbeats show about the starts of the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Starts {
    /// Heartbeats of the current start.
    run: Run,
    /// Heartbeats of the current start that arrived in time. A late one was sent before it arrived,
    /// so that another start may have opened flows in between.
    punctual_run: Run,
    /// The current start is proved to be the running one.
    is_confirmed: bool,
    /// Last time at which the current start certainly ran, by its heartbeats and the packets of its
    /// flows. Zero if none is certain.
    ran_until: Millis,
    /// The agent was running before the current start, by the sequence number of its first
    /// heartbeat.
    is_younger: bool,
    /// Confirmed start before the current one, while the latter is not confirmed.
    previous: Option<Previous>,
    candidate: Option<Candidate>,
}

impl Starts {
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            run: Run::new(now),
            punctual_run: Run::new(now),
            is_confirmed: false,
            ran_until: Millis::ZERO,
            is_younger: false,
            previous: None,
            candidate: None,
        }
    }

    /// Whether the current start is proved to be the running one.
    pub(super) const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Whether no start has been proved to run, so that nothing depends on the current one.
    pub(super) const fn is_undecided(&self) -> bool {
        !self.is_confirmed && self.previous.is_none()
    }

    /// Whether another start has announced that it drains, and may be the running one.
    pub(super) fn may_drain(&self) -> bool {
        let candidate = self.candidate.map(|candidate| candidate.heartbeat.state);
        candidate == Some(TargetState::Draining)
    }

    /// Last time at which the current start certainly ran.
    pub(super) const fn ran_until(&self) -> Millis {
        self.ran_until
    }

    /// Arrival of the last heartbeat of another start since the current one was heard.
    pub(super) fn other_heard_at(&self) -> Option<Millis> {
        self.candidate.map(|candidate| candidate.at)
    }

    /// Handles a heartbeat of the current start.
    pub(super) fn on_current(&mut self, now: Millis, is_late: bool, interval: Millis) {
        self.run.on_heartbeat(now);
        if is_late {
            self.punctual_run.interrupt();
        }
        self.punctual_run.on_heartbeat(now);
        if self.punctual_run.is_proof(now, interval) {
            self.ran_until = now;
        }
        self.candidate = None;
    }

    /// Handles a heartbeat of another start. Returns whether it is later than the last one of that
    /// start.
    pub(super) fn on_other(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let previous = self.previous.map(|previous| previous.heartbeat);
        let candidate = self.candidate.map(|candidate| candidate.heartbeat);
        let is_late =
            |last: Heartbeat| last.is_same_start(&heartbeat) && heartbeat.sequence <= last.sequence;
        if previous.is_some_and(is_late) || candidate.is_some_and(is_late) {
            return false;
        }
        self.interrupt();
        match &mut self.candidate {
            Some(candidate) if candidate.heartbeat.is_same_start(&heartbeat) => {
                candidate.run.on_heartbeat(now);
                candidate.count += 1;
                (candidate.heartbeat, candidate.at) = (heartbeat, now);
            }
            candidate => {
                *candidate = Some(Candidate {
                    heartbeat,
                    at: now,
                    run: Run::new(now),
                    count: 1,
                    first_at: now,
                });
            }
        }
        true
    }

    /// Handles a packet of the target on a flow that it opened at `opened_at`. A start sends only
    /// on its own flows.
    pub(super) fn on_packet(&mut self, now: Millis, opened_at: Millis) {
        if let Some(previous) = &mut self.previous
            && opened_at < previous.ran_until
        {
            previous.ran_until = now;
            self.interrupt();
        } else if self.is_confirmed && opened_at < self.ran_until {
            self.ran_until = now;
            if let Some(candidate) = &mut self.candidate {
                candidate.run.interrupt();
            }
        }
    }

    /// Handles a pause of this process, whose unread messages may be of any start.
    pub(super) fn on_pause(&mut self) {
        self.interrupt();
        if let Some(candidate) = &mut self.candidate {
            candidate.run.interrupt();
        }
    }

    /// Handles a sign that another start may be the running one.
    const fn interrupt(&mut self) {
        self.run.interrupt();
        self.punctual_run.interrupt();
    }
}

impl Candidate {
    /// Whether the candidate is to be adopted although packets suggest that the current start runs.
    const fn is_overdue(&self, now: Millis, interval: Millis) -> bool {
        let silence = now.since(self.first_at).0;
        self.count >= ADOPTED_HEARTBEATS && silence >= interval.0 * ADOPTED_HEARTBEATS as u64
    }
}

impl<B: Clone> Agent<B> {
    /// Adopts a start of the target as the current one, without a conclusion about others.
    pub(super) fn adopt_start(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.adopt(now, heartbeat, Run::new(now), now);
    }

    /// Adopts another start that was heard, if it is due, and draws the conclusions from the start
    /// that is proved to run.
    pub(super) fn advance_starts(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let interval = self.limits.heartbeat;
        if let Some(candidate) = self.starts.candidate {
            let is_due = candidate.run.is_proof(now, interval)
                || self.is_replaceable(now, candidate.heartbeat.state);
            let is_overdue = candidate.is_overdue(now, interval);
            if is_overdue && !is_due {
                // The packets contradict the heartbeats, so the end of the current start is not
                // known.
                self.starts.is_confirmed = false;
                self.starts.previous = None;
                self.observed_start = false;
            }
            if is_due || is_overdue {
                self.adopt(candidate.at, candidate.heartbeat, candidate.run, now);
            }
        }
        if !self.starts.is_confirmed && self.starts.run.is_proof(now, interval) {
            self.confirm_start(now, out);
        }
        self.apply_inherited(now, out);
    }

    fn adopt(&mut self, at: Millis, heartbeat: Heartbeat, run: Run, now: Millis) {
        let last = self.last_heartbeat.replace((at, heartbeat));
        let before = self.starts;
        let previous = match last {
            Some((_, last)) if before.is_confirmed => Some(Previous {
                heartbeat: last,
                ran_until: before.ran_until,
                observed_start: self.observed_start,
            }),
            _ => before.previous,
        };
        // The number of heartbeats bounds the age of the start, unlike the wall clock.
        let age_max = Millis(
            max_heartbeat_gap(self.limits.heartbeat)
                .0
                .saturating_mul(heartbeat.sequence.saturating_add(1)),
        );
        self.starts = Starts {
            run,
            punctual_run: run,
            is_confirmed: false,
            ran_until: if run.is_proof(now, self.limits.heartbeat) {
                at
            } else {
                Millis::ZERO
            },
            is_younger: heartbeat.sequence <= 1 && now.since(self.started) >= age_max,
            previous,
            candidate: None,
        };
        if let Some(previous) = previous
            && previous.heartbeat.is_same_start(&heartbeat)
        {
            // The heartbeats in between were late ones of an earlier start.
            self.observed_start = previous.observed_start;
            self.starts.is_confirmed = true;
            self.starts.ran_until = previous.ran_until.max(self.starts.ran_until);
            self.starts.previous = None;
            return;
        }
        self.health = Health::default();
        // Probes that were delivered to the previous start are lost with it.
        self.probes.clear();
    }

    /// Handles the proof that the current start is the running one. The previous start has ended with
    /// its flows. Their callers are reset, also those without a request in progress, because their
    /// next request would be lost.
    fn confirm_start(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        self.starts.is_confirmed = true;
        match self.starts.previous.take() {
            Some(previous) => {
                self.observed_start = true;
                self.reset_flows(now, previous.ran_until, out);
            }
            None => self.observed_start = self.starts.is_younger,
        }
    }
}
