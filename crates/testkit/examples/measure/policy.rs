//! Load balancing policies to compare.

use derive_more::Display;

/// How the target of a new flow is chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Policy {
    /// Least loaded target, by load data without delay.
    #[display("all-knowing")]
    AllKnowing,
    /// Decisions of the agents, by the code that the processes run.
    #[display("citronhollow")]
    Agents,
    /// Less loaded of two random targets, by load reports as old as the agents' own.
    #[display("two stale choices")]
    TwoChoices,
    /// First choice of the routing table, like Maglev or rendezvous hashing alone.
    #[display("table only")]
    Table,
    /// Hash of the five-tuple, with equal weights.
    #[display("hash")]
    Hash,
}

impl Policy {
    /// All policies; the first one is the ideal for comparison.
    pub const ALL: [Self; 5] = [
        Self::AllKnowing,
        Self::Agents,
        Self::TwoChoices,
        Self::Table,
        Self::Hash,
    ];
}
