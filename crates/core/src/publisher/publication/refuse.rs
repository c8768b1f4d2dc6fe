//! Reporting to operators why their drafts are refused.

use super::{FleetState, Outcome, Publication, Refused, Task, to_value};
use crate::clock::Millis;
use crate::config::CheckError;
use crate::publisher::notice::Notice;
use crate::publisher::objects::{Answer, Key, Kind, Listing};
use crate::publisher::report::Report;
use crate::publisher::write::{Stamp, Step, Write};

impl Publication {
    pub(super) fn refuse(&mut self, drafts: &Listing, errors: Vec<CheckError>, fleet: &FleetState) {
        self.outcomes.push(Outcome::Notice(Notice::Refused {
            drafts_version: drafts.version,
            errors: errors.len(),
        }));
        self.refused = Some(Refused {
            drafts_version: drafts.version,
            lowest_reported: fleet.lowest_reported,
        });
        self.task = Some(Task::ReadReport(Report {
            stamp: Stamp::default(),
            epoch: self.epoch,
            drafts_version: drafts.version,
            errors,
        }));
    }

    pub(super) fn on_report(&mut self, now: Millis, answer: Answer, mut report: Report) {
        let Answer::Object(object) = answer else {
            return self.retry(now, Task::ReadReport(report));
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        let existing: Option<Report> =
            object.and_then(|object| serde_json::from_value(object.value).ok());
        let is_up_to_date = |existing: &Report| {
            let is_newer =
                existing.epoch > report.epoch || existing.drafts_version > report.drafts_version;
            let is_same = existing.drafts_version == report.drafts_version
                && existing.errors == report.errors;
            is_newer || is_same
        };
        if existing.as_ref().is_some_and(is_up_to_date) {
            return;
        }
        report.stamp = self.next_stamp();
        let key = Key::singleton(Kind::Report);
        let write = Write::new(key, version, to_value(&report), report.stamp.clone());
        self.task = Some(Task::WriteReport { write, report });
    }

    pub(super) fn on_report_written(
        &mut self,
        now: Millis,
        answer: Answer,
        mut write: Write,
        report: Report,
    ) {
        match write.on_answer(answer) {
            Step::Done { .. } => {}
            Step::Next => self.task = Some(Task::WriteReport { write, report }),
            Step::Wait => self.retry(now, Task::WriteReport { write, report }),
            Step::Overtaken(_) | Step::Refused => self.retry(now, Task::ReadReport(report)),
        }
    }
}
