//! Rate limit for repeated lines.

use std::collections::HashMap;
use std::hash::Hash;

use citronhollow_core::clock::Millis;

/// Largest number of subjects in the table.
const SUBJECTS_MAX: usize = 1_024;

/// State of one subject.
#[derive(Clone, Copy, Debug)]
struct Entry {
    admitted: Millis,
    suppressed: u64,
}

/// Admits one line per subject and time window, and counts the suppressed ones.
///
/// The number of subjects is bounded. While the table is full of subjects that are still within
/// their window, lines on new subjects are suppressed, because they could flood the log as well.
#[derive(Clone, Debug)]
pub struct RepeatLimiter<K> {
    span: Millis,
    entries: HashMap<K, Entry>,
    /// Time of the last removal of expired subjects. It is limited to one per window, so that a
    /// flood of lines does not scan the table for each line.
    cleaned: Millis,
}

impl<K: Eq + Hash> RepeatLimiter<K> {
    /// Creates a limiter that admits one line per subject in a window of `span`.
    #[must_use]
    pub fn new(span: Millis) -> Self {
        Self {
            span,
            entries: HashMap::new(),
            cleaned: Millis::ZERO,
        }
    }

    /// Returns the number of lines suppressed since the last admitted one if a line on this subject
    /// may be written now, none if it is suppressed.
    #[must_use]
    pub fn admit(&mut self, subject: K, now: Millis) -> Option<u64> {
        let span = self.span;
        if let Some(entry) = self.entries.get_mut(&subject) {
            return entry.admit(span, now);
        }
        if self.entries.len() >= SUBJECTS_MAX {
            self.clean(now);
        }
        if self.entries.len() >= SUBJECTS_MAX {
            return None;
        }
        let entry = Entry {
            admitted: now,
            suppressed: 0,
        };
        self.entries.insert(subject, entry);
        Some(0)
    }

    fn clean(&mut self, now: Millis) {
        let span = self.span;
        if now.since(self.cleaned).0 >= span.0 {
            self.entries.retain(|_, entry| !entry.is_expired(span, now));
            self.cleaned = now;
        }
    }
}

impl Entry {
    fn admit(&mut self, span: Millis, now: Millis) -> Option<u64> {
        if !self.is_expired(span, now) {
            self.suppressed += 1;
            return None;
        }
        self.admitted = now;
        Some(std::mem::take(&mut self.suppressed))
    }

    const fn is_expired(&self, span: Millis, now: Millis) -> bool {
        now.since(self.admitted).0 >= span.0
    }
}
