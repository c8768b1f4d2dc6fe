//! Balancers, agents and targets in one process, joined by a queue of messages.
//!
//! A small fake at the interfaces: messages arrive in order and at once, and time moves only
//! between steps. What each target saw and each caller was sent is recorded for the promises.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::GroupId;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, Balancer, BalancerAction, Holding, Offer, Packet, Rejected,
};

use crate::fixture::{
    Bytes, agent_limits, balancer, balancer_addr, flow, heartbeat, packet, place, request,
    response, syn, syn_ack, target_id,
};

pub const BALANCERS: u16 = 2;
pub const TARGETS: u16 = 4;
const TICK: Millis = Millis(25);
const REPORT_INTERVAL: u64 = 250;
const HEARTBEAT_INTERVAL: u64 = 1_000;

enum Message {
    ToAgent(u16, u16, ToAgent),
    ToBalancer(u16, u16, ToBalancer),
}

enum ToAgent {
    Packet(Offer, GroupId, Packet<Bytes>),
    Question(FlowId),
}

enum ToBalancer {
    Reject(Rejected, Packet<Bytes>),
    Reply(FlowId, Holding),
}

struct Target {
    born: u64,
    sequence: u64,
    started: Millis,
    state: TargetState,
    flows: HashSet<FlowId>,
}

/// The whole fleet.
pub struct World {
    now: Millis,
    starts: u64,
    balancers: Vec<Balancer<Bytes>>,
    agents: Vec<Agent<Bytes>>,
    targets: Vec<Target>,
    queue: VecDeque<Message>,
    /// Where each open flow is held.
    pub held: HashMap<FlowId, u16>,
    /// Flows whose caller was reset.
    pub reset: HashSet<FlowId>,
    /// Flows that were reset though their target held them.
    pub wrongly_reset: Vec<FlowId>,
    /// Opening packets that a target took after it had announced that it leaves.
    pub opened_late: u32,
    /// Packets of a flow at its holder since they were last cleared.
    pub arrived: HashMap<FlowId, u32>,
    /// Packets of a flow at other targets since its holder last saw one.
    strayed: HashMap<FlowId, u32>,
    /// The most of them.
    pub most_strayed: u32,
}

impl World {
    pub fn new() -> Self {
        let now = Millis(1_000);
        let mut world = Self {
            now,
            starts: 0,
            balancers: (0..BALANCERS).map(|_| balancer(now)).collect(),
            agents: Vec::new(),
            targets: Vec::new(),
            queue: VecDeque::new(),
            held: HashMap::new(),
            reset: HashSet::new(),
            wrongly_reset: Vec::new(),
            opened_late: 0,
            arrived: HashMap::new(),
            strayed: HashMap::new(),
            most_strayed: 0,
        };
        for number in 0..TARGETS {
            world
                .agents
                .push(Agent::new(now, place(number, 1), agent_limits()));
            world.targets.push(Target {
                born: 1,
                sequence: 0,
                started: now,
                state: TargetState::Ready,
                flows: HashSet::new(),
            });
        }
        world.pass(1_000);
        world
    }

