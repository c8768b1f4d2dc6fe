//! Bodies of requests and answers, shared with the stand-in.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Largest value that an object may hold, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest time that a watch may wait.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Answer to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Written {
    /// Number of the change.
    pub version: u64,
}

/// Answer to a write whose condition did not hold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mismatch {
    /// Version that the object has, zero if it does not exist.
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
    /// What it holds now, none if it was removed.
    pub value: Option<Value>,
}

/// What a watch saw. Only the latest change of each object is told.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Version to watch from next.
    pub version: u64,
    /// Changes after the version asked for, oldest first.
    pub changes: Vec<Change>,
}

/// Query of a listing.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ListQuery {
    /// Beginning of the names that are wanted.
    pub prefix: String,
}

/// Query of a watch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchQuery {
    /// Only changes after this version are told.
    pub after: u64,
    /// How long to wait for one.
    pub wait_ms: u64,
}
