//! What the log says of the publisher.

use derive_more::Display;

use super::index::{LoadError, TooLarge};

/// Something worth a line of the log.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Notice {
    /// This process became the publisher.
    #[display("took the lease with epoch {epoch}")]
    TookLease {
        /// Its epoch.
        epoch: u64,
    },
    /// This process is no longer the publisher.
    #[display("no longer holds the lease of epoch {epoch}")]
    LostLease {
        /// Its epoch.
        epoch: u64,
    },
    /// A revision is published.
    #[display("published revision {number}")]
    Published {
        /// Its number.
        number: u64,
    },
    /// The drafts are refused.
    #[display("refused the drafts of version {drafts_version} for {errors} errors")]
    Refused {
        /// Version of the drafts.
        drafts_version: u64,
        /// How many errors they have.
        errors: usize,
    },
    /// The published set cannot be read.
    #[display("{_0}")]
    Unreadable(LoadError),
    /// An object that only publishers write does not parse.
    #[display("object {_0} does not parse; the last revision stays in force")]
    Unparsable(String),
    /// The set does not fit.
    #[display("{_0}")]
    TooLarge(TooLarge),
}
