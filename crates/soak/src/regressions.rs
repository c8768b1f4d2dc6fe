//! Seeds that once broke a promise, or that a wrong check counted.
//!
//! Each fault has a case of its own that needs no processes. The seeds are played again besides, since
//! what they draw together is rare.

use citronhollow_core::clock::Millis;

/// A seed and what it showed.
#[derive(Clone, Copy, Debug)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Length of its faults.
    pub length: Millis,
    /// The cause.
    pub cause: &'static str,
}

/// All of them, in the order in which they were found.
pub const REGRESSIONS: [Regression; 4] = [
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
];