    /// Lets time go by.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / TICK.0 {
            self.now = self.now.after(TICK);
            if self.now.0.is_multiple_of(HEARTBEAT_INTERVAL) {
                (0..TARGETS).for_each(|target| self.beat(target));
            }
            if self.now.0.is_multiple_of(REPORT_INTERVAL) {
                self.report();
            }
            for agent in 0..TARGETS {
                let mut out = Vec::new();
                self.agents[usize::from(agent)].on_tick(self.now, &mut out);
                self.act_agent(agent, out);
            }
            for balancer in 0..BALANCERS {
                let mut out = Vec::new();
                self.balancers[usize::from(balancer)].on_tick(self.now, &mut out);
                self.act_balancer(balancer, out);
            }
            self.settle();
        }
    }

    /// A caller opens a flow through a balancer.
    pub fn open(&mut self, number: u16, via: u16) {
        self.send(flow(number), syn(), via);
    }

    /// A caller of an open flow sends a request through a balancer.
    pub fn request(&mut self, number: u16, via: u16) {
        let flow = flow(number);
        if self.held.contains_key(&flow) && !self.reset.contains(&flow) {
            self.send(flow, request(), via);
        }
    }

    /// The agent alone is killed and starts again without anything that it knew.
    pub fn restart_agent(&mut self, target: u16) {
        self.starts += 1;
        let incarnation = 1 + self.starts;
        let place = place(target, incarnation);
        self.agents[usize::from(target)] = Agent::new(self.now, place, agent_limits());
    }

    /// A balancer is killed and starts again, with the list of targets from the platform.
    pub fn restart_balancer(&mut self, number: u16) {
        let mut fresh = balancer(self.now);
        fresh.set_listed((0..TARGETS).map(target_id));
        self.balancers[usize::from(number)] = fresh;
        self.report();
    }

    /// The target crashes and starts again. Its flows are gone.
    pub fn restart_target(&mut self, number: u16) {
        self.starts += 1;
        let target = &mut self.targets[usize::from(number)];
        target.born = 1 + self.starts;
        target.sequence = 0;
        target.started = self.now;
        target.state = TargetState::Ready;
        target.flows.clear();
    }

    /// The target announces that it leaves.
    pub fn drain(&mut self, number: u16) {
        self.targets[usize::from(number)].state = TargetState::Draining;
        self.beat(number);
        self.settle();
    }

    /// Whether the flow's target still holds it.
    pub fn is_alive(&self, flow: &FlowId) -> bool {
        let holder = self.held.get(flow);
        holder.is_some_and(|target| self.targets[usize::from(*target)].flows.contains(flow))
    }

    fn send(&mut self, flow: FlowId, segment: Segment, via: u16) {
        let mut out = Vec::new();
        let packet = packet(flow, segment);
        self.balancers[usize::from(via)].on_packet(self.now, packet, 0, &mut out);
        self.act_balancer(via, out);
        self.settle();
    }

    fn beat(&mut self, number: u16) {
        let target = &mut self.targets[usize::from(number)];
        target.sequence += 1;
        let mut beat = heartbeat(target.born, target.sequence, target.state);
        beat.age = self.now.since(target.started);
        let mut out = Vec::new();
        self.agents[usize::from(number)].on_heartbeat(self.now, beat, &mut out);
        self.act_agent(number, out);
    }

    fn report(&mut self) {
        for agent in &mut self.agents {
            let report = agent.report(self.now);
            for balancer in &mut self.balancers {
                balancer.on_report(self.now, report);
            }
        }
    }

    fn settle(&mut self) {
        while let Some(message) = self.queue.pop_front() {
            match message {
                Message::ToAgent(from, to, message) => self.at_agent(from, to, message),
                Message::ToBalancer(from, to, message) => self.at_balancer(from, to, message),
            }
        }
    }

    fn at_agent(&mut self, from: u16, to: u16, message: ToAgent) {
        let (now, sender) = (self.now, balancer_addr(from));
        let agent = &mut self.agents[usize::from(to)];
        let mut out = Vec::new();
        match message {
            ToAgent::Packet(offer, group, packet) => {
                agent.on_packet(now, sender, offer, group, packet, &mut out);
            }
            ToAgent::Question(flow) => agent.on_question(now, sender, flow, &mut out),
        }
        self.act_agent(to, out);
    }

    fn at_balancer(&mut self, from: u16, to: u16, message: ToBalancer) {
        let balancer = &mut self.balancers[usize::from(to)];
        let (now, target) = (self.now, target_id(from));
        let mut out = Vec::new();
        match message {
            ToBalancer::Reject(rejected, packet) => {
                balancer.on_reject(now, target, rejected, packet, &mut out);
            }
            ToBalancer::Reply(flow, holding) => {
                balancer.on_reply(now, target, flow, holding, &mut out);
            }
        }
        self.act_balancer(to, out);
    }

    fn act_balancer(&mut self, from: u16, actions: Vec<BalancerAction<Bytes>>) {
        for action in actions {
            match action {
                BalancerAction::Forward {
                    to,
                    offer,
                    group,
                    bytes,
                    ..
                } => {
                    let packet = packet(bytes.0, bytes.1);
                    let message = ToAgent::Packet(offer, group, packet);
                    self.queue
                        .push_back(Message::ToAgent(from, to.port(), message));
                }
                BalancerAction::Ask { to, flow } => {
                    let message = ToAgent::Question(flow);
                    self.queue
                        .push_back(Message::ToAgent(from, to.port(), message));
                }
                BalancerAction::Reset(reset) => self.on_reset(reset.flow),
                BalancerAction::Drop { .. } => {}
            }
        }
    }

    fn act_agent(&mut self, from: u16, actions: Vec<AgentAction<Bytes>>) {
        for action in actions {
            match action {
                AgentAction::Deliver { bytes } => self.at_target(from, bytes),
                AgentAction::ToCaller { .. } | AgentAction::Drop { .. } => {}
                AgentAction::Reject {
                    to,
                    rejected,
                    bytes,
                } => {
                    let message = ToBalancer::Reject(rejected, packet(bytes.0, bytes.1));
                    self.send_to_balancer(from, to, message);
                }
                AgentAction::Reply { to, flow, holding } => {
                    self.send_to_balancer(from, to, ToBalancer::Reply(flow, holding));
                }
                AgentAction::Reset(reset) => self.on_reset(reset.flow),
            }
        }
    }

    fn send_to_balancer(&mut self, from: u16, to: SocketAddr, message: ToBalancer) {
        self.queue
            .push_back(Message::ToBalancer(from, to.port(), message));
    }

    fn at_target(&mut self, number: u16, (flow, segment): Bytes) {
        let target = &mut self.targets[usize::from(number)];
        if segment.is_initial_syn() {
            if target.state == TargetState::Draining {
                self.opened_late += 1;
            }
            target.flows.insert(flow);
            self.held.insert(flow, number);
            self.on_target_packet(number, flow, syn_ack(crate::fixture::TARGET_ISN));
            return;
        }
        if target.flows.contains(&flow) {
            *self.arrived.entry(flow).or_default() += 1;
            self.strayed.remove(&flow);
            self.on_target_packet(number, flow, response());
            return;
        }
        if self.is_alive(&flow) {
            let strayed = self.strayed.entry(flow).or_default();
            *strayed += 1;
            self.most_strayed = self.most_strayed.max(*strayed);
        }
        let mut out = Vec::new();
        let packet = packet(flow, segment);
        self.agents[usize::from(number)].on_returned(self.now, packet, &mut out);
        self.act_agent(number, out);
    }

    fn on_target_packet(&mut self, number: u16, flow: FlowId, segment: Segment) {
        let mut out = Vec::new();
        let packet = packet(flow, segment);
        self.agents[usize::from(number)].on_target_packet(self.now, packet, &mut out);
        self.act_agent(number, out);
    }

    fn on_reset(&mut self, flow: FlowId) {
        if self.is_alive(&flow) {
            self.wrongly_reset.push(flow);
        }
        self.reset.insert(flow);
    }
}
