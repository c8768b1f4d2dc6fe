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

use serde::Serialize;

use super::index::{self, Index, Parts};
use super::notice::Notice;
use super::objects::{Answer, Call, Key, Kind};
use super::report::Report;
use super::write::{Stamp, Write};
use crate::clock::Millis;
use crate::config::{Documents, Revision};

mod addresses;
mod claim;
mod parts;
mod publish;
mod refuse;

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
            // Whatever changes from now on may be missing in the listing.
            self.changed_first = None;
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
}

impl Task {
    fn call(&self) -> Call {
        match self {
            Self::ReadIndex => Call::Get(Key::singleton(Kind::Published)),
            Self::ReadParts { missing, .. } => {
                let name = missing.last().cloned().unwrap_or_default();
                Call::Get(Key::named(Kind::Part, name))
            }
            Self::Claim { write, .. }
            | Self::WriteIndex { write, .. }
            | Self::WriteReport { write, .. } => write.call(),
            Self::ListDrafts => Call::List(Kind::Draft),
            Self::WriteParts { writer, .. } => writer.call(),
            Self::ReadReport(_) => Call::Get(Key::singleton(Kind::Report)),
            Self::Sweep(sweep) => sweep.call(),
        }
    }
}

fn index_write(current: &Current) -> Write {
    let value = to_value(&current.index);
    let stamp = current.index.stamp.clone();
    Write::new(
        Key::singleton(Kind::Published),
        current.version,
        value,
        stamp,
    )
}

fn to_value<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}
