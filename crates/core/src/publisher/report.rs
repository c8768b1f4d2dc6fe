//! What operators are told about a draft.
//!
//! The index names every draft's version that the revision holds, and the report names the version
//! of the drafts that the last check refused. Since a listing of the drafts shows one moment, these
//! tell the state of every draft, and that state changes in the same write as the revision itself:
//! no draft is ever called accepted before it is, or the other way about. Of two operators who race,
//! the one whose version was written over is told so.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::index::Index;
use super::write::Stamp;
use crate::config::CheckError;

/// What the report object holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Who wrote it.
    pub stamp: Stamp,
    /// Epoch of the writer's lease.
    pub epoch: u64,
    /// Version of the drafts that were checked.
    pub drafts_version: u64,
    /// Everything that keeps them out.
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
    /// Whether it removed the draft.
    pub is_removal: bool,
}

/// State of a change.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DraftStatus {
    /// It stands in this revision.
    #[display("in force in revision {_0}")]
    Published(u64),
    /// The set with it was refused, and the last revision stays in force.
    #[display("refused: {}", join(_0))]
    Refused(Vec<CheckError>),
    /// A later change of the draft, of this version, stands in the revision in force.
    #[display("replaced by version {_0}")]
    Replaced(u64),
    /// The draft was removed later, and the removal is in force.
    #[display("removed by a later change")]
    Removed,
    /// It was not checked yet.
    #[display("waiting for the publisher")]
    Pending,
}

/// State of a change, given the index and the report as they are.
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
