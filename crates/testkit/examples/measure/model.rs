//! Discrete-event simulation of time, message delay and busy slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use citronhollow_core::flow::FlowId;
use citronhollow_core::hash;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::agents::{Agents, Step};
use crate::arrivals::{Arrival, Workload};
use crate::policy::Policy;

/// Length of a run, in microseconds.
const LENGTH_US: u64 = 60_000_000;

/// Warm-up time before the first sample, in microseconds.
const WARM_UP_US: u64 = 10_000_000;

/// Time between two samples of the busy slots, in microseconds.
const SAMPLE_EVERY_US: u64 = 50_000;

/// Time between two ticks of the agents, in microseconds.
const TICK_EVERY_US: u64 = 10_000;

/// One-way delay of messages within a failure domain, in microseconds.
const LOCAL_DELAY_US: u64 = 300;

/// Time between two load reports for [`Policy::TwoChoices`], in microseconds.
const REPORT_EVERY_US: u64 = 250_000;

/// Targets of one service.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in the output table.
    pub name: &'static str,
    /// Slots of each target.
    pub slots: Vec<u16>,
    /// Number of failure domains, to which the targets are assigned round-robin.
    pub domains: usize,
    /// One-way delay between two failure domains, in microseconds.
    pub remote_delay_us: u64,
}

impl Fleet {
    /// Returns both users' services, and a pool of the design size whose targets differ in slots.
    pub fn all() -> Vec<Self> {
        let fleet = |name, slots: &[u16], domains, remote_delay_us| Self {
            name,
            slots: slots.to_vec(),
            domains,
            remote_delay_us,
        };
        vec![
            fleet("match desk", &[2; 7], 4, 5_000),
            fleet("draw office", &[2; 4], 4, 5_000),
            fleet("order tracking", &[7; 7], 3, 4_000),
            fleet("cutting sheets", &[7; 3], 3, 4_000),
            fleet("unlike targets", &[2, 2, 7, 7, 7], 2, 4_000),
        ]
    }

    /// One-way delay between the VMs of two targets, in microseconds.
    pub const fn delay_us(&self, from: usize, to: usize) -> u64 {
        if from % self.domains == to % self.domains {
            LOCAL_DELAY_US
        } else {
            self.remote_delay_us
        }
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest load of a target divided by the mean load, averaged over time.
    pub max_over_mean: f64,
    /// 99th percentile over time of the largest load divided by the mean load.
    pub p99_over_mean: f64,
    /// Number of refused flows.
    pub refused: f64,
    /// Number of redirects divided by the number of opened flows.
    pub redirected: f64,
    /// Mean control traffic sent per agent, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Samples: time in milliseconds, and the requests in progress at each target.
    pub series: Vec<(u64, Vec<u32>)>,
}

impl Outcome {
    /// Adds the contribution of one of `count` outcomes to a mean.
    pub fn add(&mut self, other: &Self, count: u64) {
        let share = 1.0 / f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        self.max_over_mean += other.max_over_mean * share;
        self.p99_over_mean += other.p99_over_mean * share;
        self.refused += other.refused * share;
        self.redirected += other.redirected * share;
        self.control_bytes_per_s += other.control_bytes_per_s * share;
    }
}

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Open(usize),
    Begin {
        flow: usize,
        target: usize,
        request: usize,
    },
    End {
        flow: usize,
        target: usize,
        request: usize,
    },
    Agents(Step),
    Tick,
    Report,
    Sample,
}

struct Run<'a> {
    fleet: &'a Fleet,
    policy: Policy,
    arrivals: Vec<Arrival>,
    agents: Agents<'a>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    busy: Vec<u32>,
    open: Vec<u32>,
    reported: Vec<u32>,
    opened: u64,
    ratios: Vec<f64>,
    series: Vec<(u64, Vec<u32>)>,
}

/// Simulates one policy under one arrival pattern.
pub fn simulate(fleet: &Fleet, workload: Workload, policy: Policy, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let slots = fleet.slots.iter().copied().map(u32::from).sum();
    let arrivals = workload.arrivals(slots, micros_to_millis(LENGTH_US), &mut rng);
    let count = fleet.slots.len();
    let mut run = Run {
        fleet,
        policy,
        agents: Agents::new(fleet, seed),
        rng,
        queue: BinaryHeap::new(),
        order: 0,
        busy: vec![0; count],
        open: vec![0; count],
        reported: vec![0; count],
        opened: 0,
        ratios: Vec::new(),
        series: Vec::new(),
        arrivals,
    };
    run.fill();
    while let Some(Reverse((now, _, event))) = run.queue.pop() {
        if now > LENGTH_US {
            break;
        }
        run.handle(now, event);
    }
    run.outcome()
}

