//! Log notices of the publisher.

use derive_more::Display;

use super::index::{LoadError, TooLarge};

/// An event of the publisher that is logged.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Notice {
    /// This process became the publisher.
    #[display("took the lease with epoch {epoch}")]
    TookLease {
        /// Epoch of the lease.
        epoch: u64,
    },
    /// This process is no longer the publisher.
    #[display("no longer holds the lease of epoch {epoch}")]
    LostLease {
        /// Epoch of the lease.
        epoch: u64,
    },
    /// A revision was published.
    #[display("published revision {number}")]
    Published {
        /// Number of the revision.
        number: u64,
    },
    /// The drafts failed the check.
    #[display("refused the drafts of version {drafts_version} because of {errors} errors")]
    Refused {
        /// Version of the drafts.
        drafts_version: u64,
        /// Number of errors.
        errors: usize,
    },
    /// The published documents cannot be loaded.
    #[display("{_0}")]
    Unreadable(LoadError),
    /// An object that only publishers write does not parse.
    #[display("object {_0} does not parse; the last revision stays in force")]
    Unparsable(String),
    /// The documents exceed the maximum size of a published set.
    #[display("{_0}")]
    TooLarge(TooLarge),
}
