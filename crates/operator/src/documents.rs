//! Shapes of what operators do with documents over HTTP.
//!
//! Operators edit drafts, one for each document. Drafts become a revision only together, after the
//! check over the whole set. An apply therefore tells three things apart: what it would change,
//! what it has written, and, later, what has become of each change.

use citronhollow_core::config::{Change, CheckError, Documents};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::problem::Problem;

/// Documents to apply.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplyRequest {
    /// The documents.
    pub documents: Documents,
    /// Whether drafts that are not among them are removed.
    pub prune: bool,
    /// Whether only the changes are told.
    pub dry_run: bool,
    /// Version of the drafts that the operator has seen, none if it does not matter. A later
    /// change by somebody else is a conflict then.
    pub base: Option<u64>,
    /// Who applies, for those whose changes conflict.
    pub operator: String,
}

/// What an apply did.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// What differs from the drafts as they were.
    pub changes: Vec<Change>,
    /// What became of each draft, none in a dry run.
    pub drafts: Vec<AppliedDraft>,
}

/// What an apply did to one draft.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppliedDraft {
    /// Name of the draft, its kind in front.
    pub name: String,
    /// What became of it.
    pub outcome: String,
    /// Why it was not written, none if it was or did not have to be.
    pub failure: Option<ErrorKind>,
    /// The change, none if there was none or its version is not known.
    pub change: Option<DraftChange>,
}

/// The drafts as they stand.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Drafts {
    /// Number of the latest change to any draft.
    pub version: u64,
    /// The documents that they hold.
    pub documents: Documents,
    /// The state of each.
    pub states: Vec<DraftState>,
}

/// A draft's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DraftState {
    /// Name of the draft, its kind in front.
    pub name: String,
    /// Number of the change that wrote it.
    pub version: u64,
    /// Who wrote it, none if it does not say.
    pub writer: Option<String>,
    /// Where it stands.
    pub status: DraftStatus,
}

impl From<&CheckError> for Problem {
    fn from(error: &CheckError) -> Self {
        Self {
            object: error.object.to_string(),
            field: error.field.clone(),
            problem: error.problem.to_string(),
            remedy: error.remedy.clone(),
        }
    }
}

/// The answer to a set that the check refuses.
#[must_use]
pub fn refusal(errors: &[CheckError]) -> Failure {
    let problems: Vec<Problem> = errors.iter().map(Problem::from).collect();
    Failure {
        kind: ErrorKind::Invalid,
        message: format!(
            "the set of documents has {} problems; nothing was changed",
            problems.len()
        ),
        problems,
    }
}
