//! The work of the process that holds the lease.
//!
//! One call is under way at a time, and each answer leads to the next step:
//!
//! 1. read the index, and the parts of a large set;
//! 2. claim it: write it back unchanged under this lease's epoch, so that whatever a former holder
//!    has still on its way fails on the version;
//! 3. list the drafts whenever they changed;
//! 4. check the whole set; if it has errors, write the report;
//! 5. write the parts that are new, then the index on condition of the version that was claimed;
//! 6. remove parts that no index has named for a while.
//!
//! A step that another writer overtook leads back to the first. Losing the lease drops everything.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::draft;
use super::index::{self, Content, Index, Parts, Reservation};
use super::notice::Notice;
use super::objects::{Answer, Call, Key, Kind, Listing, Object};
use super::report::Report;
use super::write::{Stamp, Step, Write};
use crate::clock::Millis;
use crate::config::{self, CheckError, Documents, HeldAddress, Revision};

mod parts;

use parts::{PartWriter, Sweep};

/// Times and sizes of publishing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationTimes {
    /// The drafts must have been quiet for this long before they are read.
    pub settle: Millis,
    /// Drafts that never are quiet are read after this time.
    pub settle_at_most: Millis,
    /// The drafts are read this often even if no change was heard of.
    pub poll_every: Millis,
    /// Time before a call that failed is made again.
    pub retry_after: Millis,
    /// Unused parts are left for this long to readers of an older index.
    pub sweep_after: Millis,
    /// Largest set that stands in the index, and largest part, in bytes.
    pub max_inline_bytes: usize,
}

impl Default for PublicationTimes {
    fn default() -> Self {
        Self {
            settle: Millis(200),
            settle_at_most: Millis::from_secs(1),
            poll_every: Millis::from_secs(15),
            retry_after: Millis(200),
            sweep_after: Millis::from_secs(60),
            max_inline_bytes: index::MAX_INLINE_BYTES,
        }
    }
}

/// What is known outside of the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Surroundings {
    /// The revision in force in this process.
    pub(super) in_force: Revision,
    /// Lowest revision that any live process reports.
    pub(super) lowest_reported: u64,
}

/// The index as the platform holds it, with its documents.
#[derive(Clone, Debug, Default)]
struct Current {
    index: Index,
    version: u64,
    documents: Documents,
    is_claimed: bool,
}

#[derive(Clone, Debug)]
enum Task {
    ReadIndex,
    ReadParts {
        current: Current,
        parts: Parts,
        missing: Vec<String>,
    },
    Claim {
        write: Write,
        current: Current,
    },
    ListDrafts,
    WriteParts {
        writer: PartWriter,
        next: Box<Current>,
    },
    WriteIndex {
        write: Write,
        next: Box<Current>,
    },
    ReadReport(Report),
    WriteReport {
        write: Write,
        report: Report,
    },
    Sweep(Sweep),
}

/// The drafts that were refused last.
#[derive(Clone, Copy, Debug)]
struct Refused {
    drafts_version: u64,
    lowest_reported: u64,
}

/// What the publisher hands out besides calls.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    Notice(Notice),
    Published(Revision),
    /// A higher epoch is in force.
    Superseded(u64),
}

/// Work under one lease.
#[derive(Clone, Debug)]
pub(super) struct Publication {
    times: PublicationTimes,
    writer: String,
    sequence: u64,
    epoch: u64,
    task: Option<Task>,
    due: Millis,
    current: Option<Current>,
    changed_first: Option<Millis>,
    changed_last: Millis,
    listed_at: Millis,
    refused: Option<Refused>,
    sweep_at: Option<Millis>,
    outcomes: Vec<Outcome>,
}

impl Publication {
    pub(super) fn new(now: Millis, writer: String, epoch: u64, times: PublicationTimes) -> Self {
        Self {
            times,
            writer,
            sequence: 0,
            epoch,
            task: Some(Task::ReadIndex),
            due: now,
            current: None,
            changed_first: None,
            changed_last: now,
            listed_at: now,
            refused: None,
            sweep_at: None,
            outcomes: Vec::new(),
        }
    }

    pub(super) fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Notes that drafts changed.
    pub(super) fn on_drafts_changed(&mut self, now: Millis) {
        self.changed_first.get_or_insert(now);
        self.changed_last = now;
    }

