//! Damping of flapping targets.
//!
//! Each flap, a change from usable to unusable, adds one to a penalty that halves every
//! [`HALF_LIFE`]. A target whose penalty exceeds [`SUPPRESS_ABOVE`] is treated as not ready until
//! the penalty is below [`RELEASE_BELOW`]. With this hysteresis the target gets new flows only
//! after it has been stable for a while, not between two flaps.

use crate::clock::Millis;

/// Half-life of the penalty.
pub const HALF_LIFE: Millis = Millis::from_secs(30);

/// Penalty above which a target is suppressed, that is, treated as not ready.
pub const SUPPRESS_ABOVE: f64 = 2.5;

/// Penalty below which a suppressed target is released.
pub const RELEASE_BELOW: f64 = 1.0;

/// Maximum penalty, which limits the time for which a target is suppressed.
const PENALTY_MAX: f64 = 8.0;

/// Flap penalty of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Damping {
    penalty: f64,
    at: Millis,
    is_suppressed: bool,
}

impl Damping {
    /// Adds the penalty of one flap.
    pub fn record_flap(&mut self, now: Millis) {
        self.penalty = (self.penalty_at(now) + 1.0).min(PENALTY_MAX);
        self.at = now;
        if self.penalty > SUPPRESS_ABOVE {
            self.is_suppressed = true;
        }
    }

    /// Releases a suppressed target whose penalty has decayed, and returns whether it did so.
    pub fn release_if_stable(&mut self, now: Millis) -> bool {
        let releases = self.is_suppressed && self.penalty_at(now) < RELEASE_BELOW;
        if releases {
            self.is_suppressed = false;
        }
        releases
    }

    /// Whether the target is treated as not ready.
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
