//! Time during which this process was awake.
//!
//! A process that was paused sees every heartbeat as late, although it was itself that did not
//! listen. Silence is therefore measured on a clock that stands still during a pause: the gap
//! between two ticks that is longer than a tick can take is left out.

use crate::clock::Millis;

/// Gap between two ticks that counts as a pause.
pub const PAUSE_MIN: Millis = Millis(1_000);

/// A clock without the pauses of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct AwakeClock {
    last_tick: Option<Millis>,
    paused: Millis,
}

impl AwakeClock {
    /// Takes note of a tick and returns the pause before it, zero if there was none.
    pub fn tick(&mut self, now: Millis) -> Millis {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.since(last);
        if gap < PAUSE_MIN {
            return Millis::ZERO;
        }
        self.paused = self.paused.after(gap);
        gap
    }

    /// The awake time at `now`.
    #[must_use]
    pub const fn awake(&self, now: Millis) -> Millis {
        now.since(self.paused)
    }
}
