//! The agents' decision code for one pool, driven by simulated events.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::flows::{
    Action, Arrival, FlowLimits, Flows, LoadReport, Packet, REPORT_BYTES, Relay,
};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_core::routes::Routes;

use crate::model::Fleet;

/// Service address of every flow.
pub const SERVICE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1)), 443);

/// Message that reaches an agent after a delay.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// An initial SYN that another agent redirected.
    Redirect {
        /// Number of the flow.
        flow: usize,
        /// The agent that redirected it.
        from: usize,
        /// Receiving agent.
        to: usize,
        /// Number of agents that have redirected it.
        hops: u32,
    },
    /// A load report.
    Report {
        /// Index among the reports of the run.
        report: usize,
        /// Receiving agent.
        to: usize,
    },
}

/// All agents of the pool.
pub struct Agents<'a> {
    fleet: &'a Fleet,
    routes: Routes,
    ids: Vec<TargetId>,
    flows: Vec<Flows<usize>>,
    numbers: HashMap<usize, FlowId>,
    reports: Vec<LoadReport>,
    next_report_us: Vec<u64>,
    steps: Vec<(u64, Step)>,
    opened: Vec<(usize, usize)>,
    refused: u32,
    redirected: u32,
    sent: u32,
}

impl<'a> Agents<'a> {
    /// Creates the agents with their peers and the service configured, and without flows.
    pub fn new(fleet: &'a Fleet, seed: u64) -> Self {
        let records: Vec<_> = fleet
            .slots
            .iter()
            .enumerate()
            .map(|(at, slots)| record(at, *slots, at % fleet.domains))
            .collect();
        let revision = revision();
        let ids: Vec<_> = records.iter().map(|record| record.id).collect();
        let flows = (0_u64..)
            .zip(&records)
            .map(|(at, record)| agent(record, &records, &revision, seed * 1_000 + at))
            .collect();
        // Staggered, because agents start at different times and do not report simultaneously.
        let count = records.len() as u64;
        let next_report_us = (0..count).map(|at| at * 1_000).collect();
        Self {
            fleet,
            routes: Routes::build(&revision, &records, None),
            ids,
            flows,
            numbers: HashMap::new(),
            reports: Vec::new(),
            next_report_us,
            steps: Vec::new(),
            opened: Vec::new(),
            refused: 0,
            redirected: 0,
            sent: 0,
        }
    }

    /// Returns the routing table's first choice for a flow.
    pub fn table_choice(&self, flow: &FlowId) -> usize {
        let choice = self.routes.choose(flow, &initial_syn(flow)).ok();
        let id = choice.map(|choice| self.routes.target(choice.target).id);
        id.and_then(|id| self.position(id)).unwrap_or(0)
    }

    /// Handles the initial SYN of a new flow from a balancer.
    pub fn on_arrival(&mut self, now: u64, number: usize, flow: FlowId) {
        self.numbers.insert(number, flow);
        let at = self.table_choice(&flow);
        self.feed(now, at, number, Arrival::Balancer, 0);
    }

    /// Handles a message that arrives.
    pub fn on_step(&mut self, now: u64, step: Step) {
        match step {
            Step::Redirect {
                flow,
                from,
                to,
                hops,
            } => {
                let arrival = Arrival::Redirected(self.ids[from]);
                self.feed(now, to, flow, arrival, hops);
            }
            Step::Report { report, to } => {
                let report = self.reports[report];
                self.flows[to].on_load(millis(now), report);
            }
        }
    }

    /// Runs the timers of all agents and sends due reports.
    pub fn on_tick(&mut self, now: u64) {
        for at in 0..self.flows.len() {
            let mut out = Vec::new();
            self.flows[at].on_tick(millis(now), &mut out);
            self.carry_out(now, at, out);
            if now >= self.next_report_us[at] {
                self.next_report_us[at] += self.flows[at].report_interval().0 * 1_000;
                self.report(now, at);
            }
        }
    }

    /// Handles the start or end of a request.
    pub fn on_busy(&mut self, target: usize, number: usize, is_busy: bool) {
        if let Some(flow) = self.numbers.get(&number) {
            self.flows[target].on_busy(flow, is_busy);
        }
    }

    /// Handles the end of a flow.
    pub fn on_closed(&mut self, now: u64, target: usize, number: usize) {
        if let Some(flow) = self.numbers.remove(&number) {
            self.flows[target].on_closed(millis(now), &flow);
        }
    }

    /// Takes the messages in flight, each with its arrival time in microseconds.
    pub fn take_steps(&mut self) -> Vec<(u64, Step)> {
        std::mem::take(&mut self.steps)
    }

