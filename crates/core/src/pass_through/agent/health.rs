//! Share of its requests that the target leaves unanswered.
//!
//! A target may report that it is healthy and still fail part of its requests. Its health check
//! cannot show that, but its packets can: the target resets a flow while a request is in progress,
//! or a request takes several times as long as expected. Answers that report an error look like any
//! other answer here, because only the endpoints of a flow parse them.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::flow::FlowId;

/// Weight of the previous share against one more request, so that about the last eight requests
/// count.
const SHARE_WEIGHT: u32 = 7;

/// Share of a target that fails every request, in thousandths.
const FULL_SHARE_MILLI: u32 = 1_000;

/// Hysteresis of the failing state, as shares in thousandths: it is entered after three failures in
/// a row, and left after eight further answers.
const FAILING_ENTER_MILLI: u32 = 300;
const FAILING_EXIT_MILLI: u32 = 110;

/// A request counts as failed after this multiple of its expected time.
const LATE_FACTOR: u64 = 5;

/// Minimum time after which a request counts as failed. A lost packet has been retransmitted, after
/// 200 ms, and answered by then.
const LATE_MIN: Millis = Millis(500);

/// After this time without a request the share is halved, so that a target that gets no flows is
/// tried again.
const DECAY_INTERVAL: Millis = Millis::from_secs(2);

/// Maximum number of watched requests. The oldest is discarded for a new one.
const WATCHED_MAX: usize = 4_096;

/// Request in progress.
#[derive(Clone, Copy, Debug)]
struct Watched {
    flow: FlowId,
    since: Millis,
    late_at: Millis,
}

/// Share of failed requests of the target.
#[derive(Debug, Default)]
pub(super) struct Health {
    failing_milli: u32,
    is_failing: bool,
    /// Time of the last change of the share.
    changed: Millis,
    /// Watched requests in order of arrival.
    watched: VecDeque<Watched>,
}

impl Health {
    /// Watches a new request that should be answered after `expected`.
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

    /// Counts a request that was answered, or whose flow the target reset.
    pub(super) fn on_end(&mut self, now: Millis, is_answered: bool) {
        let failed = if is_answered { 0 } else { FULL_SHARE_MILLI };
        let share = (self.failing_milli * SHARE_WEIGHT + failed) / (SHARE_WEIGHT + 1);
        self.set(now, share);
    }

    /// Counts late requests as failed. `request_start` returns the start of the request that a flow
    /// has in progress, if it has one.
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

    /// Whether the target fails more than isolated requests.
    pub(super) const fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Discards all watched requests. Needed after a pause of the process, since they may have been
    /// answered in time.
    pub(super) fn clear_watched(&mut self) {
        self.watched.clear();
    }

    /// Share of failed requests, in thousandths.
    pub(super) const fn failing_milli(&self) -> u32 {
        self.failing_milli
    }
}
