//! Damping of a target that flaps.
//!
//! Each fall from usable to unusable adds a penalty, which halves every [`HALF_LIFE`]. Above one
//! bound the target is held as not ready, and only below a lower one it is released, so that it
//! gets flows again when it has been calm for a while and not between two falls.

use crate::clock::Millis;

/// Time in which a penalty halves.
pub const HALF_LIFE: Millis = Millis::from_secs(30);

/// Penalty above which a target is held as not ready.
pub const SUPPRESS_ABOVE: f64 = 2.5;

/// Penalty below which a held target is released.
pub const RELEASE_BELOW: f64 = 1.0;

/// Penalty that is never exceeded, so that no target is held for ever.
const PENALTY_MAX: f64 = 8.0;

/// The penalty of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Damping {
    penalty: f64,
    at: Millis,
    is_suppressed: bool,
}

impl Damping {
    /// Adds one fall.
    pub fn record_flap(&mut self, now: Millis) {
        self.penalty = (self.penalty_at(now) + 1.0).min(PENALTY_MAX);
        self.at = now;
        if self.penalty > SUPPRESS_ABOVE {
            self.is_suppressed = true;
        }
    }

    /// Releases the target if it has been calm, and says whether that changed anything.
    pub fn release_if_stable(&mut self, now: Millis) -> bool {
        let releases = self.is_suppressed && self.penalty_at(now) < RELEASE_BELOW;
        if releases {
            self.is_suppressed = false;
        }
        releases
    }

    /// Whether the target is held as not ready.
    #[must_use]
    pub const fn is_suppressed(&self) -> bool {
        self.is_suppressed
    }

    fn penalty_at(&self, now: Millis) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "spans are far below 2^52 milliseconds"
        )]
        let halvings = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.penalty * (-halvings).exp2()
    }
}