    /// The call that is due, if any. Only asked for while no call is under way.
    pub(super) fn poll(&mut self, now: Millis, surroundings: &Surroundings) -> Option<Call> {
        if self.task.is_none() {
            self.task = self.next_task(now, surroundings);
        }
        if now < self.due {
            return None;
        }
        self.task.as_ref().map(Task::call)
    }

    /// Takes the answer to the last call.
    pub(super) fn on_answer(&mut self, now: Millis, answer: Answer, around: &Surroundings) {
        self.due = now;
        match self.task.take() {
            Some(Task::ReadIndex) => self.on_index(now, answer, around),
            Some(Task::ReadParts {
                current,
                parts,
                missing,
            }) => self.on_part(now, answer, current, parts, missing, around),
            Some(Task::Claim { write, current }) => self.on_claim(now, answer, write, current),
            Some(Task::ListDrafts) => self.on_drafts(now, answer, around),
            Some(Task::WriteParts { writer, next }) => {
                self.on_part_written(now, &answer, writer, next);
            }
            Some(Task::WriteIndex { write, next }) => {
                self.on_index_written(now, answer, write, next);
            }
            Some(Task::ReadReport(report)) => self.on_report(now, answer, report),
            Some(Task::WriteReport { write, report }) => {
                self.on_report_written(now, answer, write, report);
            }
            Some(Task::Sweep(sweep)) => self.task = sweep.on_answer(answer).map(Task::Sweep),
            None => {}
        }
    }

    fn next_task(&mut self, now: Millis, around: &Surroundings) -> Option<Task> {
        let Some(current) = &self.current else {
            return Some(Task::ReadIndex);
        };
        if self.is_listing_due(now, around) {
            return Some(Task::ListDrafts);
        }
        if self.sweep_at.is_some_and(|at| now >= at) {
            self.sweep_at = None;
            let kept = current.index.part_names().to_vec();
            return Some(Task::Sweep(Sweep::new(kept, current.version)));
        }
        None
    }

    fn is_listing_due(&self, now: Millis, around: &Surroundings) -> bool {
        let settled = now.since(self.changed_last) >= self.times.settle;
        let is_changed = self
            .changed_first
            .is_some_and(|first| settled || now.since(first) >= self.times.settle_at_most);
        let is_polled = now.since(self.listed_at) >= self.times.poll_every;
        is_changed || is_polled || self.is_reservation_over(around)
    }

    /// Whether drafts that were refused may pass because a reservation ended since.
    fn is_reservation_over(&self, around: &Surroundings) -> bool {
        let (Some(current), Some(refused)) = (&self.current, &self.refused) else {
            return false;
        };
        let ended = refused.lowest_reported + 1..=around.lowest_reported;
        let mut reserved = current.index.reserved.iter();
        reserved.any(|reserved| ended.contains(&reserved.released_in))
    }

    fn on_index(&mut self, now: Millis, answer: Answer, around: &Surroundings) {
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
        let current = Current {
            is_claimed: index.epoch == self.epoch && index.stamp.writer == self.stamp_writer(),
            index,
            version,
            documents: Documents::default(),
        };
        self.read_parts(now, current, Parts::new(), missing, around);
    }

