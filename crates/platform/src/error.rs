//! What can go wrong with a call.

use citronhollow_core::error::ErrorKind;
use thiserror::Error;

/// A call that did not do what it was asked.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The call was not run. It may be repeated.
    #[error("platform {call}: not run, the service is down or busy; try again later")]
    NotRun {
        /// Method and path.
        call: String,
    },
    /// No answer came. A write may have taken effect or may still do so.
    #[error("platform {call}: no answer within its time; read the object back")]
    Lost {
        /// Method and path.
        call: String,
    },
    /// The object has another version.
    #[error("platform {call}: the object has version {version}; read it and decide anew")]
    Conflict {
        /// Method and path.
        call: String,
        /// The version that it has, zero if it does not exist.
        version: u64,
    },
    /// The service no longer remembers the version to watch from.
    #[error("platform {call}: the version is too old to watch from; list again")]
    TooOld {
        /// Method and path.
        call: String,
    },
    /// The value is too large for one object.
    #[error("platform {call}: the value exceeds the limit of one object; split it")]
    TooLarge {
        /// Method and path.
        call: String,
    },
    /// The answer does not follow the protocol. Nothing of it was used.
    #[error("platform {call}: the answer does not parse: {reason}; check the service's version")]
    Unparsable {
        /// Method and path.
        call: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl PlatformError {
    /// The kind by which it is answered.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::NotRun { .. } | Self::Unparsable { .. } => ErrorKind::PlatformUnavailable,
            Self::Lost { .. } => ErrorKind::Timeout,
            Self::Conflict { .. } | Self::TooOld { .. } => ErrorKind::Conflict,
            Self::TooLarge { .. } => ErrorKind::Invalid,
        }
    }

    /// Whether a read that failed like this may succeed when it is repeated.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(self, Self::NotRun { .. } | Self::Lost { .. })
    }
}
