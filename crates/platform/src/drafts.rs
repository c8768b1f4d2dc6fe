//! Operations on drafts: apply, list and status.
//!
//! Each document is one draft object, written with a compare-and-set on the version that was read.
//! Every write has a definite outcome: it took effect as a version, another writer changed the
//! draft first, it was not run, or its result could not be determined before the platform became
//! unavailable.

use std::collections::BTreeMap;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{self, CheckError, DocumentKind, Documents};
use citronhollow_core::publisher::{
    Answer, Call, Document, Draft, DraftChange, DraftStatus, Index, Key, Kind, Listing, Object,
    Report, SINGLETON_NAME, Stamp, Step, Write, documents_of, draft_status, stamp_of,
};
use derive_more::Display;
use thiserror::Error;

use crate::client::{Client, decode};
use crate::error::PlatformError;
use crate::published::read_index;

/// Delay between two attempts at a write.
const RETRY_AFTER: Millis = Millis(200);
/// Attempts after which the outcome of a write is reported as unknown or not run.
const MAX_TRIES: u32 = 10;
/// Interval of polling a status.
const POLL_EVERY: Millis = Millis(250);

/// Why drafts were not applied or read.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DraftsError {
    /// Invalid document names, which cannot be used as object names. Nothing was written.
    #[error("documents: {} names are invalid; nothing was written", .0.len())]
    Names(Vec<CheckError>),
    /// Drafts in the platform's store do not parse.
    #[error("drafts: {} do not parse", .0.len())]
    Unparsable(Vec<CheckError>),
    /// A call failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
}

/// Outcome of writing or removing one draft.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// The draft already had this content.
    #[display("unchanged")]
    Unchanged,
    /// The draft was written.
    #[display("written as version {version}")]
    Written {
        /// Number of the change.
        version: u64,
    },
    /// The draft was removed.
    #[display("removed as version {version}")]
    Removed {
        /// Number of the change, zero if the answer was lost and the draft was then found missing.
        version: u64,
    },
    /// Another writer changed the draft first. Nothing was written.
    #[display("conflict: {writer} wrote version {version} first; read it and apply again")]
    Conflict {
        /// Writer of the draft's current version, `somebody` if it is not known.
        writer: String,
        /// Current version of the draft, zero if it was removed.
        version: u64,
    },
    /// Nothing was written, because the platform is unavailable or overloaded.
    #[display("not run: the platform is down or busy; apply again later")]
    NotRun,
    /// Whether the draft was written could not be determined.
    #[display("unknown: the platform stopped answering; apply again to find out")]
    Unknown,
    /// The platform does not accept the draft.
    #[display("refused: the draft is too large; shorten it")]
    Refused,
}

/// Result of an apply for one draft.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Name of the draft object.
    pub name: String,
    /// Its outcome.
    pub outcome: Outcome,
}

impl Applied {
    /// Change that was made, `None` if there was none or its version is unknown.
    #[must_use]
    pub fn change(&self) -> Option<DraftChange> {
        let (version, is_removal) = match self.outcome {
            Outcome::Written { version } => (version, false),
            Outcome::Removed { version } if version > 0 => (version, true),
            _ => return None,
        };
        Some(DraftChange {
            name: self.name.clone(),
            version,
            is_removal,
        })
    }
}

/// A stored draft and its status.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftState {
    /// Name of the draft object.
    pub name: String,
    /// Number of the change that wrote it.
    pub version: u64,
    /// Its writer, if the draft parses.
    pub writer: Option<String>,
    /// Whether it is pending, published or refused.
    pub status: DraftStatus,
}

/// Reads all drafts as one set of documents.
///
/// # Errors
///
/// [`DraftsError`] if the drafts cannot be read or do not parse.
pub async fn read_drafts(client: &Client) -> Result<Documents, DraftsError> {
    let listing = list(client).await?;
    documents_of(&listing).map_err(DraftsError::Unparsable)
}

