//! The last revisions as differences, for pushes and for peers that lag a little.

use std::collections::VecDeque;
use std::sync::Arc;

use citronhollow_core::config::Revision;
use citronhollow_core::gossip::RevisionDelta;
use citronhollow_peer::message::RevisionReply;

/// Differences that are kept.
const DELTAS_MAX: usize = 64;

/// Longest reply made of differences, in bytes. Beyond it the whole revision is sent.
const DELTAS_BYTES_MAX: usize = 256 * 1_024;

#[derive(Debug)]
struct LoggedDelta {
    base: u64,
    json: Vec<u8>,
}

/// The last revisions as differences, the newest last.
#[derive(Debug, Default)]
pub struct RevisionLog {
    latest: Arc<Revision>,
    deltas: VecDeque<LoggedDelta>,
}

impl RevisionLog {
    /// Takes note of a revision that came into force.
    pub fn push(&mut self, revision: &Arc<Revision>) {
        let delta = RevisionDelta::between(&self.latest, revision);
        let json = delta.and_then(|delta| serde_json::to_vec(&delta).ok());
        match json {
            Some(json) => self.deltas.push_back(LoggedDelta {
                base: self.latest.number,
                json,
            }),
            // A gap in the deltas makes what is before it useless.
            None => self.deltas.clear(),
        }
        if self.deltas.len() > DELTAS_MAX {
            self.deltas.pop_front();
        }
        self.latest = Arc::clone(revision);
    }

    /// The difference that gave the latest revision.
    #[must_use]
    pub fn newest(&self) -> Option<&[u8]> {
        self.deltas.back().map(|logged| logged.json.as_slice())
    }

    /// What takes a peer from the revision that it knows to the latest.
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

    /// The deltas of differences from a revision on, empty if it is broken or too long.
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
