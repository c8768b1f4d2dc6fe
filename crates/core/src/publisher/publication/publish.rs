//! Checking the drafts and writing them as the next index.

use std::collections::BTreeMap;

use super::addresses::{held_addresses, reservations};
use super::parts::PartWriter;
use super::{FleetState, IndexState, Outcome, Publication, Task, index_write};
use crate::clock::Millis;
use crate::config::{self, CheckError, Documents, Revision};
use crate::publisher::draft;
use crate::publisher::index::{self, Content, Index};
use crate::publisher::notice::Notice;
use crate::publisher::objects::{Answer, Listing};
use crate::publisher::write::{Step, Write};

impl Publication {
    pub(super) fn on_drafts(&mut self, now: Millis, answer: Answer, fleet: &FleetState) {
        let Answer::Listing(drafts) = answer else {
            return self.retry(now, Task::ListDrafts);
        };
        self.listed_at = now;
        let Some(current) = self.current.clone() else {
            return;
        };
        // A listing that is not newer than the published drafts has no change, or is a stale read.
        if drafts.version <= current.index.drafts_version {
            return;
        }
        let is_known = self
            .refused
            .is_some_and(|refused| refused.drafts_version == drafts.version);
        if is_known && !self.has_reservation_ended(fleet) {
            return;
        }
        match check_drafts(&drafts, &current, fleet) {
            Ok(documents) => self.publish(&current, &drafts, documents, fleet),
            Err(errors) => self.refuse(&drafts, errors, fleet),
        }
    }

    fn publish(
        &mut self,
        current: &IndexState,
        drafts: &Listing,
        documents: Documents,
        fleet: &FleetState,
    ) {
        let (content, parts) = match index::split(&documents, self.times.max_inline_bytes) {
            Ok(split) => split,
            Err(error) => {
                self.outcomes.push(Outcome::Notice(Notice::TooLarge(error)));
                return;
            }
        };
        let number = current.index.number.max(fleet.in_force.number) + 1;
        let next = IndexState {
            index: Index {
                stamp: self.next_stamp(),
                epoch: self.epoch,
                number,
                drafts_version: drafts.version,
                drafts: versions_of(drafts),
                reserved: reservations(current, &documents, number, fleet),
                content,
            },
            version: current.version,
            documents,
            is_claimed: true,
        };
        let new_parts = parts
            .into_iter()
            .filter(|(name, _)| !current.index.part_names().contains(name));
        self.continue_parts(PartWriter::new(new_parts.collect()), Box::new(next));
    }

    fn continue_parts(&mut self, writer: PartWriter, next: Box<IndexState>) {
        self.task = Some(if writer.is_done() {
            let write = index_write(&next);
            Task::WriteIndex { write, next }
        } else {
            Task::WriteParts { writer, next }
        });
    }

    pub(super) fn on_part_written(
        &mut self,
        now: Millis,
        answer: &Answer,
        mut writer: PartWriter,
        next: Box<IndexState>,
    ) {
        if writer.on_answer(answer) {
            self.continue_parts(writer, next);
        } else {
            self.retry(now, Task::WriteParts { writer, next });
        }
    }

    pub(super) fn on_index_written(
        &mut self,
        now: Millis,
        answer: Answer,
        mut write: Write,
        mut next: Box<IndexState>,
    ) {
        match write.on_answer(answer) {
            Step::Done { version } => {
                next.version = version;
                self.on_published(*next);
            }
            Step::Next => self.task = Some(Task::WriteIndex { write, next }),
            Step::Wait => self.retry(now, Task::WriteIndex { write, next }),
            Step::Overtaken(_) | Step::Refused => {
                self.current = None;
                self.retry(now, Task::ReadIndex);
            }
        }
    }

    fn on_published(&mut self, current: IndexState) {
        let revision = Revision {
            number: current.index.number,
            epoch: current.index.epoch,
            documents: current.documents.clone(),
        };
        let number = revision.number;
        self.outcomes
            .push(Outcome::Notice(Notice::Published { number }));
        self.outcomes.push(Outcome::Published(revision));
        self.refused = None;
        if matches!(current.index.content, Content::Parts(_)) {
            self.sweep_at = Some(self.due.after(self.times.sweep_after));
        }
        self.current = Some(current);
    }
}

fn versions_of(drafts: &Listing) -> BTreeMap<String, u64> {
    let drafts = drafts.objects.iter();
    drafts
        .map(|draft| (draft.name.clone(), draft.version))
        .collect()
}

fn check_drafts(
    drafts: &Listing,
    current: &IndexState,
    fleet: &FleetState,
) -> Result<Documents, Vec<CheckError>> {
    let documents = draft::documents_of(drafts)?;
    let errors = config::check(&documents, &held_addresses(current, fleet));
    if errors.is_empty() {
        Ok(documents)
    } else {
        Err(errors)
    }
}
