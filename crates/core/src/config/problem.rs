//! Validation errors of documents, and their remedies.

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

/// Reference to one document of a set.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{kind} {name}")]
#[serde(deny_unknown_fields)]
pub struct DocumentRef {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name of the document.
    pub name: String,
}

/// A validation error in one field of one document.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{object}, {field}: {problem}; {remedy}")]
#[serde(deny_unknown_fields)]
pub struct CheckError {
    /// The invalid document.
    pub object: DocumentRef,
    /// Path of the invalid field.
    pub field: String,
    /// Cause of the error.
    pub problem: Problem,
    /// Instruction to the operator for fixing it.
    pub remedy: String,
}

/// Cause of a validation error.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// A name is too long, empty or has characters that are not allowed.
    #[display("\"{_0}\" is not a valid name")]
    BadName(String),
    /// Two documents of one kind have the same name.
    #[display("another {_0} has this name")]
    #[serde(rename = "doubled_name")]
    DuplicateName(DocumentKind),
    /// Two different names have the same hash, and with it the same identity.
    #[display("the name has the same identity (hash) as \"{_0}\"")]
    CollidingName(String),
    /// A draft does not parse, or holds another document than its name refers to.
    #[display("it does not parse: {_0}")]
    Unparsable(String),
    /// A service has no address.
    #[display("there is no address")]
    NoAddress,
    /// A list is longer than allowed.
    #[display("there are {count} entries, and at most {limit} are allowed")]
    TooMany {
        /// Length of the list.
        count: usize,
        /// Largest length allowed.
        limit: usize,
    },
    /// An address cannot be reached by callers.
    #[display("{_0} cannot be reached by callers")]
    UnusableAddress(SocketAddr),
    /// A service lists an address twice.
    #[display("{_0} is listed twice")]
    #[serde(rename = "doubled_address")]
    DuplicateAddress(SocketAddr),
    /// Two services list the same address.
    #[display("{address} also belongs to service \"{service}\"")]
    SharedAddress {
        /// The address.
        address: SocketAddr,
        /// The other service.
        service: String,
    },
    /// Some processes run a revision in which the address belongs to another service.
    #[display("{address} still belongs to service \"{service}\" in the revision of some processes")]
    HeldAddress {
        /// The address.
        address: SocketAddr,
        /// The service that has or had it.
        service: String,
    },
    /// A document refers to one that does not exist.
    #[display("there is no {kind} \"{name}\"")]
    Dangling {
        /// Kind of the missing document.
        kind: DocumentKind,
        /// Name of the missing document.
        name: String,
    },
    /// A pool has no group.
    #[display("there is no group")]
    NoGroup,
    /// A pool lists a group twice.
    #[display("group \"{_0}\" is listed twice")]
    #[serde(rename = "doubled_group")]
    DuplicateGroup(String),
    /// The share of a rule is out of range; a share of zero would have no effect.
    #[display("a share of {_0} percent is outside of 1 to 100")]
    BadPercent(u8),
    /// The shares of a service's rules add up to more than all of its callers.
    #[display("the shares of the rules of service \"{service}\" add up to {total} percent")]
    PercentSum {
        /// The service.
        service: String,
        /// Sum of the shares, in percent.
        total: u32,
    },
    /// A limit is out of range.
    #[display("{_0} is outside of 1 to {MAX_LIMIT}")]
    BadLimit(u32),
    /// The limit of one caller is above the limit of the whole service.
    #[display(
        "the limit of one caller, {per_caller} new flows per second, is above that of the whole \
         service, {service}"
    )]
    CallerLimitAboveService {
        /// Limit of one caller, in new flows per second.
        per_caller: u32,
        /// Limit of the service, in new flows per second.
        service: u32,
    },
    /// An objective or a time limit is out of range.
    #[display("{_0} is outside of 1 ms to {MAX_REQUEST_TIME}")]
    BadTime(Millis),
    /// The objective is above the time limit, so requests would time out before they are late.
    #[display("the objective of {objective} is above the time limit of {time_limit}")]
    ObjectiveAboveTimeLimit {
        /// The objective.
        objective: Millis,
        /// The time limit.
        time_limit: Millis,
    },
    /// A priority is out of range.
    #[display("priority {_0} is outside of 0 to {MAX_PRIORITY}")]
    BadPriority(u8),
}

impl Problem {
    /// Returns an instruction to the operator for fixing the problem. It is stored in the report at
    /// the platform.
    #[must_use]
    pub fn remedy(&self) -> String {
        match self {
            Self::BadName(_) => {
                format!("use 1 to {MAX_NAME_LEN} lower-case letters, digits and inner hyphens")
            }
            Self::DuplicateName(_) => String::from("rename one of the two or remove it"),
            Self::CollidingName(_) => String::from("choose a different name"),
            Self::Unparsable(_) => String::from("apply the document again or remove the draft"),
            Self::NoAddress => String::from("give at least one IP number with a port"),
            Self::TooMany { limit, .. } => format!("keep at most {limit}"),
            Self::UnusableAddress(_) => {
                String::from("give a unicast IP number and a port other than 0")
            }
            Self::DuplicateAddress(_) | Self::DuplicateGroup(_) => {
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
    /// Creates an error with the remedy that belongs to the problem.
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
