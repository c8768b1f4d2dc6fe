//! The latest revisions as deltas, for gossip and for peers that are a few revisions behind.

use std::collections::VecDeque;
use std::sync::Arc;

use citronhollow_core::config::Revision;
use citronhollow_core::gossip::RevisionDelta;
use citronhollow_peer::message::RevisionReply;

/// Maximum number of deltas in the log.
const DELTAS_MAX: usize = 64;

/// Maximum size of a reply of deltas, in bytes. Beyond it the whole revision is sent.
const DELTAS_BYTES_MAX: usize = 256 * 1_024;

#[derive(Debug)]
struct LoggedDelta {
    base: u64,
    json: Vec<u8>,
}

/// The latest revisions as deltas, newest last.
#[derive(Debug, Default)]
pub struct RevisionLog {
    latest: Arc<Revision>,
    deltas: VecDeque<LoggedDelta>,
}

impl RevisionLog {
    /// Appends the delta to a revision that came into force.
    pub fn push(&mut self, revision: &Arc<Revision>) {
        let delta = RevisionDelta::between(&self.latest, revision);
        let json = delta.and_then(|delta| serde_json::to_vec(&delta).ok());
        match json {
            Some(json) => self.deltas.push_back(LoggedDelta {
                base: self.latest.number,
                json,
            }),
            // Deltas before a gap cannot be applied any more.
            None => self.deltas.clear(),
        }
        if self.deltas.len() > DELTAS_MAX {
            self.deltas.pop_front();
        }
        self.latest = Arc::clone(revision);
    }

    /// The delta to the latest revision, as JSON.
    #[must_use]
    pub fn newest(&self) -> Option<&[u8]> {
        self.deltas.back().map(|logged| logged.json.as_slice())
    }

    /// The reply that brings a peer from the revision that it knows to the latest one.
    #[must_use]
    pub fn reply(&self, known: u64, latest: &Revision) -> RevisionReply {
        if latest.number <= known {
            return RevisionReply::default();
        }
        let deltas_json = self.deltas_after(known);
        let json = if deltas_json.is_empty() {
            serde_json::to_vec(latest).unwrap_or_default()
        } else {
            Vec::new()
        };
        RevisionReply { json, deltas_json }
    }

    /// The deltas from a revision to the latest, empty if some are missing or they are too large.
    fn deltas_after(&self, known: u64) -> Vec<Vec<u8>> {
        let start = self.deltas.iter().position(|logged| logged.base == known);
        let Some(start) = start.filter(|_| known > 0) else {
            return Vec::new();
        };
        let deltas = self.deltas.iter().skip(start);
        let bytes: usize = deltas.clone().map(|logged| logged.json.len()).sum();
        if bytes > DELTAS_BYTES_MAX {
            return Vec::new();
        }
        deltas.map(|logged| logged.json.clone()).collect()
    }
}
