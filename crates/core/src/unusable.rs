//! Counter of inputs that cannot be used.
//!
//! Other writers share the platform's store and the ports of a process, so any entry or message may
//! be malformed. It is left out, and the others are used. Each is counted. Only the first one of
//! each subject is logged, because most are read again and again.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Maximum number of subjects that are logged.
const SUBJECTS_MAX: usize = 1_024;

/// Counter of inputs that cannot be used, shared by the threads of a process.
#[derive(Debug, Default)]
pub struct UnusableInputs {
    total: AtomicU64,
    /// Hashes of the subjects that were logged.
    logged: Mutex<HashSet<u64>>,
}

impl UnusableInputs {
    /// Counts an input. Returns whether it is the first one of its subject and is to be logged.
    #[must_use]
    pub fn count(&self, subject: &impl Hash) -> bool {
        self.total.fetch_add(1, Ordering::Relaxed);
        let mut hasher = DefaultHasher::new();
        subject.hash(&mut hasher);
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        logged.len() < SUBJECTS_MAX && logged.insert(hasher.finish())
    }

    /// Number of inputs so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}
