//! Writing and removing the parts of a large set.
//!
//! A part that exists already is rewritten on condition of its version, which gives it a new one. A
//! delayed removal by a former lease holder is conditional on the old version and then fails. A
//! sweep removes only parts that are older than the index on which it is based, so that the sweep
//! of a former holder does not remove parts that its successor has written since.

use crate::config::Documents;
use crate::publisher::index::Parts;
use crate::publisher::objects::{Answer, Call, Key, Kind};

/// Writes parts one after another.
#[derive(Clone, Debug)]
pub(super) struct PartWriter {
    remaining: Vec<(String, Documents)>,
    if_version: u64,
}

impl PartWriter {
    pub(super) fn new(parts: Parts) -> Self {
        Self {
            remaining: parts.into_iter().collect(),
            if_version: 0,
        }
    }

    pub(super) const fn is_done(&self) -> bool {
        self.remaining.is_empty()
    }

    pub(super) fn call(&self) -> Call {
        let (name, part) = self.remaining.last().cloned().unwrap_or_default();
        Call::Put {
            key: Key::named(Kind::Part, name),
            if_version: self.if_version,
            value: super::to_value(&part),
        }
    }

    /// Handles the answer to the last call. Returns whether the next call may be made without
    /// delay.
    pub(super) fn on_answer(&mut self, answer: &Answer) -> bool {
        match answer {
            Answer::Written { .. } => {
                self.remaining.pop();
                self.if_version = 0;
                true
            }
            Answer::Conflict { version } => {
                self.if_version = *version;
                true
            }
            // If the write did take effect, the retry is answered with a conflict.
            _ => false,
        }
    }
}

/// Removes parts that the index does not refer to.
#[derive(Clone, Debug)]
pub(super) struct Sweep {
    kept: Vec<String>,
    index_version: u64,
    unused: Option<Vec<(String, u64)>>,
}

impl Sweep {
    pub(super) const fn new(kept: Vec<String>, index_version: u64) -> Self {
        Self {
            kept,
            index_version,
            unused: None,
        }
    }

    pub(super) fn call(&self) -> Call {
        match self.unused.as_ref().and_then(|unused| unused.last()) {
            Some((name, if_version)) => Call::Delete {
                key: Key::named(Kind::Part, name.clone()),
                if_version: *if_version,
            },
            None => Call::List(Kind::Part),
        }
    }

    /// Handles the answer to the last call. Returns the remaining work, `None` if there is none or
    /// if a call failed. What was not removed is left to the next sweep.
    pub(super) fn on_answer(mut self, answer: Answer) -> Option<Self> {
        match (answer, &mut self.unused) {
            (Answer::Listing(listing), None) => {
                let unused = listing
                    .objects
                    .into_iter()
                    .filter(|part| part.version < self.index_version)
                    .filter(|part| !self.kept.contains(&part.name))
                    .map(|part| (part.name, part.version));
                self.unused = Some(unused.collect());
            }
            (Answer::Written { .. } | Answer::Conflict { .. }, Some(unused)) => {
                unused.pop();
            }
            _ => return None,
        }
        let has_more = self
            .unused
            .as_ref()
            .is_some_and(|unused| !unused.is_empty());
        has_more.then_some(self)
    }
}
