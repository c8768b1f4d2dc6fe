//! Records when each process and the store were last disturbed.
//!
//! Invariants with a time bound are checked only for processes, and a store, that have been stable
//! for a while. A stall of the soak process itself counts as a disturbance of everything, because
//! its observations then do not show which process was late.

use std::collections::HashMap;

use citronhollow_core::clock::Millis;

use crate::bounds::STABILITY;
use crate::plan::Node;

/// A component that can be disturbed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// A process.
    Node(Node),
    /// The store, or the connection of processes to it.
    Store,
    /// All components at once.
    All,
}

#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    /// Number of disturbances in progress.
    open: u32,
    /// End of the last disturbance.
    over: Option<Millis>,
}

/// Disturbances so far, by component.
#[derive(Debug, Default)]
pub struct Disturbances {
    parts: HashMap<Part, Disturbance>,
}

impl Disturbances {
    /// Records the start of a disturbance.
    pub fn begin(&mut self, part: Part) {
        self.parts.entry(part).or_default().open += 1;
    }

    /// Records the end of a disturbance.
    pub fn end(&mut self, now: Millis, part: Part) {
        let disturbance = self.parts.entry(part).or_default();
        disturbance.open = disturbance.open.saturating_sub(1);
        disturbance.over = Some(now);
    }

    /// Records a disturbance without duration.
    pub fn mark(&mut self, now: Millis, part: Part) {
        self.begin(part);
        self.end(now, part);
    }

    /// Whether none of the parts has been disturbed from [`STABILITY`] before `since` until now.
    #[must_use]
    pub fn were_stable(&self, since: Millis, parts: &[Part]) -> bool {
        let is_stable = |part: &Part| {
            self.parts.get(part).is_none_or(|disturbance| {
                let over = disturbance.over;
                let is_over = over.is_none_or(|over| over.after(STABILITY) <= since);
                disturbance.open == 0 && is_over
            })
        };
        parts.iter().all(is_stable) && is_stable(&Part::All)
    }
}
