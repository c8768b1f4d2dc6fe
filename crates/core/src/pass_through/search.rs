//! Searches for the target that holds a flow.
//!
//! First every agent is asked, which costs a small message each. Where none holds the flow for
//! certain but some may, as after many agents were started again, those let their targets see one
//! packet. What nobody claims in either way is left to the balancer to judge.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::Segment;

use super::fleet::TargetKey;
use super::packet::Holding;

/// Time in which agents answer a question: a round trip between failure domains and one turn of a
/// slow processor at either end.
const ASK_WITHIN: Millis = Millis(60);

/// Time in which a target shows whether it holds a flow, besides the round trip.
const TRY_WITHIN: Millis = Millis(160);

/// What a search has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// Answers are missing.
    Waiting,
    /// Some targets may hold the flow and are to be tried.
    Try,
    /// Every target that was asked does not hold the flow.
    Nobody,
    /// Time is over, and some did not answer.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Asking,
    Trying,
}

/// One search.
#[derive(Debug)]
pub(super) struct Search<B> {
    pub(super) packets: Vec<B>,
    /// Header of the last packet.
    pub(super) segment: Segment,
    answers: HashMap<TargetKey, Option<Holding>>,
    phase: Phase,
    since: Millis,
}

impl<B> Search<B> {
    pub(super) fn new(
        now: Millis,
        segment: Segment,
        asked: impl Iterator<Item = TargetKey>,
        packet: B,
    ) -> Self {
        Self {
            packets: vec![packet],
            segment,
            answers: asked.map(|key| (key, None)).collect(),
            phase: Phase::Asking,
            since: now,
        }
    }

    pub(super) fn on_answer(&mut self, target: TargetKey, holding: Holding) {
        if let Some(answer) = self.answers.get_mut(&target) {
            *answer = Some(holding);
        }
    }

    pub(super) fn progress(&self, now: Millis) -> Progress {
        let limit = match self.phase {
            Phase::Asking => ASK_WITHIN,
            Phase::Trying => TRY_WITHIN,
        };
        let is_over = now.since(self.since) >= limit;
        let is_open = |answer: &Option<Holding>| match self.phase {
            Phase::Asking => answer.is_none(),
            Phase::Trying => *answer != Some(Holding::No),
        };
        if self.answers.values().any(is_open) && !is_over {
            return Progress::Waiting;
        }
        if self
            .answers
            .values()
            .all(|answer| *answer == Some(Holding::No))
        {
            return Progress::Nobody;
        }
        if self.phase == Phase::Asking && self.candidates().next().is_some() {
            return Progress::Try;
        }
        Progress::Unknown
    }

    /// Targets that may hold the flow.
    pub(super) fn candidates(&self) -> impl Iterator<Item = TargetKey> {
        let may_hold = |answer: &Option<Holding>| *answer == Some(Holding::Maybe);
        self.answers
            .iter()
            .filter(move |(_, answer)| may_hold(answer))
            .map(|(key, _)| *key)
    }

    pub(super) const fn start_trying(&mut self, now: Millis) {
        self.phase = Phase::Trying;
        self.since = now;
    }
}