/// Writes every document that differs from its draft. With `prune`, drafts that are not among the
/// documents are removed.
///
/// `writer` must be unique for each run of a command: after a lost answer, a write is identified by
/// its writer and sequence.
///
/// # Errors
///
/// [`DraftsError`] if a name is invalid or the drafts cannot be listed; nothing was written then.
pub async fn apply(
    client: &Client,
    documents: &Documents,
    writer: &str,
    prune: bool,
) -> Result<Vec<Applied>, DraftsError> {
    check_names(documents)?;
    let listing = list(client).await?;
    apply_to(client, &listing, documents, writer, prune).await
}

/// Like [`apply`], against a listing that was read before. A draft that has changed since is a
/// conflict.
///
/// # Errors
///
/// [`DraftsError`] if a name is invalid; nothing was written then.
pub async fn apply_to(
    client: &Client,
    listing: &Listing,
    documents: &Documents,
    writer: &str,
    prune: bool,
) -> Result<Vec<Applied>, DraftsError> {
    check_names(documents)?;
    let current: BTreeMap<&str, &Object> = listing
        .objects
        .iter()
        .map(|object| (object.name.as_str(), object))
        .collect();
    let mut results = Vec::new();
    let mut wanted = Vec::new();
    for (document, sequence) in Document::all_of(documents).zip(1..) {
        let name = document.draft_name();
        let stamp = Stamp {
            writer: String::from(writer),
            sequence,
        };
        let before = current.get(name.as_str()).copied();
        let outcome = apply_document(client, before, document, stamp).await;
        wanted.push(name.clone());
        results.push(Applied { name, outcome });
    }
    if prune {
        let unwanted = listing
            .objects
            .iter()
            .filter(|object| !wanted.contains(&object.name));
        for object in in_removal_order(unwanted) {
            let name = object.name.clone();
            let outcome = remove(client, object).await;
            results.push(Applied { name, outcome });
        }
    }
    Ok(results)
}

/// Rules before services, services before pools, so that no removed draft is still referred to.
fn in_removal_order<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<&'a Object> {
    const KINDS: [DocumentKind; 3] = [
        DocumentKind::Rule,
        DocumentKind::Service,
        DocumentKind::Pool,
    ];
    let rank = |object: &&Object| {
        let is_of = |kind: &DocumentKind| object.name.starts_with(&format!("{kind}."));
        KINDS.iter().position(is_of)
    };
    let mut objects: Vec<&Object> = objects.collect();
    objects.sort_by_key(rank);
    objects
}

/// Reads every draft with its status.
///
/// # Errors
///
/// [`DraftsError`] if it cannot be read.
pub async fn read_statuses(client: &Client) -> Result<Vec<DraftState>, DraftsError> {
    let listing = list(client).await?;
    let check_results = CheckResults::read(client).await?;
    Ok(check_results.states_of(&listing))
}

/// Results of the publisher's last check of the drafts.
#[derive(Clone, Debug, Default)]
pub struct CheckResults {
    /// Index of the published set, `None` before the first publication.
    pub index: Option<Index>,
    /// Report of the refused drafts, `None` before the first one is written.
    pub report: Option<Report>,
}

impl CheckResults {
    /// Reads the index and the report.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if either cannot be read.
    pub async fn read(client: &Client) -> Result<Self, PlatformError> {
        let index = read_index(client).await?;
        let kind = Kind::Report.to_string();
        let report = client.get(&kind, SINGLETON_NAME).await?;
        let report = report.map(|object| decode(&kind, SINGLETON_NAME, object.value));
        Ok(Self {
            index,
            report: report.transpose()?,
        })
    }

    /// Status of a change.
    #[must_use]
    pub fn status_of(&self, change: &DraftChange) -> DraftStatus {
        draft_status(change, self.index.as_ref(), self.report.as_ref())
    }

    /// Status of every draft of a listing.
    #[must_use]
    pub fn states_of(&self, listing: &Listing) -> Vec<DraftState> {
        let states = listing.objects.iter().map(|object| {
            let change = DraftChange {
                name: object.name.clone(),
                version: object.version,
                is_removal: false,
            };
            DraftState {
                status: self.status_of(&change),
                writer: stamp_of(&object.value).map(|stamp| stamp.writer),
                name: change.name,
                version: change.version,
            }
        });
        states.collect()
    }
}

