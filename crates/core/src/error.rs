//! The closed list of error kinds.
//!
//! Every refusal and failure that leaves a process is one of these kinds, and
//! [`ErrorKind::answer`] is the one table from a kind to what each audience is told.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What went wrong.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// No service has the destination address.
    #[display("no service has this address")]
    UnknownService,
    /// The service has no target that may take a new flow.
    #[display("no target is ready")]
    NoTarget,
    /// Every target is full and so is the queue.
    #[display("all targets are full")]
    Overloaded,
    /// The caller or the service is over its rate limit.
    #[display("rate limit exceeded")]
    RateLimited,
    /// No agent of the service holds the flow.
    #[display("no agent holds this flow")]
    UnknownFlow,
    /// The target refused or did not answer the connection.
    #[display("the target cannot be reached")]
    TargetUnreachable,
    /// A document fails the check.
    #[display("the document is invalid")]
    Invalid,
    /// Somebody else changed the object first.
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
    /// The time limit passed.
    #[display("timed out")]
    Timeout,
}

/// What a caller's flow is answered with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowAnswer {
    /// A TCP reset.
    Reset,
    /// A 503 with Retry-After where the service's settings ask for it, else a reset.
    Unavailable,
    /// Nothing: the packet is dropped.
    Drop,
}

/// What each audience is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Towards the caller of a flow.
    pub flow: FlowAnswer,
    /// HTTP status towards an operator.
    pub status: u16,
    /// Exit code of a command.
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

    /// The one table from kind to answer.
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