impl Run<'_> {
    fn fill(&mut self) {
        for flow in 0..self.arrivals.len() {
            let at = millis_to_micros(self.arrivals[flow].at);
            self.push(at, Event::Open(flow));
        }
        self.push(0, Event::Tick);
        self.push(0, Event::Report);
        self.push(WARM_UP_US, Event::Sample);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Open(flow) => self.on_open(now, flow),
            Event::Begin {
                flow,
                target,
                request,
            } => self.on_begin(now, flow, target, request),
            Event::End {
                flow,
                target,
                request,
            } => self.on_end(now, flow, target, request),
            Event::Agents(step) => self.agents.on_step(now, step),
            Event::Tick => {
                self.agents.on_tick(now);
                self.push(now + TICK_EVERY_US, Event::Tick);
            }
            Event::Report => {
                self.reported.clone_from(&self.busy);
                self.push(now + REPORT_EVERY_US, Event::Report);
            }
            Event::Sample => self.on_sample(now),
        }
        self.take_from_agents(now);
    }

    fn on_open(&mut self, now: u64, flow: usize) {
        let id = flow_id(flow);
        let target = match self.policy {
            Policy::Agents => {
                self.agents.on_arrival(now, flow, id);
                return;
            }
            Policy::AllKnowing => self.least_loaded(),
            Policy::TwoChoices => self.better_of_two(),
            Policy::Table => self.agents.table_choice(&id),
            Policy::Hash => usize::try_from(id.hash() % self.busy.len() as u64).unwrap_or(0),
        };
        self.start(now, flow, target);
    }

    fn take_from_agents(&mut self, now: u64) {
        for (at, step) in self.agents.take_steps() {
            self.push(at, Event::Agents(step));
        }
        for (flow, target) in self.agents.take_opened() {
            self.start(now, flow, target);
        }
    }

    fn start(&mut self, now: u64, flow: usize, target: usize) {
        self.opened += 1;
        self.open[target] += 1;
        self.begin_at(now, flow, target, 0);
    }

    fn begin_at(&mut self, opened: u64, flow: usize, target: usize, request: usize) {
        let (start, _) = self.arrivals[flow].requests[request];
        let after = millis_to_micros(start);
        let base = if request == 0 {
            opened
        } else {
            self.opened_at(flow)
        };
        self.push(
            (base + after).max(opened),
            Event::Begin {
                flow,
                target,
                request,
            },
        );
    }

    fn opened_at(&self, flow: usize) -> u64 {
        millis_to_micros(self.arrivals[flow].at)
    }

    fn on_begin(&mut self, now: u64, flow: usize, target: usize, request: usize) {
        self.busy[target] += 1;
        self.agents.on_busy(target, flow, true);
        let (_, duration) = self.arrivals[flow].requests[request];
        let end = now + millis_to_micros(duration);
        self.push(
            end,
            Event::End {
                flow,
                target,
                request,
            },
        );
    }

    fn on_end(&mut self, now: u64, flow: usize, target: usize, request: usize) {
        self.busy[target] -= 1;
        self.agents.on_busy(target, flow, false);
        if request + 1 < self.arrivals[flow].requests.len() {
            self.begin_at(now, flow, target, request + 1);
        } else {
            self.open[target] -= 1;
            self.agents.on_closed(now, target, flow);
        }
    }

    fn on_sample(&mut self, now: u64) {
        let loads: Vec<f64> = (0..self.busy.len()).map(|at| self.load(at)).collect();
        let sum: f64 = loads.iter().sum();
        let max = loads.iter().copied().fold(0.0, f64::max);
        if sum > 0.0 {
            self.ratios.push(max * as_f64(loads.len()) / sum);
        }
        self.series.push((now / 1_000, self.busy.clone()));
        self.push(now + SAMPLE_EVERY_US, Event::Sample);
    }

    fn load(&self, target: usize) -> f64 {
        f64::from(self.busy[target]) / f64::from(self.fleet.slots[target])
    }

    /// Returns the target with the fewest requests in progress per slot. Ties are broken by open
    /// flows per slot, then at random.
    fn least_loaded(&mut self) -> usize {
        let count = self.busy.len();
        let first = self.rng.random_range(0..count);
        (0..count)
            .map(|step| (first + step) % count)
            .min_by(|a, b| {
                let key = |at: usize| {
                    let slots = f64::from(self.fleet.slots[at]);
                    let busy = f64::from(self.busy[at] + 1) / slots;
                    (busy, f64::from(self.open[at]) / slots)
                };
                let (a, b) = (key(*a), key(*b));
                a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
            .unwrap_or(0)
    }

    fn better_of_two(&mut self) -> usize {
        let a = self.rng.random_range(0..self.busy.len());
        let b = self.rng.random_range(0..self.busy.len());
        let load = |at: usize| f64::from(self.reported[at]) / f64::from(self.fleet.slots[at]);
        if load(a) <= load(b) { a } else { b }
    }

    fn outcome(mut self) -> Outcome {
        self.ratios.sort_by(f64::total_cmp);
        let count = self.ratios.len();
        let mean = self.ratios.iter().sum::<f64>() / as_f64(count.max(1));
        let p99 = self.ratios.get(count * 99 / 100).copied().unwrap_or(0.0);
        let opened = u32::try_from(self.opened.max(1)).unwrap_or(u32::MAX);
        Outcome {
            max_over_mean: mean,
            p99_over_mean: p99,
            refused: f64::from(self.agents.refused()),
            redirected: f64::from(self.agents.redirected()) / f64::from(opened),
            control_bytes_per_s: self.agents.control_bytes_per_s(LENGTH_US),
            series: self.series,
        }
    }
}

/// Returns the id of a flow; each flow has its own caller.
fn flow_id(flow: usize) -> FlowId {
    let number = u32::try_from(flow).unwrap_or(u32::MAX);
    let ip = 0x0a00_0000 | (number & 0x00ff_ffff);
    let port = hash::pair(u64::from(number), 1) % 60_000 + 1_024;
    FlowId {
        caller: SocketAddr::from((ip.to_be_bytes(), u16::try_from(port).unwrap_or(1_024))),
        service: crate::agents::SERVICE,
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn millis_to_micros(millis: f64) -> u64 {
    (millis * 1_000.0) as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "runs are far shorter than 2^53 microseconds"
)]
fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