/// Reads the status of one change.
///
/// # Errors
///
/// [`PlatformError`] if it cannot be read.
pub async fn read_status(
    client: &Client,
    change: &DraftChange,
) -> Result<DraftStatus, PlatformError> {
    let check_results = CheckResults::read(client).await?;
    Ok(check_results.status_of(change))
}

/// Waits until the publisher has checked a change and returns its status, or
/// [`DraftStatus::Pending`] after `limit`.
///
/// # Errors
///
/// [`PlatformError`] if the last read failed.
pub async fn await_status(
    client: &Client,
    change: &DraftChange,
    limit: Millis,
) -> Result<DraftStatus, PlatformError> {
    let end = tokio::time::Instant::now() + limit.into();
    loop {
        let status = read_status(client, change).await;
        let is_over = tokio::time::Instant::now() >= end;
        if is_over || matches!(&status, Ok(status) if *status != DraftStatus::Pending) {
            return status;
        }
        tokio::time::sleep(POLL_EVERY.into()).await;
    }
}

/// Rejects invalid names before any call, since document names become object names.
fn check_names(documents: &Documents) -> Result<(), DraftsError> {
    let errors = config::check_names(documents);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(DraftsError::Names(errors))
    }
}

/// Lists all drafts, as a consistent snapshot.
///
/// # Errors
///
/// [`PlatformError`] if they cannot be read.
pub async fn list(client: &Client) -> Result<Listing, PlatformError> {
    client.list(&Kind::Draft.to_string(), "").await
}

async fn apply_document(
    client: &Client,
    before: Option<&Object>,
    document: Document,
    stamp: Stamp,
) -> Outcome {
    let current = before.and_then(|object| {
        let draft: Draft = serde_json::from_value(object.value.clone()).ok()?;
        Some(draft.document)
    });
    if current.as_ref() == Some(&document) {
        return Outcome::Unchanged;
    }
    let key = Key::named(Kind::Draft, document.draft_name());
    let version = before.map_or(0, |object| object.version);
    let draft = Draft {
        stamp: stamp.clone(),
        document,
    };
    match serde_json::to_value(draft) {
        Ok(value) => write(client, Write::new(key, version, value, stamp)).await,
        Err(_) => Outcome::Refused,
    }
}

async fn write(client: &Client, mut write: Write) -> Outcome {
    let mut was_run = false;
    for _ in 0..MAX_TRIES {
        let call = write.call();
        let is_put = matches!(call, Call::Put { .. });
        let answer = client.run(call).await;
        was_run |= is_put && answer != Answer::NotRun;
        match write.on_answer(answer) {
            Step::Done { version } => return Outcome::Written { version },
            Step::Overtaken(object) => return conflict(object),
            Step::Refused => return Outcome::Refused,
            Step::Next => {}
            Step::Wait => tokio::time::sleep(RETRY_AFTER.into()).await,
        }
    }
    if was_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

async fn remove(client: &Client, object: &Object) -> Outcome {
    let key = Key::named(Kind::Draft, object.name.clone());
    let delete = Call::Delete {
        key: key.clone(),
        if_version: object.version,
    };
    let mut was_lost = false;
    for _ in 0..MAX_TRIES {
        match client.run(delete.clone()).await {
            Answer::Written { version } => return Outcome::Removed { version },
            Answer::Conflict { .. } => match client.run(Call::Get(key.clone())).await {
                Answer::Object(None) if was_lost => return Outcome::Removed { version: 0 },
                Answer::Object(Some(found)) if found.version <= object.version => {}
                Answer::Object(found) => return conflict(found),
                _ => {}
            },
            Answer::Lost => was_lost = true,
            _ => {}
        }
        tokio::time::sleep(RETRY_AFTER.into()).await;
    }
    if was_lost {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

fn conflict(object: Option<Object>) -> Outcome {
    let stamp = object.as_ref().and_then(|object| stamp_of(&object.value));
    Outcome::Conflict {
        writer: stamp.map_or_else(|| String::from("somebody"), |stamp| stamp.writer),
        version: object.map_or(0, |object| object.version),
    }
}
