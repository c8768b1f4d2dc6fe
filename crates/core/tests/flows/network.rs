//! Simulated agents, callers and the packets between them, for the property tests.
//!
//! TCP is modelled only as far as the properties need it: initial sequence numbers, one sequence of
//! bytes, and resets.

use std::collections::{BTreeMap, BTreeSet};

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::flows::{Action, Arrival, FlowLimits, Flows, Holding, Packet, Relay};
use citronhollow_core::hash;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{TargetRecord, TargetState};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;

use crate::fixture::{START, agent_with, flow, id, record};

pub const AGENTS: usize = 4;
pub const CALLERS: usize = 3;
/// Longest time for which an agent's list of peers may be outdated.
const MAX_LAG: Millis = Millis::from_secs(2);
const SEGMENT: u32 = 10;

/// Small limits, so that the tests reach each of them.
pub const TIGHT: FlowLimits = FlowLimits {
    flows: 6,
    half_open: 3,
    redirects: 4,
    ended: 3,
    searches: 3,
    search_packets: 5,
    search_packets_per_flow: 2,
    suspects: 4,
    queue: 2,
    callers: 3,
    ..FlowLimits::DEFAULT
};

/// A caller's packet, sent by a balancer that chooses agent `at` and lists `candidates` further
/// agents.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    caller: usize,
    at: usize,
    candidates: usize,
}

/// One event. Numbers select among the existing items, modulo their count.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Open(Sent),
    Send(Sent),
    Repeat(Sent),
    GiveUp(Sent),
    Arrive(usize),
    Lose(usize),
    Duplicate(usize),
    Wait(u64),
    Close(usize),
    /// An agent's list of peers contains only the peers in these bits.
    StaleView(usize, u8),
    Drain(usize, bool),
    Restart(usize),
    Kill(usize),
    /// Cuts or restores the link from one agent to another.
    Cut(usize, usize, bool),
}

pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let sent = (0..CALLERS, 0..AGENTS, 0..AGENTS);
    let sent = sent.prop_map(|(caller, at, candidates)| Sent {
        caller,
        at,
        candidates,
    });
    let cut = (0..AGENTS, 0..AGENTS, any::<bool>());
    let step = prop_oneof![
        8 => sent.clone().prop_map(Step::Open),
        10 => sent.clone().prop_map(Step::Send),
        4 => sent.clone().prop_map(Step::Repeat),
        1 => sent.prop_map(Step::GiveUp),
        60 => (0_usize..8).prop_map(Step::Arrive),
        4 => (0_usize..8).prop_map(Step::Lose),
        4 => (0_usize..8).prop_map(Step::Duplicate),
        10 => (1_u64..120).prop_map(Step::Wait),
        2 => (500_u64..2_500).prop_map(Step::Wait),
        1 => (0..AGENTS).prop_map(Step::Close),
        3 => (0..AGENTS, any::<u8>()).prop_map(|(agent, seen)| Step::StaleView(agent, seen)),
        1 => (0..AGENTS, any::<bool>()).prop_map(|(agent, on)| Step::Drain(agent, on)),
        1 => (0..AGENTS).prop_map(Step::Restart),
        1 => (0..AGENTS).prop_map(Step::Kill),
        4 => cut.prop_map(|(from, to, on)| Step::Cut(from, to, on)),
    ];
    proptest::collection::vec(step, 1..300)
}

