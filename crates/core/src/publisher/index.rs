//! Storage format of the published documents at the platform.
//!
//! One index object describes the whole revision. Documents of up to [`MAX_INLINE_BYTES`] are
//! stored in the index itself, so that a watch on the index delivers them without another call.
//! Larger sets are split: a service and its rules go to the part selected by the hash of the
//! service's name, a pool to the part selected by the hash of its own name, and the number of parts
//! is doubled until each part fits. A part object is named by the hash of its content and never
//! changes. The parts are written first and the index last, with a conditional write, so that a
//! reader never sees an incomplete set. A change to one service rewrites one part.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

use super::write::Stamp;
use crate::config::{Documents, HeldAddress, Revision};
use crate::hash;

/// Maximum size of documents stored in the index, and of a part, in bytes of JSON.
pub const MAX_INLINE_BYTES: usize = 400_000;

/// Maximum number of parts. A set that needs more is refused.
pub const MAX_PARTS: u64 = 1_024;

const PART_SEED: u64 = 0x7061_7274;

/// An address that a service released, and that no other service may use yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// The address and its former owner.
    pub held: HeldAddress,
    /// First revision in which the service no longer has the address. The reservation ends when
    /// every process reports this revision or a later one.
    pub released_in: u64,
}

/// Location of the published documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// In the index itself.
    Inline(Documents),
    /// In the parts with these names.
    Parts(Vec<String>),
}

impl Default for Content {
    fn default() -> Self {
        Self::Inline(Documents::default())
    }
}

/// Content of the index object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// Stamp of the write.
    pub stamp: Stamp,
    /// Epoch of the writer's lease.
    pub epoch: u64,
    /// Number of the revision, zero before the first one.
    pub number: u64,
    /// Version of the drafts: the revision includes every change to a draft up to this version.
    pub drafts_version: u64,
    /// Version of each draft in the revision, by the draft's name.
    pub drafts: BTreeMap<String, u64>,
    /// Released addresses that may still belong to their former service in some processes.
    pub reserved: Vec<Reservation>,
    /// The documents, or the names of their parts.
    pub content: Content,
}

/// Error in loading the published documents.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LoadError {
    /// A part does not exist.
    #[error("published set: part {0} is missing; read the index again")]
    Missing(String),
    /// The content of a part does not match the hash in its name.
    #[error(
        "published set: part {0} is damaged, its content does not match its name; publish again"
    )]
    Damaged(String),
}

/// Error for a set that does not fit into [`MAX_PARTS`] parts.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("documents: the set needs more than {MAX_PARTS} parts; remove documents")]
pub struct TooLarge;

/// Parts by name.
pub type Parts = BTreeMap<String, Documents>;

impl Index {
    /// Returns the names of the parts that the index refers to.
    #[must_use]
    pub fn part_names(&self) -> &[String] {
        match &self.content {
            Content::Inline(_) => &[],
            Content::Parts(names) => names,
        }
    }

    /// Assembles the revision from the index and its parts.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if a part is missing or damaged. The whole set is unusable then.
    pub fn assemble(&self, parts: &Parts) -> Result<Revision, LoadError> {
        let documents = match &self.content {
            Content::Inline(documents) => documents.clone(),
            Content::Parts(names) => join(names, parts)?,
        };
        Ok(Revision {
            number: self.number,
            epoch: self.epoch,
            documents,
        })
    }
}

/// Splits the documents into the content of the index and the parts, which must be written first.
///
/// # Errors
///
/// [`TooLarge`] if the set needs more than [`MAX_PARTS`] parts of `max_bytes`.
pub fn split(documents: &Documents, max_bytes: usize) -> Result<(Content, Parts), TooLarge> {
    if size_of(documents) <= max_bytes {
        return Ok((Content::Inline(documents.clone()), Parts::new()));
    }
    let mut count = 2;
    while count <= MAX_PARTS {
        let parts = split_into(documents, count);
        if parts.iter().all(|part| size_of(part) <= max_bytes) {
            let parts: Parts = parts
                .into_iter()
                .filter(|part| *part != Documents::default())
                .map(|part| (part_name(&part), part))
                .collect();
            let names = parts.keys().cloned().collect();
            return Ok((Content::Parts(names), parts));
        }
        count *= 2;
    }
    Err(TooLarge)
}

/// Returns the name of a part: the hash of its content.
#[must_use]
pub fn part_name(part: &Documents) -> String {
    format!("{:032x}", xxh3_128(&to_json(part)))
}

fn split_into(documents: &Documents, count: u64) -> Vec<Documents> {
    let mut parts = Vec::new();
    parts.resize_with(usize::try_from(count).unwrap_or(0), Documents::default);
    let part_index = |name: &str| {
        let part_index = hash::bytes(name.as_bytes(), PART_SEED) % count;
        usize::try_from(part_index).unwrap_or(0)
    };
    for service in &documents.services {
        parts[part_index(&service.name)]
            .services
            .push(service.clone());
    }
    for rule in &documents.rules {
        parts[part_index(&rule.service)].rules.push(rule.clone());
    }
    for pool in &documents.pools {
        parts[part_index(&pool.name)].pools.push(pool.clone());
    }
    parts
}

fn join(names: &[String], parts: &Parts) -> Result<Documents, LoadError> {
    let mut whole = Documents::default();
    for name in names {
        let part = parts
            .get(name)
            .ok_or_else(|| LoadError::Missing(name.clone()))?;
        if part_name(part) != *name {
            return Err(LoadError::Damaged(name.clone()));
        }
        whole.services.extend_from_slice(&part.services);
        whole.pools.extend_from_slice(&part.pools);
        whole.rules.extend_from_slice(&part.rules);
    }
    whole.sort();
    Ok(whole)
}

fn size_of(documents: &Documents) -> usize {
    to_json(documents).len()
}

fn to_json(documents: &Documents) -> Vec<u8> {
    serde_json::to_vec(documents).unwrap_or_default()
}
