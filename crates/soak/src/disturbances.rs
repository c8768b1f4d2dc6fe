//! When each process and the store were disturbed last.
//!
//! Promises with a time bound hold for processes that have run undisturbed for a while, beside a
//! store that has. A stall of the soak itself disturbs everything, since it cannot tell then who
//! was late.

use std::collections::HashMap;

use citronhollow_core::clock::Millis;

use crate::bounds::STABILITY;
use crate::plan::Node;

/// What can be disturbed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// A process.
    Node(Node),
    /// The store, or the way of all processes to it.
    Store,
    /// Everything at once.
    All,
}

#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    /// Begun and not over.
    open: u32,
    /// When the last one was over.
    over: Option<Millis>,
}

/// Disturbances until now.
#[derive(Debug, Default)]
pub struct Disturbances {
    parts: HashMap<Part, Disturbance>,
}

impl Disturbances {
    /// A disturbance begins.
    pub fn begin(&mut self, part: Part) {
        self.parts.entry(part).or_default().open += 1;
    }

    /// A disturbance that began is over.
    pub fn end(&mut self, now: Millis, part: Part) {
        let disturbance = self.parts.entry(part).or_default();
        disturbance.open = disturbance.open.saturating_sub(1);
        disturbance.over = Some(now);
    }

    /// A disturbance without a length.
    pub fn mark(&mut self, now: Millis, part: Part) {
        self.begin(part);
        self.end(now, part);
    }

    /// Whether none of the parts was disturbed between `since`, less the time for which calm must have
    /// lasted, and now.
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