/// A message in flight. The bytes of a packet are the number of the connection.
#[derive(Clone, Debug)]
enum Msg {
    Packet {
        to: usize,
        packet: Packet<u32>,
    },
    Question {
        from: usize,
        to: usize,
        flow: FlowId,
    },
    Reply {
        from: usize,
        to: usize,
        flow: FlowId,
        holding: Holding,
    },
    Answer {
        caller: usize,
        syn: bool,
        seq: u32,
        ack: u32,
        hint: u32,
    },
    Reset {
        caller: usize,
        seq: u32,
        ack: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    connection: u32,
    isn: u32,
    next: u32,
    is_established: bool,
}

#[derive(Debug)]
struct Agent {
    flows: Flows<u32>,
    endpoints: BTreeMap<FlowId, Endpoint>,
    state: TargetState,
    incarnation: u64,
    is_alive: bool,
    /// Since when its list of peers is outdated.
    stale_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerState {
    Closed,
    SynSent,
    Open { peer_isn: u32, hint: u32 },
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    state: CallerState,
    connection: u32,
    isn: u32,
    next: u32,
}

/// Observations that the properties check.
#[derive(Debug, Default)]
pub struct Seen {
    /// Agents, with their incarnation, that got bytes of a connection.
    pub bytes_at: BTreeMap<u32, BTreeSet<(usize, u64)>>,
    pub opened: u32,
    pub established: u32,
    pub resets: u32,
    pub refusals: u32,
}

#[derive(Debug)]
pub struct Network {
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    in_flight: Vec<Msg>,
    /// Whether the link from one agent to another is cut.
    is_cut: [[bool; AGENTS]; AGENTS],
    now: Millis,
    isns_drawn: u64,
    pub seen: Seen,
}

impl Network {
    pub fn new() -> Self {
        let agent = |number| Agent {
            flows: agent_with(number, 4, TIGHT),
            endpoints: BTreeMap::new(),
            state: TargetState::Ready,
            incarnation: 1,
            is_alive: true,
            stale_since: None,
        };
        let caller = Caller {
            state: CallerState::Closed,
            connection: 0,
            isn: 0,
            next: 0,
        };
        Self {
            agents: (1..=4).map(agent).collect(),
            callers: vec![caller; CALLERS],
            in_flight: Vec::new(),
            is_cut: [[false; AGENTS]; AGENTS],
            now: START,
            isns_drawn: 0,
            seen: Seen::default(),
        }
    }

    pub fn step(&mut self, step: &Step) -> TestCaseResult {
        match *step {
            Step::Open(sent) => self.open(sent),
            Step::Send(sent) => self.send_bytes(sent),
            Step::Repeat(sent) => self.repeat(sent),
            Step::GiveUp(sent) => self.give_up(sent),
            Step::Arrive(message) => self.arrive(message)?,
            Step::Lose(message) => drop(self.take(message)),
            Step::Duplicate(message) => self.duplicate(message),
            Step::Wait(ms) => self.wait(ms)?,
            Step::Close(agent) => self.close(agent),
            Step::StaleView(agent, seen) => self.set_peer_view(agent, Some(seen)),
            Step::Drain(agent, on) => self.drain(agent, on),
            Step::Restart(agent) => self.restart(agent),
            Step::Kill(agent) => self.kill(agent),
            Step::Cut(from, to, on) => self.is_cut[from][to] = on,
        }
        self.check_bounds()
    }

    /// Ends all faults: from now on every packet arrives and every list of peers is current.
    pub fn heal(&mut self) -> TestCaseResult {
        self.is_cut = [[false; AGENTS]; AGENTS];
        for agent in 0..AGENTS {
            self.set_peer_view(agent, None);
        }
        self.arrive_all()?;
        self.wait(3_000)?;
        self.arrive_all()
    }

    /// Checks that every established flow is reachable through every agent.
    pub fn check_reachable(&mut self) -> TestCaseResult {
        for caller in 0..CALLERS {
            let Some(holder) = self.holder_of(caller) else {
                continue;
            };
            for at in (0..AGENTS)
                .filter(|at| self.agents[*at].is_alive)
                .collect::<Vec<_>>()
            {
                self.check_reaches(caller, at, holder)?;
            }
        }
        Ok(())
    }

    /// Checks that every caller without a connection gets one, or a refusal.
    pub fn check_answered(&mut self) -> TestCaseResult {
        for caller in 0..CALLERS {
            if let CallerState::Open { .. } = self.callers[caller].state {
                continue;
            }
            let at = self.preferred_agent(caller);
            self.check_answers(caller, at)?;
        }
        Ok(())
    }

