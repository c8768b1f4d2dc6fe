//! The policies that are compared.

use derive_more::Display;

/// Who decides where a new flow goes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Policy {
    /// The least loaded target, known without delay.
    #[display("all-knowing")]
    AllKnowing,
    /// The agents, as the processes run them.
    #[display("citronhollow")]
    Agents,
    /// The better of two random targets, by reports as old as the agents' own.
    #[display("two stale choices")]
    TwoChoices,
    /// The table's first choice, as a Maglev or rendezvous table alone would do.
    #[display("table only")]
    Table,
    /// The hash of the five-tuple over equal shares.
    #[display("hash")]
    Hash,
}

impl Policy {
    /// All of them, the ideal first.
    pub const ALL: [Self; 5] = [
        Self::AllKnowing,
        Self::Agents,
        Self::TwoChoices,
        Self::Table,
        Self::Hash,
    ];
}
