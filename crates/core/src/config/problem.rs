//! What can be wrong with a document, and how to put it right.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::check::{MAX_LIMIT, MAX_NAME_LEN, MAX_PRIORITY, MAX_REQUEST_TIME, MAX_RULES_PERCENT};

/// Kind of a document.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DocumentKind {
    /// A [`super::Service`].
    #[display("service")]
    Service,
    /// A [`super::Pool`].
    #[display("pool")]
    Pool,
    /// A [`super::Rule`].
    #[display("rule")]
    Rule,
}

/// One document of a set.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{kind} {name}")]
#[serde(deny_unknown_fields)]
pub struct DocumentRef {
    /// Its kind.
    pub kind: DocumentKind,
    /// Its name.
    pub name: String,
}

/// One thing wrong with one field of one document.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{object}, {field}: {problem}; {remedy}")]
#[serde(deny_unknown_fields)]
pub struct CheckError {
    /// The document.
    pub object: DocumentRef,
    /// The field of it.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
    /// What to do about it.
    pub remedy: String,
}

/// What is wrong.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// A name does not have the shape of one.
    #[display("\"{_0}\" is not a name")]
    BadName(String),
    /// Two documents of a kind have one name.
    #[display("another {_0} has this name")]
    DoubledName(DocumentKind),
    /// Two names hash to one identity.
    #[display("the name has the same identity as \"{_0}\"")]
    CollidingName(String),
    /// A draft does not hold the document that its name says.
    #[display("it does not parse: {_0}")]
    Unparsable(String),
    /// A service without an address.
    #[display("there is no address")]
    NoAddress,
    /// A list is longer than allowed.
    #[display("there are {count}, and {limit} are allowed")]
    TooMany {
        /// How many there are.
        count: usize,
        /// How many may be.
        limit: usize,
    },
    /// An address that callers cannot use.
    #[display("{_0} cannot be reached by callers")]
    UnusableAddress(SocketAddr),
    /// An address stands twice in one service.
    #[display("{_0} stands there twice")]
    DoubledAddress(SocketAddr),
    /// Two services have one address.
    #[display("{address} belongs to service \"{service}\" too")]
    SharedAddress {
        /// The address.
        address: SocketAddr,
        /// The other service.
        service: String,
    },
    /// Some processes still know the address as another service's.
    #[display("{address} still belongs to service \"{service}\" in some processes")]
    HeldAddress {
        /// The address.
        address: SocketAddr,
        /// The service that had it.
        service: String,
    },
    /// No document has the name referred to.
    #[display("there is no {kind} \"{name}\"")]
    Dangling {
        /// Kind of the missing document.
        kind: DocumentKind,
        /// Its name.
        name: String,
    },
    /// A pool without a group.
    #[display("there is no group")]
    NoGroup,
    /// A group stands twice in one pool.
    #[display("group \"{_0}\" stands there twice")]
    DoubledGroup(String),
    /// The share of a rule is not a percentage that can have an effect.
    #[display("{_0} is not a share of 1 to 100 percent")]
    BadPercent(u8),
    /// The rules of a service want more than all of its callers.
    #[display("the rules of service \"{service}\" add up to {total} percent")]
    PercentSum {
        /// The service.
        service: String,
        /// What they add up to.
        total: u32,
    },
    /// A limit is out of its range.
    #[display("{_0} is outside of 1 to {MAX_LIMIT}")]
    BadLimit(u32),
    /// One caller may do more than the whole service.
    #[display("one caller may open {per_caller} flows a second and the whole service {service}")]
    CallerLimitAboveService {
        /// Limit of one caller.
        per_caller: u32,
        /// Limit of the service.
        service: u32,
    },
    /// An objective or a time limit is out of its range.
    #[display("{_0} is outside of 1 ms to {MAX_REQUEST_TIME}")]
    BadTime(Millis),
    /// Requests would be given up before they are late.
    #[display("the objective of {objective} is above the time limit of {time_limit}")]
    ObjectiveAboveTimeLimit {
        /// The objective.
        objective: Millis,
        /// The time limit.
        time_limit: Millis,
    },
    /// A priority is out of its range.
    #[display("priority {_0} is outside of 0 to {MAX_PRIORITY}")]
    BadPriority(u8),
}

impl Problem {
    /// What an operator can do about it.
    #[must_use]
    pub fn remedy(&self) -> String {
        match self {
            Self::BadName(_) => {
                format!("use 1 to {MAX_NAME_LEN} lower-case letters, digits and inner hyphens")
            }
            Self::DoubledName(_) => String::from("rename one of the two or remove it"),
            Self::CollidingName(_) => String::from("choose a different name"),
            Self::Unparsable(_) => String::from("apply the document again or remove the draft"),
            Self::NoAddress => String::from("give at least one IP number with a port"),
            Self::TooMany { limit, .. } => format!("keep at most {limit}"),
            Self::UnusableAddress(_) => {
                String::from("give a unicast IP number and a port other than 0")
            }
            Self::DoubledAddress(_) | Self::DoubledGroup(_) => {
                String::from("remove one of the two entries")
            }
            Self::SharedAddress { .. } => String::from("leave the address to one of the two"),
            Self::HeldAddress { service, .. } => format!(
                "publish \"{service}\" without it first, and wait until all processes have that revision"
            ),
            Self::Dangling { kind, .. } => format!("create the {kind} or correct the name"),
            Self::NoGroup => String::from("name at least one group of targets"),
            Self::BadPercent(_) => String::from("give 1 to 100, or remove the rule"),
            Self::PercentSum { .. } => {
                format!("lower the shares to at most {MAX_RULES_PERCENT} percent in all")
            }
            Self::BadLimit(_) => format!("give 1 to {MAX_LIMIT}, or leave the field out"),
            Self::CallerLimitAboveService { .. } => {
                String::from("lower the caller's limit or raise the service's")
            }
            Self::BadTime(_) => {
                format!("give 1 to {}, or leave the field out", MAX_REQUEST_TIME.0)
            }
            Self::ObjectiveAboveTimeLimit { .. } => {
                String::from("lower the objective or raise the time limit")
            }
            Self::BadPriority(_) => format!("give 0 for the most urgent to {MAX_PRIORITY}"),
        }
    }
}

impl CheckError {
    /// The error with the remedy that belongs to the problem.
    #[must_use]
    pub fn new(object: DocumentRef, field: &str, problem: Problem) -> Self {
        let remedy = problem.remedy();
        Self {
            object,
            field: String::from(field),
            problem,
            remedy,
        }
    }
}