    /// The live agent that all balancers choose for a caller.
    fn preferred_agent(&self, caller: usize) -> usize {
        let is_alive = |at: &usize| self.agents[*at].is_alive;
        let mut agents = (0..AGENTS).map(|step| (caller + step) % AGENTS);
        agents.find(is_alive).expect("a live agent")
    }

    fn check_answers(&mut self, caller: usize, at: usize) -> TestCaseResult {
        let refusals = self.seen.refusals;
        for _ in 0..8 {
            let sent = Sent {
                caller,
                at,
                candidates: 1,
            };
            self.open(sent);
            self.arrive_all()?;
            self.wait(500)?;
            self.arrive_all()?;
            let is_open = matches!(self.callers[caller].state, CallerState::Open { .. });
            if is_open || self.seen.refusals > refusals {
                return Ok(());
            }
        }
        prop_assert!(false, "caller {caller} gets no answer through agent {at}");
        Ok(())
    }

    fn check_reaches(&mut self, caller: usize, at: usize, holder: usize) -> TestCaseResult {
        let flow = caller_flow(caller);
        let got = |network: &Self| network.agents[holder].endpoints.get(&flow).map(|e| e.next);
        let sent = Sent {
            caller,
            at,
            candidates: 0,
        };
        self.send_bytes(sent);
        let wanted = self.callers[caller].next;
        for _ in 0..8 {
            self.arrive_all()?;
            if got(self) == Some(wanted) {
                return Ok(());
            }
            self.wait(500)?;
            self.repeat(sent);
        }
        prop_assert!(
            false,
            "caller {caller} does not reach agent {holder} through agent {at}"
        );
        Ok(())
    }

    /// The live agent whose endpoint finished this caller's handshake.
    fn holder_of(&self, caller: usize) -> Option<usize> {
        let CallerState::Open { peer_isn, .. } = self.callers[caller].state else {
            return None;
        };
        let flow = caller_flow(caller);
        (0..AGENTS).find(|at| {
            let endpoint = self.agents[*at].endpoints.get(&flow);
            let is_it = endpoint.is_some_and(|e| e.isn == peer_isn && e.is_established);
            self.agents[*at].is_alive && is_it
        })
    }

    fn next_isn(&mut self) -> u32 {
        self.isns_drawn += 1;
        let bits = hash::pair(self.isns_drawn, 0) & 0xffff_ffff;
        u32::try_from(bits).expect("32 bits")
    }

    fn open(&mut self, sent: Sent) {
        let caller = sent.caller;
        if self.callers[caller].state == CallerState::Closed {
            let isn = self.next_isn();
            self.callers[caller] = Caller {
                state: CallerState::SynSent,
                connection: self.callers[caller].connection + 1,
                isn,
                next: isn.wrapping_add(1),
            };
        }
        let segment = Segment {
            syn: true,
            seq: self.callers[caller].isn,
            ..Segment::default()
        };
        self.send_packet(sent, segment);
    }

    fn send_bytes(&mut self, sent: Sent) {
        let caller = sent.caller;
        let seq = self.callers[caller].next;
        if let CallerState::Open { .. } = self.callers[caller].state {
            self.callers[caller].next = seq.wrapping_add(SEGMENT);
            self.send_from(sent, seq);
        }
    }

    fn repeat(&mut self, sent: Sent) {
        let caller = sent.caller;
        let first = self.callers[caller].isn.wrapping_add(1);
        if let CallerState::Open { .. } = self.callers[caller].state
            && self.callers[caller].next != first
        {
            self.send_from(sent, first);
        }
    }

    fn send_from(&mut self, sent: Sent, seq: u32) {
        let caller = sent.caller;
        let payload = self.callers[caller].next.wrapping_sub(seq);
        let segment = self.segment(caller, seq, payload);
        self.send_packet(sent, segment);
    }

