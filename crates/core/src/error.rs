//! The closed list of error kinds.
//!
//! Every refusal and failure that a process reports to the outside is one of these kinds.
//! [`ErrorKind::answer`] is the only table that maps a kind to the responses for callers, HTTP
//! clients and command-line users.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of an error.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// No service has the destination address.
    #[display("no service has this address")]
    UnknownService,
    /// The service has no target that accepts new flows.
    #[display("no target is ready")]
    NoTarget,
    /// Every target and the queue are full.
    #[display("all targets are full")]
    Overloaded,
    /// The caller or the service exceeds its rate limit.
    #[display("rate limit exceeded")]
    RateLimited,
    /// No agent of the service holds the flow.
    #[display("no agent holds this flow")]
    UnknownFlow,
    /// The target refused the connection or did not answer.
    #[display("the target cannot be reached")]
    TargetUnreachable,
    /// A document failed validation.
    #[display("the document is invalid")]
    Invalid,
    /// Another writer changed the object first.
    #[display("the object has changed")]
    Conflict,
    /// The named object does not exist.
    #[display("no such object")]
    NotFound,
    /// The platform does not answer.
    #[display("the platform does not answer")]
    PlatformUnavailable,
    /// The operator's token is missing or wrong.
    #[display("not authorized")]
    Unauthorized,
    /// The time limit expired.
    #[display("timed out")]
    Timeout,
}

/// Response to a packet of a caller's flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowAnswer {
    /// A TCP reset.
    Reset,
    /// An HTTP 503 with Retry-After if the service is configured for it, else a TCP reset.
    Unavailable,
    /// No response: the packet is dropped.
    Drop,
}

/// Response to an error for each kind of client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Response to the caller of a flow.
    pub flow: FlowAnswer,
    /// HTTP status of the operator interface.
    pub status: u16,
    /// Exit code of a command-line command.
    pub exit: u8,
}

impl ErrorKind {
    /// Every kind, for tables and tests.
    pub const ALL: [Self; 12] = [
        Self::UnknownService,
        Self::NoTarget,
        Self::Overloaded,
        Self::RateLimited,
        Self::UnknownFlow,
        Self::TargetUnreachable,
        Self::Invalid,
        Self::Conflict,
        Self::NotFound,
        Self::PlatformUnavailable,
        Self::Unauthorized,
        Self::Timeout,
    ];

    /// Returns the response to this kind of error.
    #[must_use]
    pub const fn answer(self) -> Answer {
        let (flow, status, exit) = match self {
            Self::NoTarget | Self::Overloaded => (FlowAnswer::Unavailable, 503, 5),
            Self::RateLimited => (FlowAnswer::Unavailable, 429, 5),
            Self::UnknownFlow => (FlowAnswer::Reset, 404, 4),
            Self::TargetUnreachable => (FlowAnswer::Reset, 502, 5),
            Self::Invalid => (FlowAnswer::Drop, 422, 2),
            Self::Conflict => (FlowAnswer::Drop, 409, 3),
            Self::UnknownService | Self::NotFound => (FlowAnswer::Drop, 404, 4),
            Self::PlatformUnavailable => (FlowAnswer::Drop, 503, 6),
            Self::Unauthorized => (FlowAnswer::Drop, 401, 7),
            Self::Timeout => (FlowAnswer::Drop, 504, 8),
        };
        Answer { flow, status, exit }
    }
}
