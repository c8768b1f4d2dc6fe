//! Reading the index, and claiming it under the epoch of the lease.

use serde::de::DeserializeOwned;

use super::{FleetState, IndexState, Outcome, Publication, Task, index_write};
use crate::clock::Millis;
use crate::config::Documents;
use crate::publisher::index::{Index, Parts};
use crate::publisher::notice::Notice;
use crate::publisher::objects::{Answer, Key, Kind, Object};
use crate::publisher::write::{Step, Write};

impl Publication {
    pub(super) fn on_index(&mut self, now: Millis, answer: Answer, fleet: &FleetState) {
        let Answer::Object(object) = answer else {
            return self.retry(now, Task::ReadIndex);
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        let Some(index) = self.parse_or_default::<Index>(object, Kind::Published) else {
            return self.retry(now, Task::ReadIndex);
        };
        if index.epoch > self.epoch {
            self.outcomes.push(Outcome::Superseded(index.epoch));
            return;
        }
        let missing = index.part_names().to_vec();
        let current = IndexState {
            is_claimed: index.epoch == self.epoch && index.stamp.writer == self.stamp_writer(),
            index,
            version,
            documents: Documents::default(),
        };
        self.read_parts(now, current, Parts::new(), missing, fleet);
    }

    fn read_parts(
        &mut self,
        now: Millis,
        mut current: IndexState,
        parts: Parts,
        mut missing: Vec<String>,
        fleet: &FleetState,
    ) {
        // The documents of the revision in force in this process need not be read again.
        if fleet.in_force.number == current.index.number && !missing.is_empty() {
            missing.clear();
            current.documents = fleet.in_force.documents.clone();
            return self.claim(current);
        }
        if !missing.is_empty() {
            self.task = Some(Task::ReadParts {
                current,
                parts,
                missing,
            });
            return;
        }
        match current.index.assemble(&parts) {
            Ok(revision) => {
                current.documents = revision.documents;
                self.claim(current);
            }
            Err(error) => {
                self.outcomes
                    .push(Outcome::Notice(Notice::Unreadable(error)));
                self.retry(now, Task::ReadIndex);
            }
        }
    }

    pub(super) fn on_part(
        &mut self,
        now: Millis,
        answer: Answer,
        current: IndexState,
        mut parts: Parts,
        mut missing: Vec<String>,
        fleet: &FleetState,
    ) {
        let Answer::Object(object) = answer else {
            let task = Task::ReadParts {
                current,
                parts,
                missing,
            };
            return self.retry(now, task);
        };
        let Some(name) = missing.pop() else {
            return;
        };
        if let Some(part) = object.and_then(|object| serde_json::from_value(object.value).ok()) {
            parts.insert(name, part);
        }
        self.read_parts(now, current, parts, missing, fleet);
    }

    fn claim(&mut self, mut current: IndexState) {
        if current.is_claimed {
            self.adopt(current);
            return;
        }
        current.index.stamp = self.next_stamp();
        current.index.epoch = self.epoch;
        let write = index_write(&current);
        self.task = Some(Task::Claim { write, current });
    }

    pub(super) fn on_claim(
        &mut self,
        now: Millis,
        answer: Answer,
        mut write: Write,
        mut current: IndexState,
    ) {
        match write.on_answer(answer) {
            Step::Done { version } => {
                current.version = version;
                current.is_claimed = true;
                self.adopt(current);
            }
            Step::Next => self.task = Some(Task::Claim { write, current }),
            Step::Wait => self.retry(now, Task::Claim { write, current }),
            Step::Overtaken(_) | Step::Refused => self.retry(now, Task::ReadIndex),
        }
    }

    fn adopt(&mut self, current: IndexState) {
        let has_parts = !current.index.part_names().is_empty();
        if has_parts && self.sweep_at.is_none() {
            self.sweep_at = Some(self.due.after(self.times.sweep_after));
        }
        self.current = Some(current);
        self.first_change_at = Some(self.due);
    }

    /// Parses an object that only publishers write. Returns the default if the object does not
    /// exist, and `None` if it does not parse.
    fn parse_or_default<T: Default + DeserializeOwned>(
        &mut self,
        object: Option<Object>,
        kind: Kind,
    ) -> Option<T> {
        let Some(object) = object else {
            return Some(T::default());
        };
        let parsed = serde_json::from_value(object.value).ok();
        if parsed.is_none() {
            let name = Key::singleton(kind).to_string();
            self.outcomes
                .push(Outcome::Notice(Notice::Unparsable(name)));
        }
        parsed
    }
}