    fn read_parts(
        &mut self,
        now: Millis,
        mut current: Current,
        parts: Parts,
        mut missing: Vec<String>,
        around: &Surroundings,
    ) {
        // What this process serves already need not be read again.
        if around.in_force.number == current.index.number && !missing.is_empty() {
            missing.clear();
            current.documents = around.in_force.documents.clone();
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

    fn on_part(
        &mut self,
        now: Millis,
        answer: Answer,
        current: Current,
        mut parts: Parts,
        mut missing: Vec<String>,
        around: &Surroundings,
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
        self.read_parts(now, current, parts, missing, around);
    }

    fn claim(&mut self, mut current: Current) {
        if current.is_claimed {
            self.settle_on(current);
            return;
        }
        current.index.stamp = self.next_stamp();
        current.index.epoch = self.epoch;
        let write = index_write(&current);
        self.task = Some(Task::Claim { write, current });
    }

    fn on_claim(&mut self, now: Millis, answer: Answer, mut write: Write, mut current: Current) {
        match write.on_answer(answer) {
            Step::Done { version } => {
                current.version = version;
                current.is_claimed = true;
                self.settle_on(current);
            }
            Step::Next => self.task = Some(Task::Claim { write, current }),
            Step::Wait => self.retry(now, Task::Claim { write, current }),
            Step::Overtaken(_) | Step::Refused => self.retry(now, Task::ReadIndex),
        }
    }

    fn settle_on(&mut self, current: Current) {
        let has_parts = !current.index.part_names().is_empty();
        if has_parts && self.sweep_at.is_none() {
            self.sweep_at = Some(self.due.after(self.times.sweep_after));
        }
        self.current = Some(current);
        self.changed_first = Some(self.due);
    }

    fn on_drafts(&mut self, now: Millis, answer: Answer, around: &Surroundings) {
        let Answer::Listing(drafts) = answer else {
            return self.retry(now, Task::ListDrafts);
        };
        self.listed_at = now;
        self.changed_first = None;
        let Some(current) = self.current.clone() else {
            return;
        };
        // A listing that is older than what is published is a stale read.
        if drafts.version <= current.index.drafts_version {
            return;
        }
        let is_known = self
            .refused
            .is_some_and(|refused| refused.drafts_version == drafts.version);
        if is_known && !self.is_reservation_over(around) {
            return;
        }
        match judge(&drafts, &current, around) {
            Ok(documents) => self.publish(&current, &drafts, documents, around),
            Err(errors) => self.refuse(&drafts, errors, around),
        }
    }

    fn publish(
        &mut self,
        current: &Current,
        drafts: &Listing,
        documents: Documents,
        around: &Surroundings,
    ) {
        let (content, parts) = match index::split(&documents, self.times.max_inline_bytes) {
            Ok(split) => split,
            Err(error) => {
                self.outcomes.push(Outcome::Notice(Notice::TooLarge(error)));
                return;
            }
        };
        let number = current.index.number.max(around.in_force.number) + 1;
        let next = Current {
            index: Index {
                stamp: self.next_stamp(),
                epoch: self.epoch,
                number,
                drafts_version: drafts.version,
                drafts: versions_of(drafts),
                reserved: reservations(current, &documents, number, around),
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

    fn continue_parts(&mut self, writer: PartWriter, next: Box<Current>) {
        self.task = Some(if writer.is_done() {
            let write = index_write(&next);
            Task::WriteIndex { write, next }
        } else {
            Task::WriteParts { writer, next }
        });
    }

    fn on_part_written(
        &mut self,
        now: Millis,
        answer: &Answer,
        mut writer: PartWriter,
        next: Box<Current>,
    ) {
        if writer.on_answer(answer) {
            self.continue_parts(writer, next);
        } else {
            self.retry(now, Task::WriteParts { writer, next });
        }
    }

    fn on_index_written(
        &mut self,
        now: Millis,
        answer: Answer,
        mut write: Write,
        mut next: Box<Current>,
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

    fn on_published(&mut self, current: Current) {
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

    fn refuse(&mut self, drafts: &Listing, errors: Vec<CheckError>, around: &Surroundings) {
        self.outcomes.push(Outcome::Notice(Notice::Refused {
            drafts_version: drafts.version,
            errors: errors.len(),
        }));
        self.refused = Some(Refused {
            drafts_version: drafts.version,
            lowest_reported: around.lowest_reported,
        });
        self.task = Some(Task::ReadReport(Report {
            stamp: Stamp::default(),
            epoch: self.epoch,
            drafts_version: drafts.version,
            errors,
        }));
    }

    fn on_report(&mut self, now: Millis, answer: Answer, mut report: Report) {
        let Answer::Object(object) = answer else {
            return self.retry(now, Task::ReadReport(report));
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        let standing: Option<Report> =
            object.and_then(|object| serde_json::from_value(object.value).ok());
        let need_not_write = |standing: &Report| {
            let is_newer =
                standing.epoch > report.epoch || standing.drafts_version > report.drafts_version;
            let is_same = standing.drafts_version == report.drafts_version
                && standing.errors == report.errors;
            is_newer || is_same
        };
        if standing.as_ref().is_some_and(need_not_write) {
            return;
        }
        report.stamp = self.next_stamp();
        let key = Key::only(Kind::Report);
        let write = Write::new(key, version, to_value(&report), report.stamp.clone());
        self.task = Some(Task::WriteReport { write, report });
    }

    fn on_report_written(&mut self, now: Millis, answer: Answer, mut write: Write, report: Report) {
        match write.on_answer(answer) {
            Step::Done { .. } => {}
            Step::Next => self.task = Some(Task::WriteReport { write, report }),
            Step::Wait => self.retry(now, Task::WriteReport { write, report }),
            Step::Overtaken(_) | Step::Refused => self.retry(now, Task::ReadReport(report)),
        }
    }

    fn retry(&mut self, now: Millis, task: Task) {
        self.due = now.after(self.times.retry_after);
        self.task = Some(task);
    }

    fn next_stamp(&mut self) -> Stamp {
        self.sequence += 1;
        Stamp {
            writer: self.stamp_writer(),
            sequence: self.sequence,
        }
    }

    /// The epoch keeps the stamps of two leases of one process apart.
    fn stamp_writer(&self) -> String {
        format!("{}@{}", self.writer, self.epoch)
    }

    /// The value of an object that only publishers write, the default if it does not exist.
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
            let name = Key::only(kind).to_string();
            self.outcomes
                .push(Outcome::Notice(Notice::Unparsable(name)));
        }
        parsed
    }
}

impl Task {
    fn call(&self) -> Call {
        match self {
            Self::ReadIndex => Call::Get(Key::only(Kind::Published)),
            Self::ReadParts { missing, .. } => {
                let name = missing.last().cloned().unwrap_or_default();
                Call::Get(Key::named(Kind::Part, name))
            }
            Self::Claim { write, .. }
            | Self::WriteIndex { write, .. }
            | Self::WriteReport { write, .. } => write.call(),
            Self::ListDrafts => Call::List(Kind::Draft),
            Self::WriteParts { writer, .. } => writer.call(),
            Self::ReadReport(_) => Call::Get(Key::only(Kind::Report)),
            Self::Sweep(sweep) => sweep.call(),
        }
    }
}

fn versions_of(drafts: &Listing) -> BTreeMap<String, u64> {
    let drafts = drafts.objects.iter();
    drafts
        .map(|draft| (draft.name.clone(), draft.version))
        .collect()
}

fn judge(
    drafts: &Listing,
    current: &Current,
    around: &Surroundings,
) -> Result<Documents, Vec<CheckError>> {
    let documents = draft::documents_of(drafts)?;
    let errors = config::check(&documents, &held_addresses(current, around));
    if errors.is_empty() {
        Ok(documents)
    } else {
        Err(errors)
    }
}

/// Addresses in force and those released since the slowest process's revision.
fn held_addresses(current: &Current, around: &Surroundings) -> Vec<HeldAddress> {
    let released = current
        .index
        .reserved
        .iter()
        .filter(|reserved| reserved.released_in > around.lowest_reported)
        .map(|reserved| reserved.held.clone());
    addresses_of(&current.documents).chain(released).collect()
}

fn addresses_of(documents: &Documents) -> impl Iterator<Item = HeldAddress> {
    documents.services.iter().flat_map(|service| {
        service.addresses.iter().map(|&address| HeldAddress {
            address,
            service: service.name.clone(),
        })
    })
}

/// The reservations that hold after a new set: those still needed, and the addresses it releases.
fn reservations(
    current: &Current,
    documents: &Documents,
    number: u64,
    around: &Surroundings,
) -> Vec<Reservation> {
    let kept = current.index.reserved.iter().cloned();
    let released = addresses_of(&current.documents).map(|held| Reservation {
        held,
        released_in: number,
    });
    let in_use: Vec<HeldAddress> = addresses_of(documents).collect();
    kept.chain(released)
        .filter(|reserved| reserved.released_in > around.lowest_reported)
        .filter(|reserved| !in_use.contains(&reserved.held))
        .collect()
}

fn index_write(current: &Current) -> Write {
    let value = to_value(&current.index);
    let stamp = current.index.stamp.clone();
    Write::new(Key::only(Kind::Published), current.version, value, stamp)
}

fn to_value<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}
