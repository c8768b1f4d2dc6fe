//! Reads the published set of documents.

use citronhollow_core::config::Revision;
use citronhollow_core::publisher::{Index, Kind, LoadError, Parts, SINGLETON_NAME};
use thiserror::Error;

use crate::client::{Client, decode};
use crate::error::PlatformError;

/// Error of reading the published set. The last good revision stays in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadError {
    /// A call failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The parts do not form the set that the index describes.
    #[error("{0}")]
    Load(#[from] LoadError),
}

/// Assembles published sets, and caches the parts of the last one.
#[derive(Clone, Debug, Default)]
pub struct PublishedReader {
    parts: Parts,
}

impl PublishedReader {
    /// Loads the revision of an index, reading only parts that are not cached.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if a part cannot be read or does not match the index.
    pub async fn load(&mut self, client: &Client, index: &Index) -> Result<Revision, ReadError> {
        let names = index.part_names();
        self.parts.retain(|name, _| names.contains(name));
        let kind = Kind::Part.to_string();
        for name in names {
            if self.parts.contains_key(name) {
                continue;
            }
            let Some(object) = client.get(&kind, name).await? else {
                return Err(LoadError::Missing(name.clone()).into());
            };
            let part = decode(&kind, name, object.value)?;
            self.parts.insert(name.clone(), part);
        }
        let revision = index.assemble(&self.parts);
        if revision.is_err() {
            self.parts.clear();
        }
        Ok(revision?)
    }
}

/// Reads the index, `None` before the first publication.
///
/// # Errors
///
/// [`PlatformError`] if it cannot be read.
pub async fn read_index(client: &Client) -> Result<Option<Index>, PlatformError> {
    let kind = Kind::Published.to_string();
    let object = client.get(&kind, SINGLETON_NAME).await?;
    object
        .map(|object| decode(&kind, SINGLETON_NAME, object.value))
        .transpose()
}

/// Reads the revision in force, number zero before the first publication.
///
/// # Errors
///
/// [`ReadError`] if it cannot be read.
pub async fn read_published(client: &Client) -> Result<Revision, ReadError> {
    match read_index(client).await? {
        Some(index) => PublishedReader::default().load(client, &index).await,
        None => Ok(Revision::default()),
    }
}
