//! Publication by the process that holds the lease.
//!
//! One call is in flight at a time, and each answer leads to the next step:
//!
//! 1. read the index, and the parts of a large set;
//! 2. claim the index: write it back unchanged under this lease's epoch, so that a delayed write of
//!    a former holder fails on the version;
//! 3. list the drafts whenever they changed;
//! 4. check the whole set, and write the report if it has errors;
//! 5. write the new parts, then the index, on condition of the version that was claimed;
//! 6. remove parts that the index no longer refers to, after a delay.
//!
//! If another writer was first in a step, the publication starts again at step 1. If the lease is
//! lost, the publication is dropped.

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

/// Timing and size limits of publishing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationTimes {
    /// Time without changes after which changed drafts are read.
    pub settle: Millis,
    /// Time after the first change at which drafts are read even if they keep changing.
    pub settle_at_most: Millis,
    /// Interval at which the drafts are read even if no change was reported.
    pub poll_every: Millis,
    /// Delay before a failed call is retried.
    pub retry_after: Millis,
    /// Time for which unused parts are kept for readers of an older index.
    pub sweep_after: Millis,
    /// Maximum size of documents stored in the index, and of a part, in bytes of JSON.
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

/// State of this process and the fleet that the platform does not store.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetState {
    /// The revision in force in this process.
    pub(super) in_force: Revision,
    /// Lowest revision that any live process reports.
    pub(super) lowest_reported: u64,
}

/// An index with its version at the platform and its documents.
#[derive(Clone, Debug, Default)]
struct IndexState {
    index: Index,
    version: u64,
    documents: Documents,
    is_claimed: bool,
}

#[derive(Clone, Debug)]
enum Task {
    ReadIndex,
    ReadParts {
        current: IndexState,
        parts: Parts,
        missing: Vec<String>,
    },
    Claim {
        write: Write,
        current: IndexState,
    },
    ListDrafts,
    WriteParts {
        writer: PartWriter,
        next: Box<IndexState>,
    },
    WriteIndex {
        write: Write,
        next: Box<IndexState>,
    },
    ReadReport(Report),
    WriteReport {
        write: Write,
        report: Report,
    },
    Sweep(Sweep),
}

/// The drafts that were refused last, and the lowest revision reported at that time.
#[derive(Clone, Copy, Debug)]
struct Refused {
    drafts_version: u64,
    lowest_reported: u64,
}

/// Output of a publication other than calls.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    Notice(Notice),
    Published(Revision),
    /// A higher epoch is in force.
    Superseded(u64),
}

/// State machine of publishing under one lease epoch.
#[derive(Clone, Debug)]
pub(super) struct Publication {
    times: PublicationTimes,
    writer: String,
    sequence: u64,
    epoch: u64,
    task: Option<Task>,
    due: Millis,
    current: Option<IndexState>,
    first_change_at: Option<Millis>,
    last_change_at: Millis,
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
            first_change_at: None,
            last_change_at: now,
            listed_at: now,
            refused: None,
            sweep_at: None,
            outcomes: Vec::new(),
        }
    }

    pub(super) fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Records that drafts changed.
    pub(super) fn on_drafts_changed(&mut self, now: Millis) {
        self.first_change_at.get_or_insert(now);
        self.last_change_at = now;
    }

    /// Returns the call that is due, if any. Must only be called while no call is in flight.
    pub(super) fn poll(&mut self, now: Millis, fleet: &FleetState) -> Option<Call> {
        if self.task.is_none() {
            self.task = self.next_task(now, fleet);
        }
        if now < self.due {
            return None;
        }
        self.task.as_ref().map(Task::call)
    }

    /// Handles the answer to the last call.
    pub(super) fn on_answer(&mut self, now: Millis, answer: Answer, fleet: &FleetState) {
        self.due = now;
        match self.task.take() {
            Some(Task::ReadIndex) => self.on_index(now, answer, fleet),
            Some(Task::ReadParts {
                current,
                parts,
                missing,
            }) => self.on_part(now, answer, current, parts, missing, fleet),
            Some(Task::Claim { write, current }) => self.on_claim(now, answer, write, current),
            Some(Task::ListDrafts) => self.on_drafts(now, answer, fleet),
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

    fn next_task(&mut self, now: Millis, fleet: &FleetState) -> Option<Task> {
        let Some(current) = &self.current else {
            return Some(Task::ReadIndex);
        };
        if self.is_listing_due(now, fleet) {
            // A change after this moment may be missing in the listing.
            self.first_change_at = None;
            return Some(Task::ListDrafts);
        }
        if self.sweep_at.is_some_and(|at| now >= at) {
            self.sweep_at = None;
            let kept = current.index.part_names().to_vec();
            return Some(Task::Sweep(Sweep::new(kept, current.version)));
        }
        None
    }

    fn is_listing_due(&self, now: Millis, fleet: &FleetState) -> bool {
        let settled = now.since(self.last_change_at) >= self.times.settle;
        let is_changed = self
            .first_change_at
            .is_some_and(|first| settled || now.since(first) >= self.times.settle_at_most);
        let is_polled = now.since(self.listed_at) >= self.times.poll_every;
        is_changed || is_polled || self.has_reservation_ended(fleet)
    }

    /// Returns whether a reservation has ended since the drafts were refused, so that they may pass
    /// the check now.
    fn has_reservation_ended(&self, fleet: &FleetState) -> bool {
        let (Some(current), Some(refused)) = (&self.current, &self.refused) else {
            return false;
        };
        let ended = refused.lowest_reported + 1..=fleet.lowest_reported;
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

    /// Returns the writer's name with the epoch, which distinguishes the stamps of two leases of
    /// one process.
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

fn index_write(current: &IndexState) -> Write {
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
