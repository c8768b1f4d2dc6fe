//! Peers of the target, as reported by balancers.
//!
//! The views of balancers differ, so their replies are merged by version, and a late reply cannot
//! undo a newer one. A peer leaves the list when it is reported dead, or when the reply for a newer
//! revision no longer lists it.

use std::collections::HashMap;

use citronhollow_core::id::TargetId;
use citronhollow_core::members::{TargetRecord, TargetState, TargetUpdate, Verdict};
use citronhollow_peer::message::Target;
use citronhollow_peer::target_from_message;

/// Peers by identity.
#[derive(Debug, Default)]
pub struct Peers {
    by_id: HashMap<TargetId, Peer>,
}

#[derive(Debug)]
struct Peer {
    update: TargetUpdate,
    /// Revision of the last reply that listed it.
    revision: u64,
}

impl Peers {
    /// Merges newer records, and returns whether the list changed.
    pub fn merge(&mut self, reported: &[Target], revision: u64) -> bool {
        let mut changed = false;
        for target in reported {
            match target_from_message(target) {
                Ok(update) => changed |= self.merge_one(update, revision),
                Err(error) => log::debug!("control: peer rejected: {error}"),
            }
        }
        let before = self.by_id.len();
        self.by_id.retain(|_, peer| peer.revision >= revision);
        changed || self.by_id.len() != before
    }

    /// Records for the traffic thread, sorted by identity.
    #[must_use]
    pub fn records(&self) -> Vec<TargetRecord> {
        let mut records: Vec<TargetRecord> = self
            .by_id
            .values()
            .map(|peer| served(&peer.update))
            .collect();
        records.sort_unstable_by_key(|record| record.id);
        records
    }

    fn merge_one(&mut self, update: TargetUpdate, revision: u64) -> bool {
        let old = self.by_id.get_mut(&update.record.id);
        let Some(old) = old else {
            self.by_id
                .insert(update.record.id, Peer { update, revision });
            return true;
        };
        old.revision = old.revision.max(revision);
        let is_newer = update.is_newer_than(&old.update);
        if is_newer {
            old.update = update;
        }
        is_newer
    }
}

/// The record as the traffic thread sees it. A suspect gets no new flows but may hold some, so it
/// counts as draining.
fn served(update: &TargetUpdate) -> TargetRecord {
    let state = match update.verdict {
        _ if update.is_gone() => TargetState::Dead,
        Verdict::Suspect if update.record.state == TargetState::Ready => TargetState::Draining,
        _ => update.record.state,
    };
    TargetRecord {
        state,
        ..update.record
    }
}
