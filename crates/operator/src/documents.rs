//! HTTP messages for operations on documents.
//!
//! Operators edit drafts, one for each document. The drafts are published as a revision only
//! together, after a check of the whole set. An apply therefore distinguishes the changes it would
//! make, the drafts it has written, and, later, the publishing state of each change.

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
    /// Documents.
    pub documents: Documents,
    /// Whether to remove drafts that are not among the documents.
    pub prune: bool,
    /// Whether to only report the changes without writing them.
    pub dry_run: bool,
    /// Version of the drafts on which the changes are based; a later change is then a conflict.
    /// None to apply without this check.
    pub base: Option<u64>,
    /// Name of the operator, reported to others whose changes conflict.
    pub operator: String,
}

/// Result of an apply.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Differences from the drafts before the apply.
    pub changes: Vec<Change>,
    /// Outcome for each draft, empty in a dry run.
    pub drafts: Vec<AppliedDraft>,
}

/// Outcome of an apply for one draft.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppliedDraft {
    /// Name of the draft, prefixed with its kind.
    pub name: String,
    /// Outcome.
    pub outcome: String,
    /// Reason for which the draft was not written, none if it was written or unchanged.
    pub failure: Option<ErrorKind>,
    /// Change, none if nothing changed or its version is unknown.
    pub change: Option<DraftChange>,
}

/// Current drafts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Drafts {
    /// Version of the latest change to any draft.
    pub version: u64,
    /// Documents in the drafts.
    pub documents: Documents,
    /// State of each draft.
    pub states: Vec<DraftState>,
}

/// State of a draft.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DraftState {
    /// Name of the draft, prefixed with its kind.
    pub name: String,
    /// Version of the change that wrote it.
    pub version: u64,
    /// Operator who wrote it, none if not recorded.
    pub writer: Option<String>,
    /// Publishing state.
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

/// Failure for a set of documents that fails the check.
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
