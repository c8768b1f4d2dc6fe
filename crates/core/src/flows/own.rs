//! What this target can take, as its agent sees it.
//!
//! A target that was just started is slow at first, so its slots grow over a while. Connects that
//! fail are counted here and not taken from the target's own health endpoint: a target that fails
//! fast looks idle, and only the agent beside it knows better.

use crate::clock::Millis;
use crate::members::TargetState;

/// Slots of a cold target, as a part of all.
const COLD_MILLI: u64 = 250;
const FULL_MILLI: u64 = 1_000;
/// Time over which connects are counted. Two such spans are kept.
const CONNECTS_SPAN: Millis = Millis::from_secs(5);
/// Connects below which a failure counts for less.
const MIN_CONNECTS: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Connects {
    started: u32,
    failed: u32,
}

/// This target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Own {
    state: TargetState,
    slots: u16,
    /// When it became ready from cold, none while it is not ready.
    ready_since: Option<Millis>,
    span_start: Millis,
    current: Connects,
    previous: Connects,
}

impl Own {
    pub(super) const fn new() -> Self {
        Self {
            state: TargetState::Starting,
            slots: 1,
            ready_since: None,
            span_start: Millis::ZERO,
            current: Connects {
                started: 0,
                failed: 0,
            },
            previous: Connects {
                started: 0,
                failed: 0,
            },
        }
    }

    pub(super) const fn takes_new(&self) -> bool {
        self.state.takes_new()
    }

    pub(super) fn set_state(&mut self, now: Millis, state: TargetState) {
        self.state = state;
        match state {
            TargetState::Ready => {
                self.ready_since.get_or_insert(now);
            }
            // A draining target stays warm, and may be made ready again.
            TargetState::Draining => {}
            TargetState::Starting | TargetState::Dead => self.ready_since = None,
        }
    }

    pub(super) const fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    pub(super) const fn slots(&self) -> u16 {
        self.slots
    }

    /// Requests that it can work on at once, in thousandths.
    pub(super) fn milli_slots(&self, now: Millis, ramp: Millis) -> u32 {
        let warm = self.ready_since.map_or(Millis::ZERO, |at| now.since(at));
        let gained = (FULL_MILLI - COLD_MILLI) * warm.0.min(ramp.0) / ramp.0.max(1);
        let part = if warm >= ramp {
            FULL_MILLI
        } else {
            COLD_MILLI + gained
        };
        let milli = u64::from(self.slots) * part;
        u32::try_from(milli).unwrap_or(u32::MAX)
    }

    pub(super) fn on_connect_started(&mut self, now: Millis) {
        self.advance(now);
        self.current.started += 1;
    }

    pub(super) fn on_connect_failed(&mut self, now: Millis) {
        self.advance(now);
        self.current.failed += 1;
    }

    /// Connects that failed lately, in thousandths of all.
    pub(super) fn milli_failures(&mut self, now: Millis) -> u32 {
        self.advance(now);
        let started = self.current.started + self.previous.started;
        let failed = self.current.failed + self.previous.failed;
        (failed * 1_000 / started.max(MIN_CONNECTS)).min(1_000)
    }

    fn advance(&mut self, now: Millis) {
        let passed = now.since(self.span_start).0 / CONNECTS_SPAN.0;
        if passed == 0 {
            return;
        }
        let last = std::mem::take(&mut self.current);
        self.previous = if passed == 1 {
            last
        } else {
            Connects::default()
        };
        self.span_start = now;
    }
}
