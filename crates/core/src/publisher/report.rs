//! Status of drafts for operators.
//!
//! The index lists the version of every draft in the revision, and the report has the version of
//! the drafts that the last check refused. A listing of the drafts is a snapshot, so these two
//! determine the status of every draft. The status changes in the same write as the revision
//! itself: a draft is reported as accepted exactly when it is in force. If two operators change a
//! draft at the same time, the one whose version was overwritten gets the status
//! [`DraftStatus::Replaced`].

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::index::Index;
use super::write::Stamp;
use crate::config::CheckError;

/// Content of the report object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Stamp of the write.
    pub stamp: Stamp,
    /// Epoch of the writer's lease.
    pub epoch: u64,
    /// Version of the drafts that were checked.
    pub drafts_version: u64,
    /// All errors for which the drafts were refused.
    pub errors: Vec<CheckError>,
}

/// A change that an operator made to a draft.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DraftChange {
    /// Name of the draft object.
    pub name: String,
    /// Number of the change.
    pub version: u64,
    /// Whether the change removed the draft.
    pub is_removal: bool,
}

/// Status of a change.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DraftStatus {
    /// The change is in force in this revision.
    #[display("in force in revision {_0}")]
    Published(u64),
    /// The set with the change was refused, and the previous revision stays in force.
    #[display("refused: {}", join(_0))]
    Refused(Vec<CheckError>),
    /// A later change to the draft, which has this version, is in force.
    #[display("replaced by version {_0}")]
    Replaced(u64),
    /// The draft was removed later, and the removal is in force.
    #[display("removed by a later change")]
    Removed,
    /// The change has not been checked yet.
    #[display("waiting for the publisher")]
    Pending,
}

/// Returns the status of a change, given the current index and report.
#[must_use]
pub fn draft_status(
    change: &DraftChange,
    index: Option<&Index>,
    report: Option<&Report>,
) -> DraftStatus {
    let published = index.map_or(0, |index| index.drafts_version);
    if let Some(index) = index
        && change.version <= published
    {
        return published_status(change, index);
    }
    let refused = report.filter(|report| report.drafts_version > published);
    match refused {
        Some(report) if change.version <= report.drafts_version => {
            DraftStatus::Refused(report.errors.clone())
        }
        _ => DraftStatus::Pending,
    }
}

fn published_status(change: &DraftChange, index: &Index) -> DraftStatus {
    match index.drafts.get(&change.name) {
        Some(version) if *version == change.version => DraftStatus::Published(index.number),
        Some(version) => DraftStatus::Replaced(*version),
        None if change.is_removal => DraftStatus::Published(index.number),
        None => DraftStatus::Removed,
    }
}

fn join(errors: &[CheckError]) -> String {
    let lines: Vec<String> = errors.iter().map(CheckError::to_string).collect();
    lines.join("; ")
}
