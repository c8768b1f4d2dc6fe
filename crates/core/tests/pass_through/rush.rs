//! The pattern after a loss of power: every caller comes back within a few moments, to targets that
//! have just started and are slow, while new callers go on coming.
//!
//! One agent and a target with slots and a queue of its own. Time moves in steps of a millisecond.

use std::collections::{HashMap, VecDeque};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{Agent, AgentAction, Offer};

use crate::fixture::{
    Bytes, TARGET_ISN, agent, balancer_addr, beat, flow, group, heartbeat, packet, request,
    response, syn, syn_ack,
};

const START: Millis = Millis(1_000);
const SLOTS: u16 = 7;
/// Requests that wait at the target, which sheds more.
const QUEUE: usize = 28;
/// Time of a request at a cold target.
const WORK: u64 = 90;
/// Callers that lost their flows, for each target.
const BACKLOG: u16 = 60;
/// Time between two callers that have not waited.
const FRESH_EVERY: u64 = 20;
/// Time in which a caller wants its answer.
const AIM: u64 = 300;

struct Rush {
    agent: Agent<Bytes>,
    now: Millis,
    /// Ends of the requests in progress.
    at_work: Vec<(Millis, FlowId)>,
    queue: VecDeque<FlowId>,
    shed: u32,
    given_back: usize,
    sent: HashMap<FlowId, Millis>,
    answered: HashMap<FlowId, u64>,
}

impl Rush {
    fn new() -> Self {
        let mut agent = agent(START);
        let mut first = heartbeat(1, 2, TargetState::Ready);
        first.slots = SLOTS;
        beat(&mut agent, START, first);
        Self {
            agent,
            now: START,
            at_work: Vec::new(),
            queue: VecDeque::new(),
            shed: 0,
            given_back: 0,
            sent: HashMap::new(),
            answered: HashMap::new(),
        }
    }

    fn open(&mut self, number: u16) {
        self.sent.insert(flow(number), self.now);
        self.deliver_from_caller(Offer::New, flow(number), syn());
    }

    fn deliver_from_caller(&mut self, offer: Offer, flow: FlowId, segment: Segment) {
        let mut out = Vec::new();
        let packet = packet(flow, segment);
        let from = balancer_addr(1);
        self.agent
            .on_packet(self.now, from, offer, group(), packet, &mut out);
        self.act(out);
    }

    fn deliver_from_target(&mut self, flow: FlowId, segment: Segment) {
        let mut out = Vec::new();
        self.agent
            .on_target_packet(self.now, packet(flow, segment), &mut out);
        self.act(out);
    }

    fn act(&mut self, actions: Vec<AgentAction<Bytes>>) {
        for action in actions {
            match action {
                AgentAction::Deliver {
                    bytes: (flow, segment),
                } => self.at_target(flow, segment),
                AgentAction::Reject { .. } => self.given_back += 1,
                _ => {}
            }
        }
    }

    fn at_target(&mut self, flow: FlowId, segment: Segment) {
        if segment.is_initial_syn() {
            self.deliver_from_target(flow, syn_ack(TARGET_ISN));
            self.deliver_from_caller(Offer::Held, flow, request());
        } else if self.queue.len() >= QUEUE {
            self.shed += 1;
            self.deliver_from_target(flow, response());
        } else {
            self.queue.push_back(flow);
        }
    }

    /// One step of a millisecond.
    fn step(&mut self) {
        self.now = self.now.after(Millis(1));
        let now = self.now;
        let is_done = |(end, _): &mut (Millis, FlowId)| *end <= now;
        let done: Vec<_> = self.at_work.extract_if(.., is_done).collect();
        for (_, flow) in done {
            let waited = now.since(self.sent[&flow]).0;
            self.answered.insert(flow, waited);
            self.deliver_from_target(flow, response());
        }
        while self.at_work.len() < usize::from(SLOTS) {
            let Some(flow) = self.queue.pop_front() else {
                break;
            };
            self.at_work.push((now.after(Millis(WORK)), flow));
        }
        if now.0.is_multiple_of(25) {
            let mut out = Vec::new();
            self.agent.on_tick(now, &mut out);
            self.act(out);
        }
    }

    /// The backlog comes back at once, and fresh callers come for a while.
    fn play(&mut self, span: Millis) -> Vec<FlowId> {
        for number in 0..BACKLOG {
            self.open(number);
        }
        let mut fresh = Vec::new();
        for elapsed in 1..=span.0 {
            self.step();
            if elapsed.is_multiple_of(FRESH_EVERY) {
                let number = BACKLOG + u16::try_from(fresh.len()).expect("few flows");
                fresh.push(flow(number));
                self.open(number);
            }
        }
        fresh
    }

    fn in_aim(&self, flows: &[FlowId]) -> usize {
        let is_served = |flow: &&FlowId| self.answered.get(flow).is_some_and(|took| *took <= AIM);
        flows.iter().filter(is_served).count()
    }
}

cases! {
    // 60 requests are 0.8 s of work. In the order of arrival nobody is served in time for as long.
    callers_that_have_not_waited_are_served_in_time => {
        let mut rush = Rush::new();
        let fresh = rush.play(Millis(2_000));
        let in_aim = rush.in_aim(&fresh);
        assert!(in_aim * 10 >= fresh.len() * 9, "{in_aim} of {}", fresh.len());
    };

    target_sheds_nothing => {
        let mut rush = Rush::new();
        rush.play(Millis(2_000));
        assert_eq!(rush.shed, 0);
    };

    slots_are_at_work_while_callers_wait => {
        let mut rush = Rush::new();
        rush.play(Millis(590));
        let possible = 590 / WORK * u64::from(SLOTS);
        let served = u64::try_from(rush.answered.len()).expect("few flows");
        assert!(served * 100 >= possible * 95, "{served} of {possible}");
    };

    // What cannot be served in time goes to another target, or is refused.
    every_caller_is_answered_or_given_back => {
        let mut rush = Rush::new();
        rush.play(Millis(1_000));
        (0..1_000).for_each(|_| rush.step());
        assert!(rush.given_back > 0);
        assert_eq!(rush.answered.len() + rush.given_back, rush.sent.len());
    };
}
