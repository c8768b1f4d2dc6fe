//! Settings that have passed the check.

use citronhollow_peer::{Key, Keyring};
use log::LevelFilter;
use serde::Serialize;

use super::{check_keys, check_level};
use crate::problem::Problem;

/// Settings that have passed the check, with the values parsed by it.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct Checked<S> {
    settings: S,
    #[serde(skip)]
    keys: Keyring,
    #[serde(skip)]
    log_level: LevelFilter,
}

impl<S> Checked<S> {
    /// Checks the keys and the log level, in addition to `problems` found by other checks.
    ///
    /// # Errors
    ///
    /// All problems, those passed in included.
    pub fn new(
        settings: S,
        mut problems: Vec<Problem>,
        keys: &[Key],
        log_level: &str,
    ) -> Result<Self, Vec<Problem>> {
        let keys = check_keys("keys", keys);
        let log_level = check_level("log_level", log_level);
        match (keys, log_level) {
            (Ok(keys), Ok(log_level)) if problems.is_empty() => Ok(Self {
                settings,
                keys,
                log_level,
            }),
            (keys, log_level) => {
                problems.extend(keys.err().into_iter().flatten());
                problems.extend(log_level.err());
                Err(problems)
            }
        }
    }

    /// Settings as written in the file.
    #[must_use]
    pub const fn settings(&self) -> &S {
        &self.settings
    }

    /// Keyring that signs and verifies frames.
    #[must_use]
    pub const fn keys(&self) -> &Keyring {
        &self.keys
    }

    /// Log level.
    #[must_use]
    pub const fn log_level(&self) -> LevelFilter {
        self.log_level
    }
}
