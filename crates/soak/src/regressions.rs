//! Seeds that once violated an invariant, or that a faulty check reported.
//!
//! Each fault also has its own test case that needs no processes. The seeds are still replayed,
//! because the combinations of faults that they draw are rare.

use citronhollow_core::clock::Millis;

/// A seed and the fault that it revealed.
#[derive(Clone, Copy, Debug)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Duration of the plan.
    pub length: Millis,
    /// Cause of the violation.
    pub cause: &'static str,
}

/// Regressions, in the order in which they were found.
pub const REGRESSIONS: [Regression; 5] = [
    Regression {
        seed: 1,
        length: Millis::from_secs(10),
        cause: "check: silence of an agent is counted from its last report",
    },
    Regression {
        seed: 46,
        length: Millis::from_secs(20),
        cause: "an agent claimed a flow that its crashed target had kept, and reset it later",
    },
    Regression {
        seed: 53,
        length: Millis::from_secs(20),
        cause: "check: the grace of a frozen process begins when it goes on",
    },
    Regression {
        seed: 205,
        length: Millis::from_secs(20),
        cause: "a balancer reset a flow with a lost target to which it was only offered",
    },
    Regression {
        seed: 7044,
        length: Millis::from_secs(20),
        cause: "check: a process killed while it was paused is not back when it is resumed",
    },
];
