//! Clock that excludes the pauses of this process.
//!
//! After a pause of this process every heartbeat looks late, but only because the process itself
//! was not receiving. Silence is therefore measured on a clock that stops during a pause: a gap
//! between two ticks of at least [`PAUSE_MIN`], which is longer than a tick can take, is excluded.

use crate::clock::Millis;

/// Minimum gap between two ticks that counts as a pause.
pub const PAUSE_MIN: Millis = Millis(1_000);

/// Clock that stops while this process is paused.
#[derive(Clone, Copy, Debug, Default)]
pub struct AwakeClock {
    last_tick: Option<Millis>,
    paused: Millis,
}

impl AwakeClock {
    /// Records a tick and returns the pause before it, or zero if there was none.
    pub fn tick(&mut self, now: Millis) -> Millis {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.since(last);
        if gap < PAUSE_MIN {
            return Millis::ZERO;
        }
        self.paused = self.paused.after(gap);
        gap
    }

    /// Awake time at `now`.
    #[must_use]
    pub const fn awake(&self, now: Millis) -> Millis {
        now.since(self.paused)
    }
}
