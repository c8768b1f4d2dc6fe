//! Error of a failed request or command.
//!
//! The same value is the JSON body of an HTTP response and the error of a command, so that an
//! operator gets the same text in both cases. HTTP status and exit code are defined together in
//! [`ErrorKind::answer`].

use citronhollow_core::error::ErrorKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::problem::{self, Problem};

/// Error of a request or command.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize, Deserialize)]
#[error("{message}{}", listed(.problems))]
pub struct Failure {
    /// Kind, which determines HTTP status and exit code.
    pub kind: ErrorKind,
    /// One sentence with the object and the remedy.
    pub message: String,
    /// Problems with single fields, empty if those are not the reason.
    #[serde(default)]
    pub problems: Vec<Problem>,
}

impl Failure {
    /// Creates a failure without problems of single fields.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            problems: Vec::new(),
        }
    }

    /// HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.kind.answer().status
    }

    /// Exit code of the command.
    #[must_use]
    pub const fn exit(&self) -> u8 {
        self.kind.answer().exit
    }
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.to_string())
    }
}

fn listed(problems: &[Problem]) -> String {
    if problems.is_empty() {
        return String::new();
    }
    format!("\n{}", problem::lines(problems))
}
