//! Objects and their changes in memory.

use std::collections::{BTreeMap, VecDeque};

use citronhollow_platform::protocol::{Change, Changes, Mismatch, Written};
use citronhollow_platform::{Listing, Object};
use serde_json::Value;

/// Changes that a watch can go back.
const HISTORY: usize = 1_000;

type Name = (String, String);

/// Objects of all kinds, numbered changes, and the recent ones of them.
#[derive(Clone, Debug, Default)]
pub struct Store {
    last: u64,
    objects: BTreeMap<Name, Object>,
    latest_of_kind: BTreeMap<String, u64>,
    history: VecDeque<(String, Change)>,
    forgotten: u64,
}

impl Store {
    /// Reads one object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&key(kind, name))
    }

    /// Reads the objects of a kind whose names begin with `prefix`.
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

    /// Writes an object if it has the version.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if it has another one.
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

    /// Removes an object if it has the version.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if it has another one.
    pub fn delete(&mut self, kind: &str, name: &str, if_version: u64) -> Result<Written, Mismatch> {
        self.expect_version(kind, name, if_version)?;
        if if_version == 0 {
            return Err(Mismatch { version: 0 });
        }
        self.objects.remove(&key(kind, name));
        let version = self.record(kind, name, None);
        Ok(Written { version })
    }

    /// Changes of a kind after a version, none if they are no longer remembered.
    #[must_use]
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after < self.forgotten {
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
        self.last += 1;
        self.latest_of_kind.insert(String::from(kind), self.last);
        let change = Change {
            name: String::from(name),
            version: self.last,
            value,
        };
        self.history.push_back((String::from(kind), change));
        if self.history.len() > HISTORY
            && let Some((_, oldest)) = self.history.pop_front()
        {
            self.forgotten = oldest.version;
        }
        self.last
    }
}

fn key(kind: &str, name: &str) -> Name {
    (String::from(kind), String::from(name))
}
