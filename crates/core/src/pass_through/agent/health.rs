//! How many of its requests the target leaves without an answer.
//!
//! A target may say that it is well and still fail a part of its requests. Its health check cannot
//! show that, but the packets do: a flow that the target resets while a request is in progress, and a
//! request that waits for several times as long as it should. Answers that say that they failed
//! look like any other from here, since only the ends of a flow read them.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::flow::FlowId;

/// Weight of the share so far against one more request. About eight requests decide.
const SHARE_WEIGHT: u32 = 7;

/// Share of a target that fails everything, in thousandths.
const FULL_SHARE_MILLI: u32 = 1_000;

/// Share from which the target is called failing, and to which it must fall again before it is not, in
/// thousandths: three failures in a row, and eight answers after that.
const FAILING_ENTER_MILLI: u32 = 300;
const FAILING_EXIT_MILLI: u32 = 110;

/// Times the expected time after which a request counts as failed.
const LATE_FACTOR: u64 = 5;

/// Least time after which a request counts as failed. A packet that was lost on its way has been sent
/// again by then, after 200 ms, and been answered.
const LATE_MIN: Millis = Millis(500);

/// Time without a request after which half of the share is forgotten, so that a target that gets no
/// flows is tried again.
const DECAY_INTERVAL: Millis = Millis::from_secs(2);

/// Requests that are watched at most. The oldest is left out for a newer one.
const WATCHED_MAX: usize = 4_096;

/// A request that is in progress.
#[derive(Clone, Copy, Debug)]
struct Watched {
    flow: FlowId,
    since: Millis,
    late_at: Millis,
}

/// The target's share of failed requests.
#[derive(Debug, Default)]
pub(super) struct Health {
    failing_milli: u32,
    is_failing: bool,
    /// When the share changed last.
    changed: Millis,
    /// Requests in the order in which they came.
    watched: VecDeque<Watched>,
}

impl Health {
    /// A request begins that should be answered after `expected`.
    pub(super) fn on_request(&mut self, now: Millis, flow: FlowId, expected: Millis) {
        if self.watched.len() >= WATCHED_MAX {
            self.watched.pop_front();
        }
        let timeout = Millis(expected.0 * LATE_FACTOR).max(LATE_MIN);
        self.watched.push_back(Watched {
            flow,
            since: now,
            late_at: now.after(timeout),
        });
    }

    /// A request was answered, or the target reset its flow.
    pub(super) fn on_end(&mut self, now: Millis, is_answered: bool) {
        let failed = if is_answered { 0 } else { FULL_SHARE_MILLI };
        let share = (self.failing_milli * SHARE_WEIGHT + failed) / (SHARE_WEIGHT + 1);
        self.set(now, share);
    }

    /// Counts requests that are late. `began` says when the request began that a flow has in progress,
    /// if it has one.
    pub(super) fn on_tick(
        &mut self,
        now: Millis,
        request_start: impl Fn(&FlowId) -> Option<Millis>,
    ) {
        while let Some(first) = self.watched.front().copied() {
            let is_over = request_start(&first.flow) != Some(first.since);
            if !is_over && now < first.late_at {
                break;
            }
            self.watched.pop_front();
            if !is_over {
                self.on_end(now, false);
            }
        }
        if now.since(self.changed) >= DECAY_INTERVAL {
            self.set(now, self.failing_milli / 2);
        }
    }

    fn set(&mut self, now: Millis, share: u32) {
        self.failing_milli = share;
        self.changed = now;
        if share >= FAILING_ENTER_MILLI {
            self.is_failing = true;
        } else if share <= FAILING_EXIT_MILLI {
            self.is_failing = false;
        }
    }

    /// Whether the target fails more than single requests.
    pub(super) const fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The process was paused, so that requests in progress may have been answered in time.
    pub(super) fn clear_watched(&mut self) {
        self.watched.clear();
    }

    /// The share, in thousandths.
    pub(super) const fn failing_milli(&self) -> u32 {
        self.failing_milli
    }
}
