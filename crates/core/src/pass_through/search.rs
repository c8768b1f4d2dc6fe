//! Searches for the target that holds a flow.
//!
//! The agents in the balancer's own failure domain are asked first, since most flows stay in the
//! domain of their caller. Then all other agents are asked, which costs a small message each. If
//! none is certain to hold the flow but some may hold it, as after the restart of many agents, the
//! flow's packet is sent to the targets of those as a probe. An agent that has announced that it
//! stops, and does not answer, is probably being restarted: its target may be the holder, and is
//! waited for unless only few others are to be probed. An agent that was started after the question
//! was sent to it may not have received it, and is asked again. If no target claims the flow either
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

/// A question to a target's agent.
#[derive(Clone, Copy, Debug)]
struct Question {
    asked_at: Millis,
    answer: Option<Holding>,
}

impl Question {
    const fn new(asked_at: Millis) -> Self {
        Self {
            asked_at,
            answer: None,
        }
    }
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
    questions: HashMap<TargetKey, Question>,
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
        let negative_answer = Question {
            asked_at: now,
            answer: Some(Holding::No),
        };
        let negative_answers = not_held.map(|key| (key, negative_answer));
        Self {
            first,
            later: Vec::new(),
            segment,
            questions: local
                .map(|key| (key, Question::new(now)))
                .chain(negative_answers)
                .collect(),
            phase: Phase::AskingLocal,
            since: now,
            was_unclaimed: false,
            probes: 0,
        }
    }

    pub(super) fn on_answer(&mut self, target: TargetKey, holding: Holding) {
        if let Some(question) = self.questions.get_mut(&target) {
            question.answer = Some(holding);
        }
    }

    /// Returns the targets whose agents were started after they were asked, and have not answered.
    /// They count as asked now. `started_at` tells when an agent was started.
    pub(super) fn ask_restarted(
        &mut self,
        now: Millis,
        started_at: impl Fn(TargetKey) -> Millis,
    ) -> Vec<TargetKey> {
        let unanswered = self
            .questions
            .iter_mut()
            .filter(|(_, question)| question.answer.is_none());
        let restarted = unanswered.filter(|(key, question)| started_at(**key) > question.asked_at);
        restarted
            .map(|(key, question)| {
                question.asked_at = now;
                *key
            })
            .collect()
    }

    /// Advances the search and returns the next action. `is_restarting` tells for a target whether
    /// its agent has announced that it stops, while the target goes on.
    pub(super) fn progress(
        &mut self,
        now: Millis,
        is_restarting: impl Fn(TargetKey) -> bool,
    ) -> Progress {
        let age = now.since(self.since);
        let is_no = |question: &Question| question.answer == Some(Holding::No);
        let is_waiting = match self.phase {
            Phase::Pausing if age >= ASK_AGAIN_DELAY => return Progress::AskAgain,
            Phase::Pausing => true,
            Phase::AskingLocal => age < LOCAL_ANSWER_TIMEOUT && self.is_unanswered(),
            Phase::Asking => self.awaits_answer(now),
            Phase::Probing => age < PROBE_TIMEOUT && !self.questions.values().all(is_no),
        };
        if is_waiting {
            return Progress::Waiting;
        }
        if self.phase == Phase::AskingLocal {
            return Progress::AskRemote;
        }
        if self.questions.values().all(is_no) {
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
        self.questions.contains_key(&target)
    }

    /// Targets that do not hold the flow.
    pub(super) fn not_held(&self) -> impl Iterator<Item = TargetKey> {
        self.answered(Holding::No)
    }

    /// Extends the search to targets in other failure domains.
    pub(super) fn ask_remote(&mut self, now: Millis, remote: impl Iterator<Item = TargetKey>) {
        self.questions
            .extend(remote.map(|key| (key, Question::new(now))));
        self.enter(now, Phase::Asking);
    }

    /// Starts a second round in which all targets are asked.
    pub(super) fn ask_again(&mut self, now: Millis, asked: impl Iterator<Item = TargetKey>) {
        self.questions = asked.map(|key| (key, Question::new(now))).collect();
        self.enter(now, Phase::Asking);
    }

    /// Targets that may hold the flow.
    pub(super) fn candidates(&self) -> impl Iterator<Item = TargetKey> {
        self.answered(Holding::Maybe)
    }

    /// Targets whose agents have given this answer.
    fn answered(&self, holding: Holding) -> impl Iterator<Item = TargetKey> {
        let questions = self.questions.iter();
        let answered = questions.filter(move |(_, question)| question.answer == Some(holding));
        answered.map(|(key, _)| *key)
    }

    /// Whether an answer to the questions of this phase may still arrive. Agents that were asked
    /// again extend it, once by its length at most.
    fn awaits_answer(&self, now: Millis) -> bool {
        let is_timely = |since| now.since(since) < ANSWER_TIMEOUT;
        let mut unanswered = self.questions.values().filter(|it| it.answer.is_none());
        let is_extended = now.since(self.since).0 < 2 * ANSWER_TIMEOUT.0;
        unanswered.any(|it| is_timely(self.since) || (is_extended && is_timely(it.asked_at)))
    }

    fn is_unanswered(&self) -> bool {
        self.unanswered().next().is_some()
    }

    fn unanswered(&self) -> impl Iterator<Item = TargetKey> {
        let questions = self.questions.iter();
        let unanswered = questions.filter(|(_, question)| question.answer.is_none());
        unanswered.map(|(key, _)| *key)
    }

    const fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }
}
