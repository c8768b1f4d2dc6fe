//! Queries and response bodies, shared with the stand-in of the service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Size limit of an object's value, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest waiting time of a watch, in ms.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Answer to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Written {
    /// Number of the change.
    pub version: u64,
}

/// Answer to a write whose version condition failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mismatch {
    /// Current version of the object, zero if it does not exist.
    pub version: u64,
}

/// One change of an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Name of the object.
    pub name: String,
    /// Number of the change.
    pub version: u64,
    /// New value, `None` if the object was deleted.
    pub value: Option<Value>,
}

/// Answer to a watch. It has only the latest change of each object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Version to watch from next.
    pub version: u64,
    /// Changes after the requested version, oldest first.
    pub changes: Vec<Change>,
}

/// Query parameters of a listing.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ListQuery {
    /// Prefix of the names to list.
    pub prefix: String,
}

/// Query parameters of a watch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchQuery {
    /// Version after which changes are returned.
    pub after: u64,
    /// Time to wait for a change, in ms.
    pub wait_ms: u64,
}