    /// Takes the flows that were opened, each with its target.
    pub fn take_opened(&mut self) -> Vec<(usize, usize)> {
        std::mem::take(&mut self.opened)
    }

    /// Number of refused flows.
    pub const fn refused(&self) -> u32 {
        self.refused
    }

    /// Number of redirects.
    pub const fn redirected(&self) -> u32 {
        self.redirected
    }

    /// Mean control traffic sent per agent, in bytes per second.
    pub fn control_bytes_per_s(&self, length_us: u64) -> f64 {
        let bytes = u32::try_from(REPORT_BYTES).unwrap_or(u32::MAX);
        let count = u32::try_from(self.flows.len()).unwrap_or(1);
        let secs = u32::try_from(length_us / 1_000_000).unwrap_or(1);
        f64::from(self.sent) * f64::from(bytes) / f64::from(count) / f64::from(secs)
    }

    fn feed(&mut self, now: u64, at: usize, number: usize, arrival: Arrival, hops: u32) {
        let Some(flow) = self.numbers.get(&number).copied() else {
            return;
        };
        let packet = Packet {
            flow,
            segment: initial_syn(&flow),
            arrival,
            candidates: Vec::new(),
            hops,
            trace: 0,
            bytes: number,
        };
        let mut out = Vec::new();
        self.flows[at].on_packet(millis(now), packet, &mut out);
        self.carry_out(now, at, out);
    }

    fn carry_out(&mut self, now: u64, at: usize, actions: Vec<Action<usize>>) {
        for action in actions {
            match action {
                Action::Open { packet } => self.open(now, at, &packet),
                Action::Send {
                    to,
                    relay: Relay::Redirect,
                    packet,
                } => self.redirect(now, at, to, &packet),
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn open(&mut self, now: u64, at: usize, packet: &Packet<usize>) {
        self.flows[at].on_isn(&packet.flow, 1);
        self.flows[at].on_established(millis(now), &packet.flow);
        self.opened.push((packet.bytes, at));
    }

    fn redirect(&mut self, now: u64, from: usize, to: TargetId, packet: &Packet<usize>) {
        let Some(to) = self.position(to) else {
            return;
        };
        self.redirected += 1;
        let arrives = now + self.fleet.delay_us(from, to);
        let step = Step::Redirect {
            flow: packet.bytes,
            from,
            to,
            hops: packet.hops + 1,
        };
        self.steps.push((arrives, step));
    }

    fn report(&mut self, now: u64, from: usize) {
        let report = self.flows[from].load_report(millis(now));
        self.reports.push(report);
        let number = self.reports.len() - 1;
        for to in (0..self.flows.len()).filter(|to| *to != from) {
            self.sent += 1;
            let arrives = now + self.fleet.delay_us(from, to);
            self.steps
                .push((arrives, Step::Report { report: number, to }));
        }
    }

    fn position(&self, id: TargetId) -> Option<usize> {
        self.ids.iter().position(|other| *other == id)
    }
}

fn agent(
    record: &TargetRecord,
    records: &[TargetRecord],
    revision: &Revision,
    seed: u64,
) -> Flows<usize> {
    // The agents are past their cold start when the run begins.
    let limits = FlowLimits {
        ramp: Millis::ZERO,
        ..FlowLimits::default()
    };
    let mut flows = Flows::new(record.id, limits, seed);
    flows.set_group(record.group);
    flows.set_incarnation(record.incarnation);
    flows.set_services(revision);
    flows.set_slots(Millis::ZERO, record.slots);
    flows.set_state(Millis::ZERO, TargetState::Ready);
    flows.set_peers(Millis::ZERO, records);
    flows
}

fn initial_syn(flow: &FlowId) -> Segment {
    Segment {
        syn: true,
        seq: u32::from(flow.caller.port()),
        ..Segment::default()
    }
}

const fn millis(micros: u64) -> Millis {
    Millis(micros / 1_000)
}

fn record(at: usize, slots: u16, domain: usize) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(&format!("target-{at}")),
        group: GroupId::of("targets"),
        domain: DomainId::of(&format!("domain-{domain}")),
        agent: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        slots,
        state: TargetState::Ready,
        incarnation: 1,
        sequence: 1,
    }
}

fn revision() -> Revision {
    let service = Service {
        name: String::from("service"),
        addresses: vec![SERVICE],
        pool: String::from("pool"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = Pool {
        name: String::from("pool"),
        groups: vec![String::from("targets")],
        flows_per_target: None,
    };
    Revision {
        number: 1,
        epoch: 1,
        documents: Documents {
            services: vec![service],
            pools: vec![pool],
            rules: Vec::new(),
        },
    }
}
