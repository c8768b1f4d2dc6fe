//! Searches for the target that holds a flow.
//!
//! First the agents of the balancer's own failure domain are asked, since most flows stay in their
//! caller's, and then all others, which costs a small message each. Where none holds the flow for
//! certain but some may, as after many agents were started again, those let their targets see one
//! packet. What nobody claims in either way is left to the balancer to judge. Where somebody did not
//! answer, the caller repeats its packet and the next search begins with the denials of this one: an
//! end of a flow that is lost is not found again.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::Segment;

use super::fleet::TargetKey;
use super::packet::Holding;

/// Time in which agents of the own failure domain answer a question: one turn of a processor at
/// either end.
const ASK_NEAR_WITHIN: Millis = Millis(15);

/// Time in which agents answer a question: a round trip between failure domains and one turn of a
/// slow processor at either end.
const ASK_WITHIN: Millis = Millis(60);

/// Time in which a target shows whether it holds a flow, besides the round trip.
const TRY_WITHIN: Millis = Millis(160);

/// Time after which a flow that nobody claimed is asked for once more. An answer that crossed the
/// opening of the flow has arrived by then.
const ASK_AGAIN_AFTER: Millis = Millis(100);

/// What a search has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// Answers are missing.
    Waiting,
    /// Nobody near holds the flow, and the others are to be asked.
    AskFar,
    /// Some targets may hold the flow and are to be tried.
    Try,
    /// It is time to ask everybody once more.
    AskAgain,
    /// Every target that was asked does not hold the flow, and said so twice.
    Nobody,
    /// Time is over, and some did not answer.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The own failure domain.
    AskingNear,
    Asking,
    Trying,
    /// Nobody claimed the flow when it was asked for the first time.
    Pausing,
}

/// One search.
#[derive(Debug)]
pub(super) struct Search<B> {
    /// The packet that started the search.
    pub(super) first: B,
    /// Packets that came while it went on.
    pub(super) later: Vec<B>,
    /// Header of the last packet.
    pub(super) segment: Segment,
    answers: HashMap<TargetKey, Option<Holding>>,
    phase: Phase,
    since: Millis,
    was_unclaimed: bool,
}

impl<B> Search<B> {
    /// A search that begins with the targets near by, of which `denied` need not be asked.
    pub(super) fn new(
        now: Millis,
        segment: Segment,
        near: impl Iterator<Item = TargetKey>,
        denied: impl Iterator<Item = TargetKey>,
        first: B,
    ) -> Self {
        let denials = denied.map(|key| (key, Some(Holding::No)));
        Self {
            first,
            later: Vec::new(),
            segment,
            answers: near.map(|key| (key, None)).chain(denials).collect(),
            phase: Phase::AskingNear,
            since: now,
            was_unclaimed: false,
        }
    }

    pub(super) fn on_answer(&mut self, target: TargetKey, holding: Holding) {
        if let Some(answer) = self.answers.get_mut(&target) {
            *answer = Some(holding);
        }
    }

    /// What is to be done now.
    pub(super) fn progress(&mut self, now: Millis) -> Progress {
        let age = now.since(self.since);
        let is_no = |answer: &Option<Holding>| *answer == Some(Holding::No);
        let is_waiting = match self.phase {
            Phase::Pausing if age >= ASK_AGAIN_AFTER => return Progress::AskAgain,
            Phase::Pausing => true,
            Phase::AskingNear => age < ASK_NEAR_WITHIN && self.is_unanswered(),
            Phase::Asking => age < ASK_WITHIN && self.is_unanswered(),
            Phase::Trying => age < TRY_WITHIN && !self.answers.values().all(is_no),
        };
        if is_waiting {
            return Progress::Waiting;
        }
        if self.phase == Phase::AskingNear {
            return Progress::AskFar;
        }
        if self.answers.values().all(is_no) {
            if self.was_unclaimed {
                return Progress::Nobody;
            }
            self.was_unclaimed = true;
            self.enter(now, Phase::Pausing);
            return Progress::Waiting;
        }
        if self.phase == Phase::Asking && self.candidates().next().is_some() {
            self.enter(now, Phase::Trying);
            return Progress::Try;
        }
        Progress::Unknown
    }

    /// Whether the target was asked, or has denied the flow unasked.
    pub(super) fn includes(&self, target: TargetKey) -> bool {
        self.answers.contains_key(&target)
    }

    /// Targets that have denied the flow.
    pub(super) fn denied(&self) -> impl Iterator<Item = TargetKey> {
        let has_denied = |answer: &Option<Holding>| *answer == Some(Holding::No);
        let denials = self.answers.iter();
        let denials = denials.filter(move |(_, answer)| has_denied(answer));
        denials.map(|(key, _)| *key)
    }

    /// The others are asked besides.
    pub(super) fn ask_far(&mut self, now: Millis, far: impl Iterator<Item = TargetKey>) {
        self.answers.extend(far.map(|key| (key, None)));
        self.enter(now, Phase::Asking);
    }

    /// Everybody is asked once more.
    pub(super) fn ask_again(&mut self, now: Millis, asked: impl Iterator<Item = TargetKey>) {
        self.answers = asked.map(|key| (key, None)).collect();
        self.enter(now, Phase::Asking);
    }

    /// Targets that may hold the flow.
    pub(super) fn candidates(&self) -> impl Iterator<Item = TargetKey> {
        let may_hold = |answer: &Option<Holding>| *answer == Some(Holding::Maybe);
        self.answers
            .iter()
            .filter(move |(_, answer)| may_hold(answer))
            .map(|(key, _)| *key)
    }

    fn is_unanswered(&self) -> bool {
        self.answers.values().any(Option::is_none)
    }

    const fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }
}