    /// Segment of an established caller. Half of the callers echo the hint.
    fn segment(&self, caller: usize, seq: u32, payload: u32) -> Segment {
        let CallerState::Open { peer_isn, hint } = self.callers[caller].state else {
            return Segment::default();
        };
        Segment {
            ack: true,
            seq,
            ack_seq: peer_isn.wrapping_add(1),
            payload,
            echo: if caller.is_multiple_of(2) { hint } else { 0 },
            ..Segment::default()
        }
    }

    fn give_up(&mut self, sent: Sent) {
        let caller = sent.caller;
        let next = self.callers[caller].next;
        let segment = Segment {
            rst: true,
            ack: false,
            ..self.segment(caller, next, 0)
        };
        if let CallerState::Open { .. } = self.callers[caller].state {
            self.send_packet(sent, segment);
        }
        self.callers[caller].state = CallerState::Closed;
    }

    fn send_packet(&mut self, sent: Sent, segment: Segment) {
        let Sent {
            caller,
            at,
            candidates,
        } = sent;
        let others = (1..=candidates).map(|step| agent_id((at + step) % AGENTS));
        let packet = Packet {
            flow: caller_flow(caller),
            segment,
            arrival: Arrival::Balancer,
            candidates: others.collect(),
            hops: 0,
            trace: 0,
            bytes: self.callers[caller].connection,
        };
        self.in_flight.push(Msg::Packet { to: at, packet });
    }

    fn take(&mut self, message: usize) -> Option<Msg> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(message % count))
    }

    fn duplicate(&mut self, message: usize) {
        if let Some(message) = self.take(message) {
            self.in_flight.push(message.clone());
            self.in_flight.push(message);
        }
    }

    fn arrive_all(&mut self) -> TestCaseResult {
        // Far more steps than any exchange takes, to detect packets that circulate forever.
        for _ in 0..5_000 {
            if self.in_flight.is_empty() {
                return Ok(());
            }
            self.arrive(0)?;
        }
        prop_assert!(false, "the packets do not come to rest");
        Ok(())
    }

    fn arrive(&mut self, message: usize) -> TestCaseResult {
        let Some(message) = self.take(message).filter(|message| !self.is_lost(message)) else {
            return Ok(());
        };
        let mut out = Vec::new();
        let now = self.now;
        let at = match message {
            Msg::Answer {
                caller,
                syn,
                seq,
                ack,
                hint,
            } => {
                self.on_answer(caller, syn, seq, ack, hint);
                return Ok(());
            }
            Msg::Reset { caller, seq, ack } => return self.on_reset(caller, seq, ack),
            Msg::Packet { to, packet } => {
                self.agents[to].flows.on_packet(now, packet, &mut out);
                to
            }
            Msg::Question { from, to, flow } => {
                if self.agents[to].is_alive {
                    let from = agent_id(from);
                    self.agents[to].flows.on_question(now, from, flow, &mut out);
                }
                to
            }
            Msg::Reply {
                from,
                to,
                flow,
                holding,
            } => {
                let from = agent_id(from);
                self.agents[to]
                    .flows
                    .on_reply(now, from, flow, holding, &mut out);
                to
            }
        };
        self.perform(at, out)
    }

    /// Whether the message is lost on a cut link or at a dead agent.
    fn is_lost(&self, message: &Msg) -> bool {
        let (from, to) = match message {
            Msg::Answer { .. } | Msg::Reset { .. } => return false,
            Msg::Question { from, to, .. } | Msg::Reply { from, to, .. } => (Some(*from), *to),
            Msg::Packet { to, packet } => (packet.arrival.sender().map(agent_number), *to),
        };
        !self.agents[to].is_alive || from.is_some_and(|from| self.is_cut[from][to])
    }

