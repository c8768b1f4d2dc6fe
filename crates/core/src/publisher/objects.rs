//! Platform objects of the publisher, and the calls on them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kind of an object. Each kind is listed and watched separately.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The latest version of a document written by an operator.
    #[display("draft")]
    Draft,
    /// The index of the published documents.
    #[display("published")]
    Published,
    /// One part of the published documents, named by the hash of its content.
    #[display("part")]
    Part,
    /// The publisher's lease.
    #[display("lease")]
    Lease,
    /// The errors that the last check found.
    #[display("report")]
    Report,
}

/// Name of the objects of kinds that have only one: the index, the lease and the report.
pub const SINGLETON_NAME: &str = "citronhollow";

/// Key of an object.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{kind}/{name}")]
pub struct Key {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Key {
    /// Returns the key of the only object of this kind.
    #[must_use]
    pub fn singleton(kind: Kind) -> Self {
        Self::named(kind, SINGLETON_NAME)
    }

    /// Returns the key of the object with this name.
    #[must_use]
    pub fn named(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

/// An object stored at the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: String,
    /// Version: the number of the change that wrote the object. Numbers are never reused.
    pub version: u64,
    /// Content of the object.
    pub value: Value,
}

/// All objects of one kind at one moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Number of the latest change to any object of the kind.
    pub version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// A call on the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads one object.
    Get(Key),
    /// Reads all objects of a kind.
    List(Kind),
    /// Writes an object on condition of its version.
    Put {
        /// Key of the object.
        key: Key,
        /// Version that the object must have, zero if it must not exist.
        if_version: u64,
        /// New content of the object.
        value: Value,
    },
    /// Removes an object on condition of its version.
    Delete {
        /// Key of the object.
        key: Key,
        /// Version that the object must have.
        if_version: u64,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The object, if it exists.
    Object(Option<Object>),
    /// The objects of a kind.
    Listing(Listing),
    /// The write took effect.
    Written {
        /// Number of the change.
        version: u64,
    },
    /// The object has another version, so this call changed nothing. An earlier attempt of the same
    /// write, whose answer was lost, may have written that version.
    Conflict {
        /// Version of the object, zero if it does not exist.
        version: u64,
    },
    /// The call was not made, or was not carried out.
    NotRun,
    /// No answer arrived. A write may have taken effect, or may still do so.
    Lost,
    /// The value is larger than the platform accepts, or the answer does not parse.
    Refused,
}
