//! A conditional write that determines its outcome even if answers are lost.
//!
//! If the answer is lost or reports a conflict, the object is read back, and the write is
//! recognized by the stamp in the value. A read that returns the old version proves nothing, since
//! the write may still be in flight or the read may be stale. The same write is then retried under
//! the same condition, so that at most one of the attempts takes effect, and the stamp identifies
//! it either way.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::objects::{Answer, Call, Key, Object};

/// Number of answers after which the write gives up with an unknown outcome. The caller then reads
/// the object again.
const MAX_ATTEMPTS: u32 = 16;

/// Identity of the write of a value.
#[derive(Clone, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{writer} #{sequence}")]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Name of the writer, unique for each run of a process.
    pub writer: String,
    /// Number that increases with every write of that run.
    pub sequence: u64,
}

/// Returns the stamp of a value, if it has one.
#[must_use]
pub fn stamp_of(value: &Value) -> Option<Stamp> {
    let stamp = value.get("stamp")?;
    serde_json::from_value(stamp.clone()).ok()
}

/// A write in progress.
#[derive(Clone, Debug)]
pub struct Write {
    key: Key,
    if_version: u64,
    value: Value,
    stamp: Stamp,
    is_reading_back: bool,
    attempts: u32,
}

/// Next step of a write after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The write took effect as this version.
    Done {
        /// Number of the change.
        version: u64,
    },
    /// Another write came first, or the outcome is unknown. Has the object that was read back, if
    /// any.
    Overtaken(Option<Object>),
    /// Make the next [`Write::call`] without delay.
    Next,
    /// Make the next [`Write::call`] after a delay.
    Wait,
    /// The platform does not accept the value, so a retry is useless.
    Refused,
}

impl Write {
    /// Creates a write of a value that contains `stamp`, to an object that has version
    /// `if_version`.
    #[must_use]
    pub const fn new(key: Key, if_version: u64, value: Value, stamp: Stamp) -> Self {
        Self {
            key,
            if_version,
            value,
            stamp,
            is_reading_back: false,
            attempts: 0,
        }
    }

    /// Returns the call to make next.
    #[must_use]
    pub fn call(&self) -> Call {
        if self.is_reading_back {
            return Call::Get(self.key.clone());
        }
        Call::Put {
            key: self.key.clone(),
            if_version: self.if_version,
            value: self.value.clone(),
        }
    }

    /// Handles the answer to the last [`Self::call`].
    #[must_use]
    pub fn on_answer(&mut self, answer: Answer) -> Step {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return Step::Overtaken(None);
        }
        match answer {
            Answer::Written { version } => Step::Done { version },
            // Versions are never reused, so the condition can no longer hold for a removed object.
            Answer::Conflict { version: 0 } if self.if_version > 0 => Step::Overtaken(None),
            Answer::Conflict { .. } => self.read_back(Step::Next),
            Answer::Lost => self.read_back(Step::Wait),
            Answer::Object(object) => self.on_read_back(object),
            Answer::NotRun | Answer::Listing(_) => Step::Wait,
            Answer::Refused if self.is_reading_back => Step::Wait,
            Answer::Refused => Step::Refused,
        }
    }

    const fn read_back(&mut self, step: Step) -> Step {
        self.is_reading_back = true;
        step
    }

    fn on_read_back(&mut self, object: Option<Object>) -> Step {
        let version = object.as_ref().map_or(0, |object| object.version);
        let stamp = object.as_ref().and_then(|object| stamp_of(&object.value));
        if stamp.as_ref() == Some(&self.stamp) {
            return Step::Done { version };
        }
        if version > self.if_version {
            return Step::Overtaken(object);
        }
        self.is_reading_back = false;
        Step::Wait
    }
}