    fn on_answer(&mut self, caller: usize, syn: bool, seq: u32, ack: u32, hint: u32) {
        let known = self.callers[caller];
        let first = known.isn.wrapping_add(1);
        let sent = Sent {
            caller,
            at: self.preferred_agent(caller),
            candidates: 1,
        };
        match known.state {
            CallerState::SynSent if syn && ack == first => {
                let peer_isn = seq;
                self.callers[caller].state = CallerState::Open { peer_isn, hint };
                self.send_from(sent, first);
            }
            // The answer belongs to another connection, so the caller resets that one.
            CallerState::Closed | CallerState::SynSent => {
                let segment = Segment {
                    rst: true,
                    seq: ack,
                    ..Segment::default()
                };
                self.send_packet(sent, segment);
            }
            CallerState::Open { .. } => self.send_from(sent, known.next),
        }
    }

    fn on_reset(&mut self, caller: usize, seq: u32, ack: u32) -> TestCaseResult {
        let known = self.callers[caller];
        match known.state {
            CallerState::SynSent if ack == known.isn.wrapping_add(1) => {
                let got = self.seen.bytes_at.get(&bytes_key(caller, known.connection));
                prop_assert!(got.is_none(), "a refused connection put bytes somewhere");
                self.callers[caller].state = CallerState::Closed;
            }
            CallerState::Open { peer_isn, .. } if seq == peer_isn.wrapping_add(1) => {
                self.callers[caller].state = CallerState::Closed;
            }
            _ => {}
        }
        Ok(())
    }

    fn perform(&mut self, at: usize, actions: Vec<Action<u32>>) -> TestCaseResult {
        for action in actions {
            match action {
                Action::Open { packet } => self.on_open(at, &packet)?,
                Action::Deliver { packet } => self.on_deliver(at, &packet)?,
                Action::Send { to, relay, packet } => self.relay(at, to, relay, packet),
                Action::Ask { to, flow } => {
                    let to = agent_number(to);
                    self.in_flight.push(Msg::Question { from: at, to, flow });
                }
                Action::Reply { to, flow, holding } => {
                    let to = agent_number(to);
                    self.in_flight.push(Msg::Reply {
                        from: at,
                        to,
                        flow,
                        holding,
                    });
                }
                Action::Refuse { packet, kind, .. } => self.on_refuse(at, &packet, kind)?,
                Action::Close { flow, .. } => {
                    let closed = self.agents[at].endpoints.remove(&flow);
                    let was_established = closed.is_some_and(|e| e.is_established);
                    prop_assert!(!was_established, "closed an established flow");
                }
                Action::Drop { .. } => {}
            }
        }
        Ok(())
    }

    fn on_open(&mut self, at: usize, packet: &Packet<u32>) -> TestCaseResult {
        let isn = self.next_isn();
        let agent = &mut self.agents[at];
        prop_assert_eq!(
            agent.state,
            TargetState::Ready,
            "only a ready target opens flows"
        );
        prop_assert!(!agent.endpoints.contains_key(&packet.flow));
        let endpoint = Endpoint {
            connection: packet.bytes,
            isn,
            next: packet.segment.seq.wrapping_add(1),
            is_established: false,
        };
        agent.endpoints.insert(packet.flow, endpoint);
        agent.flows.on_isn(&packet.flow, isn);
        self.seen.opened += 1;
        self.answer(at, packet.flow, endpoint, true);
        Ok(())
    }

    fn answer(&mut self, at: usize, flow: FlowId, endpoint: Endpoint, syn: bool) {
        self.in_flight.push(Msg::Answer {
            caller: caller_number(flow),
            syn,
            seq: endpoint.isn,
            ack: endpoint.next,
            hint: agent_id(at).hint(),
        });
    }

