//! An in-memory platform that keeps the history of all its states, for stale reads and for checks.

use std::collections::BTreeMap;

use citronhollow_core::publisher::{Answer, Call, Index, Key, Kind, Listing, Object, Parts};
use serde_json::Value;

/// All objects at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub last: u64,
    objects: BTreeMap<Key, Object>,
    latest: BTreeMap<Kind, u64>,
}

impl Snapshot {
    pub fn get(&self, key: &Key) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the number of the latest change to an object of the kind.
    pub fn version(&self, kind: Kind) -> u64 {
        self.latest.get(&kind).copied().unwrap_or(0)
    }

    pub fn list(&self, kind: Kind) -> Listing {
        let objects = self.objects.iter().filter(|(key, _)| key.kind == kind);
        Listing {
            version: self.version(kind),
            objects: objects.map(|(_, object)| object.clone()).collect(),
        }
    }

    pub fn index(&self) -> Option<(u64, Index)> {
        let object = self.get(&Key::singleton(Kind::Published))?;
        let index = serde_json::from_value(object.value.clone()).expect("an index");
        Some((object.version, index))
    }

    pub fn parts(&self) -> Parts {
        let parts = self.list(Kind::Part).objects.into_iter();
        parts
            .map(|object| {
                (
                    object.name,
                    serde_json::from_value(object.value).expect("a part"),
                )
            })
            .collect()
    }

    fn version_of(&self, key: &Key) -> u64 {
        self.get(key).map_or(0, |object| object.version)
    }

    fn read(&self, call: &Call) -> Option<Answer> {
        match call {
            Call::Get(key) => Some(Answer::Object(self.get(key).cloned())),
            Call::List(kind) => Some(Answer::Listing(self.list(*kind))),
            Call::Put { .. } | Call::Delete { .. } => None,
        }
    }

    fn change(&mut self, key: &Key, value: Option<Value>) -> u64 {
        self.last += 1;
        self.latest.insert(key.kind, self.last);
        match value {
            Some(value) => {
                let object = Object {
                    name: key.name.clone(),
                    version: self.last,
                    value,
                };
                self.objects.insert(key.clone(), object);
            }
            None => {
                self.objects.remove(key);
            }
        }
        self.last
    }
}

#[derive(Debug)]
pub struct Store {
    pub history: Vec<Snapshot>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            history: vec![Snapshot::default()],
        }
    }
}

impl Store {
    pub fn now(&self) -> &Snapshot {
        self.history.last().expect("a state")
    }

    pub fn run(&mut self, call: &Call) -> Answer {
        if let Some(answer) = self.now().read(call) {
            return answer;
        }
        let (key, if_version, value) = match call {
            Call::Put {
                key,
                if_version,
                value,
            } => (key, *if_version, Some(value.clone())),
            Call::Delete { key, if_version } => (key, *if_version, None),
            Call::Get(_) | Call::List(_) => unreachable!("reads are answered above"),
        };
        let mut next = self.now().clone();
        let version = next.version_of(key);
        if version != if_version || (value.is_none() && version == 0) {
            return Answer::Conflict { version };
        }
        let version = next.change(key, value);
        self.history.push(next);
        Answer::Written { version }
    }

    /// Runs a call. A read returns the state of `back` changes ago.
    pub fn run_stale(&mut self, call: &Call, back: usize) -> Answer {
        let position = self.history.len().saturating_sub(1 + back);
        match self.history[position].read(call) {
            Some(answer) => answer,
            None => self.run(call),
        }
    }
}
