//! Errors of calls on the object service.

use citronhollow_core::error::ErrorKind;
use thiserror::Error;

/// A call that failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The call was not run. It may be retried.
    #[error("platform {call}: not run, the service is down or busy; try again later")]
    NotRun {
        /// Method and path.
        call: String,
    },
    /// No answer arrived. A write may have taken effect or may still do so.
    #[error("platform {call}: no answer before the timeout; read the object back")]
    Lost {
        /// Method and path.
        call: String,
    },
    /// The object's version differs from the expected one.
    #[error("platform {call}: the object has version {version}; read it and try again")]
    Conflict {
        /// Method and path.
        call: String,
        /// Current version of the object, zero if it does not exist.
        version: u64,
    },
    /// The service no longer keeps its history back to the version to watch from.
    #[error("platform {call}: the version is too old to watch from; list again")]
    TooOld {
        /// Method and path.
        call: String,
    },
    /// The value exceeds the size limit of one object.
    #[error("platform {call}: the value exceeds the limit of one object; split it")]
    TooLarge {
        /// Method and path.
        call: String,
    },
    /// The answer violates the protocol. No part of it was used.
    #[error("platform {call}: the answer does not parse: {reason}; check the service's version")]
    Unparsable {
        /// Method and path.
        call: String,
        /// What is wrong with the answer.
        reason: String,
    },
}

impl PlatformError {
    /// Kind of error in the product's own API.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::NotRun { .. } | Self::Unparsable { .. } => ErrorKind::PlatformUnavailable,
            Self::Lost { .. } => ErrorKind::Timeout,
            Self::Conflict { .. } | Self::TooOld { .. } => ErrorKind::Conflict,
            Self::TooLarge { .. } => ErrorKind::Invalid,
        }
    }

    /// Whether retrying a read that failed with this error may succeed.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(self, Self::NotRun { .. } | Self::Lost { .. })
    }
}
