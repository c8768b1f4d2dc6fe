//! In-memory objects and their change history.

use std::collections::{BTreeMap, VecDeque};

use citronhollow_platform::protocol::{Change, Changes, Mismatch, Written};
use citronhollow_platform::{Listing, Object};
use serde_json::Value;

/// Number of changes kept for watches.
const HISTORY: usize = 1_000;

type Name = (String, String);

/// Objects of all kinds and their recent changes, numbered over all kinds.
#[derive(Clone, Debug, Default)]
pub struct Store {
    last_version: u64,
    objects: BTreeMap<Name, Object>,
    latest_of_kind: BTreeMap<String, u64>,
    history: VecDeque<(String, Change)>,
    dropped_version: u64,
}

impl Store {
    /// Returns one object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&key(kind, name))
    }

    /// Returns the objects of a kind whose names start with `prefix`.
    #[must_use]
    pub fn list(&self, kind: &str, prefix: &str) -> Listing {
        let objects = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect();
        Listing {
            version: self.version_of(kind),
            objects,
        }
    }

    /// Writes an object if its version is `if_version`, where zero means that it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if it has another version.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        if_version: u64,
        value: Value,
    ) -> Result<Written, Mismatch> {
        self.expect_version(kind, name, if_version)?;
        let version = self.record(kind, name, Some(value.clone()));
        let object = Object {
            name: String::from(name),
            version,
            value,
        };
        self.objects.insert(key(kind, name), object);
        Ok(Written { version })
    }

    /// Removes an object if its version is `if_version`.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if it has another version.
    pub fn delete(&mut self, kind: &str, name: &str, if_version: u64) -> Result<Written, Mismatch> {
        self.expect_version(kind, name, if_version)?;
        if if_version == 0 {
            return Err(Mismatch { version: 0 });
        }
        self.objects.remove(&key(kind, name));
        let version = self.record(kind, name, None);
        Ok(Written { version })
    }

    /// Latest change of each object of a kind after a version, or `None` if the history does not go
    /// back that far.
    #[must_use]
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after < self.dropped_version {
            return None;
        }
        let mut latest: BTreeMap<&str, &Change> = BTreeMap::new();
        for (of, change) in &self.history {
            if of == kind && change.version > after {
                latest.insert(&change.name, change);
            }
        }
        let mut changes: Vec<Change> = latest.into_values().cloned().collect();
        changes.sort_unstable_by_key(|change| change.version);
        let version = self.version_of(kind).max(after);
        Some(Changes { version, changes })
    }

    fn version_of(&self, kind: &str) -> u64 {
        self.latest_of_kind.get(kind).copied().unwrap_or(0)
    }

    fn expect_version(&self, kind: &str, name: &str, expected: u64) -> Result<(), Mismatch> {
        let version = self.get(kind, name).map_or(0, |object| object.version);
        if version == expected {
            Ok(())
        } else {
            Err(Mismatch { version })
        }
    }

    fn record(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        self.last_version += 1;
        self.latest_of_kind
            .insert(String::from(kind), self.last_version);
        let change = Change {
            name: String::from(name),
            version: self.last_version,
            value,
        };
        self.history.push_back((String::from(kind), change));
        if self.history.len() > HISTORY
            && let Some((_, oldest)) = self.history.pop_front()
        {
            self.dropped_version = oldest.version;
        }
        self.last_version
    }
}

fn key(kind: &str, name: &str) -> Name {
    (String::from(kind), String::from(name))
}
