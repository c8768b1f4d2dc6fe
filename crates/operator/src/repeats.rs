//! A limit on lines that say the same again.

use std::collections::HashMap;
use std::hash::Hash;

use citronhollow_core::clock::Millis;

/// Subjects that are remembered at most.
const SUBJECTS_MAX: usize = 1_024;

/// What is known of one subject.
#[derive(Clone, Copy, Debug)]
struct Entry {
    admitted: Millis,
    suppressed: u64,
}

/// Admits one line per subject and span, and counts the others.
///
/// The number of subjects is bounded. While the table is full of subjects that are still within
/// their span, lines on new ones are suppressed, since a flood of subjects is a flood too.
#[derive(Clone, Debug)]
pub struct Repeats<K> {
    span: Millis,
    entries: HashMap<K, Entry>,
    /// When subjects that are over were last removed. A flood must not pay for it at each line.
    cleaned: Millis,
}

impl<K: Eq + Hash> Repeats<K> {
    /// A limiter that admits one line per subject in `span`.
    #[must_use]
    pub fn new(span: Millis) -> Self {
        Self {
            span,
            entries: HashMap::new(),
            cleaned: Millis::ZERO,
        }
    }

    /// Whether a line on this subject may be written now, and if so, how many were suppressed
    /// since the last one.
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
            self.entries.retain(|_, entry| !entry.is_over(span, now));
            self.cleaned = now;
        }
    }
}

impl Entry {
    fn admit(&mut self, span: Millis, now: Millis) -> Option<u64> {
        if !self.is_over(span, now) {
            self.suppressed += 1;
            return None;
        }
        self.admitted = now;
        Some(std::mem::take(&mut self.suppressed))
    }

    const fn is_over(&self, span: Millis, now: Millis) -> bool {
        now.since(self.admitted).0 >= span.0
    }
}
