//! What operators do with drafts.
//!
//! Each document is one draft object, written on condition of the version that was read. Every
//! write gets a true answer: it took effect as a version, somebody else came first, it was not
//! run, or its outcome could not be found out before the platform went away.

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

/// Time between two tries at a write.
const RETRY_AFTER: Millis = Millis(200);
/// Tries after which the outcome of a write is given up.
const MAX_TRIES: u32 = 10;
/// Time between two looks at a status.
const POLL_EVERY: Millis = Millis(250);

/// Why drafts were not applied or read.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DraftsError {
    /// Names without the shape of one, which cannot name objects. Nothing was written.
    #[error("documents: {} names are invalid; nothing was written", .0.len())]
    Names(Vec<CheckError>),
    /// The drafts at the platform do not parse.
    #[error("drafts: {} do not parse", .0.len())]
    Unparsable(Vec<CheckError>),
    /// The platform could not be asked.
    #[error("{0}")]
    Platform(#[from] PlatformError),
}

/// What became of one draft.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// It already was as it should be.
    #[display("unchanged")]
    Unchanged,
    /// It was written.
    #[display("written as version {version}")]
    Written {
        /// Number of the change.
        version: u64,
    },
    /// It was removed.
    #[display("removed as version {version}")]
    Removed {
        /// Number of the change, zero if the answer was lost and the draft is seen to be gone.
        version: u64,
    },
    /// Somebody else changed it first. Nothing was written.
    #[display("conflict: {writer} wrote version {version} first; read it and apply again")]
    Conflict {
        /// Who, as far as the draft says.
        writer: String,
        /// The version that it has now, zero if it was removed.
        version: u64,
    },
    /// Nothing was written, because the platform is down or busy.
    #[display("not run: the platform is down or busy; apply again later")]
    NotRun,
    /// Whether it was written could not be found out.
    #[display("unknown: the platform stopped answering; apply again to find out")]
    Unknown,
    /// The platform does not take the draft.
    #[display("refused: the draft is too large; shorten it")]
    Refused,
}

/// One draft of an apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Name of the draft object.
    pub name: String,
    /// What became of it.
    pub outcome: Outcome,
}

impl Applied {
    /// The change that was made, if there was one whose version is known.
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

/// A draft at the platform and its state.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftState {
    /// Name of the draft object.
    pub name: String,
    /// Number of the change that wrote it.
    pub version: u64,
    /// Who wrote it, if it parses.
    pub writer: Option<String>,
    /// Where it stands.
    pub status: DraftStatus,
}

/// The set that the drafts make.
///
/// # Errors
///
/// [`DraftsError`] if it cannot be read.
pub async fn read_drafts(client: &Client) -> Result<Documents, DraftsError> {
    let listing = list(client).await?;
    documents_of(&listing).map_err(DraftsError::Unparsable)
}

/// Writes every document of the set that differs from its draft. With `prune`, the drafts that the
/// set does not have are removed.
///
/// `writer` must be unique for each run of a command, so that its writes can be recognised.
///
/// # Errors
///
/// [`DraftsError`] if nothing was written at all.
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

/// The same as [`apply`] for drafts that were listed before. A draft that was changed since is a
/// conflict.
///
/// # Errors
///
/// [`DraftsError`] if nothing was written at all.
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

/// Rules before services, services before pools: nothing is removed that something refers to.
fn in_removal_order<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<&'a Object> {
    const KINDS: [DocumentKind; 3] = [
        DocumentKind::Rule,
        DocumentKind::Service,
        DocumentKind::Pool,
    ];
    let place = |object: &&Object| {
        let is_of = |kind: &DocumentKind| object.name.starts_with(&format!("{kind}."));
        KINDS.iter().position(is_of)
    };
    let mut objects: Vec<&Object> = objects.collect();
    objects.sort_by_key(place);
    objects
}

/// Every draft with its state.
///
/// # Errors
///
/// [`DraftsError`] if it cannot be read.
pub async fn read_statuses(client: &Client) -> Result<Vec<DraftState>, DraftsError> {
    let listing = list(client).await?;
    let check_results = CheckResults::read(client).await?;
    Ok(check_results.states_of(&listing))
}

/// What the publisher last said.
#[derive(Clone, Debug, Default)]
pub struct CheckResults {
    /// The index of the published set, none before the first.
    pub index: Option<Index>,
    /// What the last check refused, none if nothing yet.
    pub report: Option<Report>,
}

impl CheckResults {
    /// Reads both.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if one cannot be read.
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

    /// State of a change.
    #[must_use]
    pub fn status_of(&self, change: &DraftChange) -> DraftStatus {
        draft_status(change, self.index.as_ref(), self.report.as_ref())
    }

    /// State of every draft of a listing.
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

/// State of one change.
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

/// State of one change once the publisher has judged it, or [`DraftStatus::Pending`] after `limit`.
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

/// Names become names of objects, so a bad one must not get as far as the platform.
fn check_names(documents: &Documents) -> Result<(), DraftsError> {
    let errors = config::check_names(documents);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(DraftsError::Names(errors))
    }
}

/// The drafts as they stand at one moment.
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
