//! State and capacity of the local target, as seen by its agent.
//!
//! A freshly started target is slow at first, so its slots are ramped up. Failed connects are
//! counted by the agent and not taken from the target's health endpoint: a target whose connects
//! fail fast looks idle, and only its own agent can tell.

use crate::clock::Millis;
use crate::members::TargetState;

/// Slots that a cold target counts with, in thousandths of all its slots.
const COLD_MILLI: u64 = 250;
const FULL_MILLI: u64 = 1_000;
/// Window in which connects are counted. The current and the previous window are kept.
const CONNECT_WINDOW: Millis = Millis::from_secs(5);
/// Minimum divisor of the failure rate, so that a single failure among few connects weighs less.
const MIN_CONNECTS: u32 = 3;

/// Assumed duration of a request before any has been observed.
const INITIAL_REQUEST_TIME: Millis = Millis(250);
/// Lower and upper bound of the observed request duration.
const REQUEST_TIME_BOUNDS: (Millis, Millis) = (Millis(20), Millis::from_secs(10));
/// Interval at which the observed request duration is updated.
const REQUEST_TIME_INTERVAL: Millis = Millis::from_secs(5);
/// Divisor of the moving average: each update weighs 1/4, the old value 3/4.
const REQUEST_TIME_DIVISOR: u64 = 4;

/// Estimates the duration of a request from the time that slots were busy and the number of
/// requests that ended.
#[derive(Clone, Copy, Debug)]
struct RequestTimes {
    time: Millis,
    window_start: Millis,
    last_tick: Millis,
    busy_time: u64,
    ended: u64,
}

impl RequestTimes {
    const fn new() -> Self {
        Self {
            time: INITIAL_REQUEST_TIME,
            window_start: Millis::ZERO,
            last_tick: Millis::ZERO,
            busy_time: 0,
            ended: 0,
        }
    }

    fn on_tick(&mut self, now: Millis, busy: u32) {
        self.busy_time += now.since(self.last_tick).0 * u64::from(busy);
        self.last_tick = now;
        if now.since(self.window_start) < REQUEST_TIME_INTERVAL || self.busy_time == 0 {
            return;
        }
        let observed = self.busy_time / self.ended.max(1);
        let kept = self.time.0 * (REQUEST_TIME_DIVISOR - 1);
        let time = Millis((kept + observed) / REQUEST_TIME_DIVISOR);
        self.time = time.clamp(REQUEST_TIME_BOUNDS.0, REQUEST_TIME_BOUNDS.1);
        self.window_start = now;
        self.busy_time = 0;
        self.ended = 0;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Connects {
    started: u32,
    failed: u32,
}

/// The local target.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalTarget {
    state: TargetState,
    slots: u16,
    /// When it became ready after a start, `None` while it is not ready.
    ready_since: Option<Millis>,
    window_start: Millis,
    current: Connects,
    previous: Connects,
    requests: RequestTimes,
}

impl LocalTarget {
    pub(super) const fn new() -> Self {
        Self {
            state: TargetState::Starting,
            slots: 1,
            ready_since: None,
            window_start: Millis::ZERO,
            current: Connects {
                started: 0,
                failed: 0,
            },
            previous: Connects {
                started: 0,
                failed: 0,
            },
            requests: RequestTimes::new(),
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
            // A draining target stays warm and may become ready again.
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

    /// Requests that it can process at once, in thousandths. Ramped up over `ramp` after a cold
    /// start.
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

    /// Accounts for the time since the last tick with `busy` requests in progress.
    pub(super) fn on_tick(&mut self, now: Millis, busy: u32) {
        self.requests.on_tick(now, busy);
    }

    /// A request was answered.
    pub(super) const fn on_request_ended(&mut self) {
        self.requests.ended += 1;
    }

    /// Average time that a request occupies a slot.
    pub(super) const fn request_time(&self) -> Millis {
        self.requests.time
    }

    pub(super) fn on_connect_started(&mut self, now: Millis) {
        self.advance(now);
        self.current.started += 1;
    }

    pub(super) fn on_connect_failed(&mut self, now: Millis) {
        self.advance(now);
        self.current.failed += 1;
    }

    /// Recently failed connects, in thousandths of all.
    pub(super) fn milli_failures(&mut self, now: Millis) -> u32 {
        self.advance(now);
        let started = self.current.started + self.previous.started;
        let failed = self.current.failed + self.previous.failed;
        (failed * 1_000 / started.max(MIN_CONNECTS)).min(1_000)
    }

    fn advance(&mut self, now: Millis) {
        let passed = now.since(self.window_start).0 / CONNECT_WINDOW.0;
        if passed == 0 {
            return;
        }
        let last = std::mem::take(&mut self.current);
        self.previous = if passed == 1 {
            last
        } else {
            Connects::default()
        };
        self.window_start = now;
    }
}
