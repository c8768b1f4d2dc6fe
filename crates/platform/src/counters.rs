//! Counters of calls, which measure the load on the object service.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Reads one object.
    #[display("get")]
    Get,
    /// Reads all objects of a kind.
    #[display("list")]
    List,
    /// Creates an object.
    #[display("create")]
    Create,
    /// Replaces an object.
    #[display("put")]
    Put,
    /// Deletes an object.
    #[display("delete")]
    Delete,
    /// Waits for changes.
    #[display("watch")]
    Watch,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::Get,
        Self::List,
        Self::Create,
        Self::Put,
        Self::Delete,
        Self::Watch,
    ];

    const fn index(self) -> usize {
        self as usize
    }
}

/// Counters of sent requests, retries included.
#[derive(Debug, Default)]
pub struct CallCounters {
    sent: [AtomicU64; CallKind::ALL.len()],
    retries: AtomicU64,
}

impl CallCounters {
    /// Counts a request.
    pub fn count(&self, kind: CallKind) {
        self.sent[kind.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry. Its request is counted by [`Self::count`] as well.
    pub fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests of this kind sent so far.
    #[must_use]
    pub fn sent(&self, kind: CallKind) -> u64 {
        self.sent[kind.index()].load(Ordering::Relaxed)
    }

    /// Requests of all kinds sent so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        CallKind::ALL.iter().map(|kind| self.sent(*kind)).sum()
    }

    /// Retries so far.
    #[must_use]
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }
}
