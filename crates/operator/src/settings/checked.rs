//! Settings that have passed the check, of either program.

use citronhollow_peer::{Key, Keyring};
use log::LevelFilter;
use serde::Serialize;

use super::{check_keys, check_level};
use crate::problem::Problem;

/// Settings that have passed the check, with what it has parsed already.
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
    /// Checks the keys and the log level beside the `problems` that were found otherwise.
    ///
    /// # Errors
    ///
    /// All problems, if there are any.
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

    /// The settings as written.
    #[must_use]
    pub const fn settings(&self) -> &S {
        &self.settings
    }

    /// The keys, ready to sign and verify.
    #[must_use]
    pub const fn keys(&self) -> &Keyring {
        &self.keys
    }

    /// Least severe level that is logged.
    #[must_use]
    pub const fn log_level(&self) -> LevelFilter {
        self.log_level
    }
}
