//! The published set at the platform.
//!
//! One index object names the whole revision. A set of up to [`MAX_INLINE_BYTES`] stands in the
//! index itself, so that a watch on the index delivers it without another call. A larger set is
//! split: each service goes with its rules to the part chosen by the hash of the service's name,
//! each pool to the part chosen by the hash of its own, and the number of parts is doubled until
//! each fits. A part object is named by the hash of its content and never changes. The parts are
//! written first and the index last and conditionally, so that no reader ever sees half a set; a
//! change to one service writes one part anew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

use super::write::Stamp;
use crate::config::{Documents, HeldAddress, Revision};
use crate::hash;

/// Largest set that stands in the index, and largest part, in bytes of JSON.
pub const MAX_INLINE_BYTES: usize = 400_000;

/// Most parts; a set that needs more is refused.
pub const MAX_PARTS: u64 = 1_024;

const PART_SEED: u64 = 0x7061_7274;

/// An address that a service released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// The address and its former owner.
    pub held: HeldAddress,
    /// First revision without it. The reservation ends once every process reports this one.
    pub released_in: u64,
}

/// Where the documents are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// Here.
    Inline(Documents),
    /// In the parts of these names.
    Parts(Vec<String>),
}

impl Default for Content {
    fn default() -> Self {
        Self::Inline(Documents::default())
    }
}

/// What the index object holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// Who wrote it.
    pub stamp: Stamp,
    /// Epoch of the writer's lease.
    pub epoch: u64,
    /// Number of the revision, zero before the first.
    pub number: u64,
    /// Every change of a draft up to this version stands in the revision.
    pub drafts_version: u64,
    /// Version of each draft that stands in the revision, by the draft's name.
    pub drafts: BTreeMap<String, u64>,
    /// Addresses that some process may still know as another service's.
    pub reserved: Vec<Reservation>,
    /// The documents.
    pub content: Content,
}

/// Why a published set cannot be taken over.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LoadError {
    /// A part is not there.
    #[error("published set: part {0} is missing; read the index again")]
    Missing(String),
    /// A part is not what its name says.
    #[error("published set: part {0} has other content than its name says; publish again")]
    Damaged(String),
}

/// A set that does not fit into the platform.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("documents: the set needs more than {MAX_PARTS} parts; remove documents")]
pub struct TooLarge;

/// Parts by name.
pub type Parts = BTreeMap<String, Documents>;

impl Index {
    /// Names of the parts that the index needs.
    #[must_use]
    pub fn part_names(&self) -> &[String] {
        match &self.content {
            Content::Inline(_) => &[],
            Content::Parts(names) => names,
        }
    }

    /// The revision, put together out of the parts.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if a part is missing or damaged. Nothing of the set is usable then.
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

/// Where the documents go, and the parts that must be written first.
///
/// # Errors
///
/// [`TooLarge`] if the set does not fit.
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

/// Name of a part: the hash of its content.
#[must_use]
pub fn part_name(part: &Documents) -> String {
    format!("{:032x}", xxh3_128(&to_json(part)))
}

fn split_into(documents: &Documents, count: u64) -> Vec<Documents> {
    let mut parts = Vec::new();
    parts.resize_with(usize::try_from(count).unwrap_or(0), Documents::default);
    let place = |name: &str| {
        let place = hash::bytes(name.as_bytes(), PART_SEED) % count;
        usize::try_from(place).unwrap_or(0)
    };
    for service in &documents.services {
        parts[place(&service.name)].services.push(service.clone());
    }
    for rule in &documents.rules {
        parts[place(&rule.service)].rules.push(rule.clone());
    }
    for pool in &documents.pools {
        parts[place(&pool.name)].pools.push(pool.clone());
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
