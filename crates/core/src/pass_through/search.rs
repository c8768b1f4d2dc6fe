//! Searches for the target that holds a flow.
//!
//! The agents in the balancer's own failure domain are asked first, since most flows stay in the
//! domain of their caller. Then all other agents are asked, which costs a small message each. If
//! none is certain to hold the flow but some may hold it, as after the restart of many agents, the
//! flow's packet is sent to the targets of those as a probe. An agent that has announced that it
//! stops, and does not answer, is probably being restarted: its target may be the holder, and is
//! waited for unless only few others are to be probed. If no target claims the flow either
//! way, the balancer decides whether to reset it. If some agents did not answer, the caller
//! retransmits its packet, and the next search starts with the negative answers of this one. They
//! stay valid, because a target can get a flow that it does not hold only by a new SYN.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::Segment;

use super::fleet::TargetKey;
use super::packet::Holding;

/// Timeout for answers from agents in the own failure domain: one scheduling delay at either end.
const LOCAL_ANSWER_TIMEOUT: Millis = Millis(15);

/// Timeout for answers from agents: a round trip between failure domains and one scheduling delay
/// of a slow processor at either end.
const ANSWER_TIMEOUT: Millis = Millis(60);

/// Time within which a target shows whether it holds a flow, in addition to the round trip.
const PROBE_TIMEOUT: Millis = Millis(160);

/// Time after which agents are asked once more for a flow that no target claimed. An answer that
/// crossed the flow's SYN has arrived by then.
const ASK_AGAIN_DELAY: Millis = Millis(100);

/// Maximum number of probes for a flow while an agent is being restarted, over all of its searches.
const PROBES_DURING_RESTART_MAX: usize = 2;

/// State of a search, and the next action that it requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// Answers are outstanding.
    Waiting,
    /// No target in the own failure domain holds the flow, and the others are to be asked.
    AskRemote,
    /// Some targets may hold the flow and are to be probed.
    Probe,
    /// All agents are to be asked once more.
    AskAgain,
    /// Every target that was asked has answered twice that it does not hold the flow.
    NotHeld,
    /// The search timed out, and some targets may still hold the flow.
    Inconclusive,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The agents in the own failure domain were asked.
    AskingLocal,
    /// All agents were asked.
    Asking,
    Probing,
    /// No target claimed the flow in the first round, and the second one is not due yet.
    Pausing,
}

/// A search for the target of one flow.
#[derive(Debug)]
pub(super) struct Search<B> {
    /// The packet that started the search.
    pub(super) first: B,
    /// Packets that arrived during the search.
    pub(super) later: Vec<B>,
    /// Header of the last packet.
    pub(super) segment: Segment,
    answers: HashMap<TargetKey, Option<Holding>>,
    phase: Phase,
    since: Millis,
    was_unclaimed: bool,
    /// Number of probes, also in earlier searches for the flow that ended without a result.
    pub(super) probes: usize,
}

impl<B> Search<B> {
    /// Creates a search that starts with the targets in the own failure domain. The targets in
    /// `not_held` need not be asked.
    pub(super) fn new(
        now: Millis,
        segment: Segment,
        local: impl Iterator<Item = TargetKey>,
        not_held: impl Iterator<Item = TargetKey>,
        first: B,
    ) -> Self {
        let negative_answers = not_held.map(|key| (key, Some(Holding::No)));
        Self {
            first,
            later: Vec::new(),
            segment,
            answers: local
                .map(|key| (key, None))
                .chain(negative_answers)
                .collect(),
            phase: Phase::AskingLocal,
            since: now,
            was_unclaimed: false,
            probes: 0,
        }
    }

    pub(super) fn on_answer(&mut self, target: TargetKey, holding: Holding) {
        if let Some(answer) = self.answers.get_mut(&target) {
            *answer = Some(holding);
        }
    }

    /// Advances the search and returns the next action. `is_restarting` tells for a target whether
    /// its agent has announced that it stops, while the target goes on.
    pub(super) fn progress(
        &mut self,
        now: Millis,
        is_restarting: impl Fn(TargetKey) -> bool,
    ) -> Progress {
        let age = now.since(self.since);
        let is_no = |answer: &Option<Holding>| *answer == Some(Holding::No);
        let is_waiting = match self.phase {
            Phase::Pausing if age >= ASK_AGAIN_DELAY => return Progress::AskAgain,
            Phase::Pausing => true,
            Phase::AskingLocal => age < LOCAL_ANSWER_TIMEOUT && self.is_unanswered(),
            Phase::Asking => age < ANSWER_TIMEOUT && self.is_unanswered(),
            Phase::Probing => age < PROBE_TIMEOUT && !self.answers.values().all(is_no),
        };
        if is_waiting {
            return Progress::Waiting;
        }
        if self.phase == Phase::AskingLocal {
            return Progress::AskRemote;
        }
        if self.answers.values().all(is_no) {
            if self.was_unclaimed {
                return Progress::NotHeld;
            }
            self.was_unclaimed = true;
            self.enter(now, Phase::Pausing);
            return Progress::Waiting;
        }
        let candidates = self.candidates().count();
        let awaits_restart = self.unanswered().any(is_restarting);
        let probes = self.probes + candidates;
        let may_probe = !awaits_restart || probes <= PROBES_DURING_RESTART_MAX;
        if self.phase == Phase::Asking && candidates > 0 && may_probe {
            self.enter(now, Phase::Probing);
            return Progress::Probe;
        }
        Progress::Inconclusive
    }

    /// Whether the target was asked, or is known not to hold the flow.
    pub(super) fn includes(&self, target: TargetKey) -> bool {
        self.answers.contains_key(&target)
    }

    /// Targets that do not hold the flow.
    pub(super) fn not_held(&self) -> impl Iterator<Item = TargetKey> {
        let is_negative = |answer: &Option<Holding>| *answer == Some(Holding::No);
        let negative_answers = self.answers.iter();
        let negative_answers = negative_answers.filter(move |(_, answer)| is_negative(answer));
        negative_answers.map(|(key, _)| *key)
    }

    /// Extends the search to targets in other failure domains.
    pub(super) fn ask_remote(&mut self, now: Millis, remote: impl Iterator<Item = TargetKey>) {
        self.answers.extend(remote.map(|key| (key, None)));
        self.enter(now, Phase::Asking);
    }

    /// Starts a second round in which all targets are asked.
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
        self.unanswered().next().is_some()
    }

    fn unanswered(&self) -> impl Iterator<Item = TargetKey> {
        let unanswered = self.answers.iter().filter(|(_, answer)| answer.is_none());
        unanswered.map(|(key, _)| *key)
    }

    const fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }
}