    fn on_deliver(&mut self, at: usize, packet: &Packet<u32>) -> TestCaseResult {
        let flow = packet.flow;
        let endpoint = self.agents[at].endpoints.get(&flow).copied();
        let Some(mut endpoint) = endpoint else {
            prop_assert!(false, "delivered where there is no endpoint");
            return Ok(());
        };
        let segment = packet.segment;
        if segment.rst {
            if segment.seq == endpoint.next {
                self.agents[at].endpoints.remove(&flow);
                self.agents[at].flows.on_closed(self.now, &flow);
            }
            return Ok(());
        }
        if segment.syn {
            let is_repeated = segment.seq.wrapping_add(1) == endpoint.next;
            self.answer(at, flow, endpoint, is_repeated && !endpoint.is_established);
            return Ok(());
        }
        prop_assert_eq!(packet.bytes, endpoint.connection, "of another connection");
        if !endpoint.is_established {
            endpoint.is_established = true;
            self.seen.established += 1;
            self.agents[at].flows.on_established(self.now, &flow);
        }
        if segment.payload > 0 {
            let incarnation = self.agents[at].incarnation;
            let key = bytes_key(caller_number(flow), packet.bytes);
            let targets = self.seen.bytes_at.entry(key).or_default();
            targets.insert((at, incarnation));
            prop_assert_eq!(targets.len(), 1, "bytes of one connection at two targets");
        }
        // A segment that overlaps received data adds only its new part.
        if endpoint.next.wrapping_sub(segment.seq) <= segment.payload {
            endpoint.next = segment.seq.wrapping_add(segment.payload);
        }
        self.agents[at].endpoints.insert(flow, endpoint);
        Ok(())
    }

    fn on_refuse(&mut self, at: usize, packet: &Packet<u32>, kind: ErrorKind) -> TestCaseResult {
        let segment = packet.segment;
        let caller = caller_number(packet.flow);
        if segment.is_initial_syn() {
            self.seen.refusals += 1;
            let ack = segment.seq.wrapping_add(1);
            self.in_flight.push(Msg::Reset {
                caller,
                seq: 0,
                ack,
            });
            return Ok(());
        }
        prop_assert_eq!(kind, ErrorKind::UnknownFlow);
        self.seen.resets += 1;
        let isn = segment.ack_seq.wrapping_sub(1);
        for (number, agent) in self.agents.iter().enumerate() {
            let endpoint = agent.endpoints.get(&packet.flow);
            let holds = endpoint.is_some_and(|e| e.isn == isn);
            prop_assert!(
                !(agent.is_alive && holds),
                "agent {} reset a flow that agent {} holds",
                at,
                number
            );
        }
        let seq = segment.ack_seq;
        self.in_flight.push(Msg::Reset {
            caller,
            seq,
            ack: 0,
        });
        Ok(())
    }

    fn relay(&mut self, at: usize, to: TargetId, relay: Relay, packet: Packet<u32>) {
        let from = agent_id(at);
        let arrival = match relay {
            Relay::Redirect => Arrival::Redirected(from),
            Relay::Pass => Arrival::Passed(from),
        };
        let packet = Packet {
            arrival,
            hops: packet.hops + 1,
            ..packet
        };
        let to = agent_number(to);
        self.in_flight.push(Msg::Packet { to, packet });
    }

    /// Advances time. Agents tick and exchange load reports every 50 ms.
    fn wait(&mut self, ms: u64) -> TestCaseResult {
        let end = self.now.after(Millis(ms));
        while self.now < end {
            self.now = self.now.after(Millis(50)).min(end);
            for at in 0..AGENTS {
                self.tick(at)?;
            }
        }
        Ok(())
    }

    fn tick(&mut self, at: usize) -> TestCaseResult {
        if !self.agents[at].is_alive {
            return Ok(());
        }
        let is_late = |since: Millis| self.now.since(since) >= MAX_LAG;
        if self.agents[at].stale_since.is_none_or(is_late) {
            self.set_peer_view(at, None);
        }
        let report = self.agents[at].flows.load_report(self.now);
        for (to, other) in self.agents.iter_mut().enumerate() {
            if !self.is_cut[at][to] {
                other.flows.on_load(self.now, report);
            }
        }
        let mut out = Vec::new();
        self.agents[at].flows.on_tick(self.now, &mut out);
        self.perform(at, out)
    }

    fn close(&mut self, at: usize) {
        let ended = self.agents[at]
            .endpoints
            .iter()
            .find(|(_, e)| e.is_established);
        let Some(flow) = ended.map(|(flow, _)| *flow) else {
            return;
        };
        let agent = &mut self.agents[at];
        if let Some(endpoint) = agent.endpoints.remove(&flow) {
            agent.flows.on_closed(self.now, &flow);
            let caller = caller_number(flow);
            let seq = endpoint.isn.wrapping_add(1);
            self.in_flight.push(Msg::Reset {
                caller,
                seq,
                ack: 0,
            });
        }
    }

    /// Sets an agent's list of peers: the current one, or only the peers in the bits of `seen`.
    fn set_peer_view(&mut self, at: usize, seen: Option<u8>) {
        let is_seen = |number: &usize| seen.is_none_or(|bits| bits >> number & 1 == 1);
        let records: Vec<_> = (0..AGENTS)
            .filter(is_seen)
            .map(|n| self.record(n))
            .collect();
        let agent = &mut self.agents[at];
        agent.flows.set_peers(self.now, &records);
        match seen {
            Some(_) => {
                agent.stale_since.get_or_insert(self.now);
            }
            None => agent.stale_since = None,
        }
    }

    fn record(&self, at: usize) -> TargetRecord {
        let agent = &self.agents[at];
        let state = if agent.is_alive {
            agent.state
        } else {
            TargetState::Dead
        };
        TargetRecord {
            incarnation: agent.incarnation,
            sequence: self.now.0,
            ..record(agent_name(at), state)
        }
    }

    fn drain(&mut self, at: usize, on: bool) {
        let state = if on {
            TargetState::Draining
        } else {
            TargetState::Ready
        };
        self.agents[at].state = state;
        self.agents[at].flows.set_state(self.now, state);
    }

    fn restart(&mut self, at: usize) {
        let now = self.now;
        let agent = &mut self.agents[at];
        agent.incarnation += 1;
        agent.endpoints.clear();
        agent.flows = agent_with(agent_name(at), 1, TIGHT);
        agent.flows.set_incarnation(agent.incarnation);
        agent.flows.set_state(now, agent.state);
        agent.stale_since = Some(now);
    }

    fn kill(&mut self, at: usize) {
        // At least two agents must stay alive.
        if self.agents.iter().filter(|agent| agent.is_alive).count() > 2 {
            self.agents[at].is_alive = false;
            self.agents[at].endpoints.clear();
        }
    }

    fn check_bounds(&self) -> TestCaseResult {
        for agent in &self.agents {
            let flows = &agent.flows;
            prop_assert!(flows.len() <= TIGHT.flows);
            prop_assert!(flows.half_open_count() <= TIGHT.half_open);
            prop_assert!(flows.redirect_count() <= TIGHT.redirects);
            prop_assert!(flows.ended_count() <= TIGHT.ended);
            prop_assert!(flows.search_count() <= TIGHT.searches);
            prop_assert!(flows.search_packet_count() <= TIGHT.search_packets);
            prop_assert!(flows.queue_len() <= TIGHT.queue);
            if agent.is_alive {
                prop_assert_eq!(flows.len(), agent.endpoints.len(), "one endpoint for each");
            }
        }
        Ok(())
    }
}

fn agent_name(at: usize) -> u16 {
    u16::try_from(at + 1).expect("a small number")
}

fn agent_id(at: usize) -> TargetId {
    id(agent_name(at))
}

fn agent_number(wanted: TargetId) -> usize {
    let found = (0..AGENTS).find(|at| agent_id(*at) == wanted);
    found.expect("an agent of the network")
}

fn caller_flow(caller: usize) -> FlowId {
    flow(u16::try_from(caller).expect("a small number"))
}

fn caller_number(flow: FlowId) -> usize {
    usize::from(flow.caller.port() - 1_024)
}

/// Key of a connection. Connections are numbered per caller.
fn bytes_key(caller: usize, connection: u32) -> u32 {
    connection * 16 + u32::try_from(caller).expect("a small number")
}
