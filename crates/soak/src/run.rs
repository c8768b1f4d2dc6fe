//! One run: drives processes, targets, callers and routers in a single loop.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;
use citronhollow_standin::config::{self, Route};
use citronhollow_standin::server::is_ready;
use citronhollow_standin::store::{Backup, Store};
use citronhollow_testkit::process::{Signal, binaries};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{MissedTickBehavior, interval};

use crate::bounds::{RECOVERY, REPORT_INTERVAL};
use crate::disturbances::Part;
use crate::fleet::{Fleet, ProcessEvent, SERVICES};
use crate::invariants::{Checker, Invariant, Version, Violation};
use crate::link::Link;
use crate::plan::{Action, LinkMode, Node, Plan, Shape};
use crate::router::Router;

mod callers;
mod host;
mod socket;
mod targets;

use callers::Caller;
use host::TargetHost;
use socket::{listen, receive};

/// Default number of processes in a run.
pub const SHAPE: Shape = Shape {
    balancers: 3,
    targets: 5,
};

/// Number of callers per target.
const CALLERS_PER_TARGET: usize = 5;

/// Interval of the main loop.
const TICK: Duration = Duration::from_millis(10);

/// Intervals between polls of the processes and between probes of a balancer. The platform's
/// routers probe at the same interval.
const POLL_INTERVAL: Millis = Millis(100);
const PROBE_INTERVAL: Millis = Millis(500);

/// Time between two ticks above which the soak process itself counts as stalled.
const STALL_THRESHOLD: Millis = Millis(400);

/// Time after the first start within which all balancers must be ready.
const START_TIMEOUT: Millis = Millis::from_secs(20);

/// Duration of the check at the end that every caller is served.
const RECOVERY_CHECK: Millis = Millis(3_000);

/// Retry delay of a drain announcement that was not acknowledged.
const ANNOUNCE_RETRY: Millis = Millis(400);

/// Routes: one whose service changes with every configuration, and one fixed route per service.
const ROUTES: [SampleRoute; 3] = [
    SampleRoute::new("board", 8_001, true),
    SampleRoute::new("card", 8_002, false),
    SampleRoute::new("sheet", 8_003, true),
];
const CHANGING_ROUTE: usize = 0;

struct SampleRoute {
    name: &'static str,
    port: u16,
    may_repeat: bool,
}

impl SampleRoute {
    const fn new(name: &'static str, port: u16, may_repeat: bool) -> Self {
        Self {
            name,
            port,
            may_repeat,
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of steps in the plan.
    pub steps: usize,
    /// Number of flows established at a target.
    pub opened: u64,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of flows that timed out at the caller.
    pub given_up: u64,
    /// Number of flows that were reset.
    pub resets: u64,
    /// Violations of invariants, in the order of observation.
    pub violations: Vec<Violation>,
}

/// An input to the main loop.
enum Input {
    /// A datagram received by the target with this number.
    ToTarget(usize, Bytes),
    /// A datagram received by the caller with this number.
    ToCaller(usize, Bytes),
    /// A target's heartbeat was answered or timed out.
    HeartbeatDone {
        target: usize,
        start: u32,
        state: TargetState,
        is_acknowledged: bool,
    },
    /// Result of a balancer's probe: whether it accepts packets.
    ProbeDone(usize, bool),
}

/// State of a run. Only the main loop changes it, so it needs no synchronization.
struct Run {
    shape: Shape,
    started: Instant,
    rng: SmallRng,
    fleet: Fleet,
    links: Vec<(Node, Link)>,
    store: Store,
    /// Last backup of the store.
    backup: Backup,
    router: Router,
    hosts: Vec<TargetHost>,
    callers: Vec<Caller>,
    checker: Checker,
    /// Number of configurations written so far.
    version: usize,
    next_request: u64,
    /// Drops one in this many datagrams from and to callers, none if zero.
    loss: u32,
    /// Time from which every caller must be served.
    recovered_at: Option<Millis>,
    inputs: UnboundedSender<Input>,
    next_poll: Millis,
    next_probe: Millis,
    last_tick: Millis,
    report: Report,
}

/// Runs a seed. Writes the logs and settings of the processes to `dir`.
///
/// # Errors
///
/// Returns an error if a socket, file or process cannot be created, or if the balancers do not
/// become ready.
pub async fn run_seed(seed: u64, shape: Shape, length: Millis, dir: &Path) -> io::Result<Report> {
    std::fs::create_dir_all(dir)?;
    // Builds the programs if necessary, before any timeout starts.
    binaries()?;
    let plan = Plan::draw(seed, shape, length);
    let (inputs, mut received) = mpsc::unbounded_channel();
    let mut run = Run::start(seed, shape, dir, inputs).await?;
    run.report.steps = plan.steps.len();
    let began = run.wait_until_ready(&mut received).await?;
    let recovered_at = began.after(plan.length).after(RECOVERY);
    run.recovered_at = Some(recovered_at);
    let mut steps = plan.steps.into_iter().peekable();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while run.now() < recovered_at.after(RECOVERY_CHECK) {
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                let now = run.now();
                while let Some((_, action)) = steps.next_if(|(at, _)| began.after(*at) <= now) {
                    run.apply(now, action)?;
                }
                run.on_tick(now)?;
            }
            Some(input) = received.recv() => run.on_input(input),
        }
    }
    run.report.violations = run.checker.violations().to_vec();
    Ok(run.report)
}

impl Run {
    async fn start(
        seed: u64,
        shape: Shape,
        dir: &Path,
        inputs: UnboundedSender<Input>,
    ) -> io::Result<Self> {
        let (store, address) = Store::start().await;
        let mut links = Vec::new();
        for node in shape.nodes() {
            links.push((node, Link::start(address).await?));
        }
        let link = |node| {
            let found = links.iter().find(|(of, _)| *of == node);
            found.map_or(address, |(_, link)| link.address)
        };
        let fleet = Fleet::new(dir, shape, link)?;
        let mut hosts = Vec::new();
        for target in 0..shape.targets {
            let socket = listen(fleet.target(target)).await?;
            receive(&socket, &inputs, move |bytes| {
                Input::ToTarget(target, bytes)
            });
            hosts.push(TargetHost::new(target, socket, &fleet));
        }
        let mut callers = Vec::new();
        for caller in 0..shape.targets * CALLERS_PER_TARGET {
            let socket = listen(fleet.caller(caller)).await?;
            receive(&socket, &inputs, move |bytes| {
                Input::ToCaller(caller, bytes)
            });
            callers.push(Caller::new(socket));
        }
        let report = Report {
            seed,
            steps: 0,
            opened: 0,
            answered: 0,
            given_up: 0,
            resets: 0,
            violations: Vec::new(),
        };
        let mut run = Self {
            shape,
            started: Instant::now(),
            rng: SmallRng::seed_from_u64(seed ^ 1),
            fleet,
            links,
            store,
            backup: Backup::default(),
            router: Router::new(shape.balancers),
            hosts,
            callers,
            checker: Checker::default(),
            version: 0,
            next_request: 1,
            loss: 0,
            recovered_at: None,
            inputs,
            next_poll: Millis::ZERO,
            next_probe: Millis::ZERO,
            last_tick: Millis::ZERO,
            report,
        };
        run.configure(Millis::ZERO);
        for node in shape.nodes() {
            run.fleet.start(node)?;
        }
        for target in 0..shape.targets {
            run.start_target(Millis::ZERO, target);
        }
        Ok(run)
    }

    fn now(&self) -> Millis {
        Millis::from(self.started.elapsed())
    }

    async fn wait_until_ready(
        &mut self,
        received: &mut UnboundedReceiver<Input>,
    ) -> io::Result<Millis> {
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick_hosts(self.now()),
                Some(input) = received.recv() => self.on_input(input),
            }
            let now = self.now();
            if now >= self.next_probe {
                self.probe(now);
            }
            if self.router.all_ready() {
                self.last_tick = now;
                return Ok(now);
            }
            if now >= START_TIMEOUT {
                return Err(io::Error::other("the balancers did not become ready"));
            }
        }
    }

    fn apply(&mut self, now: Millis, action: Action) -> io::Result<()> {
        match action {
            Action::Kill(node) => {
                self.begin(now, node);
                if self.fleet.kill(node)? {
                    // The kill ends a planned stop that was in progress.
                    self.checker.disturbances.end(now, Part::Node(node));
                }
            }
            Action::Start(node) => {
                self.fleet.start(node)?;
                self.end(now, node);
            }
            Action::Terminate(node) => {
                if self.fleet.terminate(now, node)? {
                    self.checker.disturbances.begin(Part::Node(node));
                }
            }
            Action::Pause(node) => {
                self.begin(now, node);
                self.fleet.signal(now, node, Signal::Stop)?;
            }
            Action::Resume(node) => {
                self.fleet.signal(now, node, Signal::Continue)?;
                self.end(now, node);
            }
            Action::Reload(node) => self.fleet.signal(now, node, Signal::Reload)?,
            Action::Link(node, mode) => {
                self.disturb_store(now, mode);
                let links = self.links.iter().filter(|(of, _)| *of == node);
                links.for_each(|(_, link)| link.set(mode));
            }
            Action::Links(mode) => {
                self.disturb_store(now, mode);
                self.links.iter().for_each(|(_, link)| link.set(mode));
            }
            Action::StoreRefuses(refuses) => {
                let mode = if refuses {
                    LinkMode::Refusing
                } else {
                    LinkMode::Open
                };
                self.disturb_store(now, mode);
                self.store.refuse(refuses.then_some(503));
            }
            Action::Compact => {
                self.checker.disturbances.mark(now, Part::Store);
                self.store.compact();
            }
            Action::BackUp => self.backup = self.store.backup(),
            Action::Restore => {
                self.store.restore(&self.backup);
                self.write_routes();
            }
            Action::DelayWrite(by) => {
                self.checker.disturbances.mark(now, Part::Store);
                self.store.delay_next(by.into());
            }
            Action::StepClock(target, ahead) => self.hosts[target].clock_ahead = ahead,
            Action::LateHeartbeat(target) => self.hosts[target].send_late_heartbeat(target),
            Action::LateLeave(target) => self.hosts[target].send_late_leave(),
            Action::Configure => self.configure(now),
            Action::CrashTarget(target) => self.hosts[target].end(),
            Action::StartTarget(target) => self.start_target(now, target),
            Action::DrainTarget(target) => self.hosts[target].leave(now),
            Action::Loss(one_in) => self.loss = one_in,
        }
        Ok(())
    }

    fn begin(&mut self, now: Millis, node: Node) {
        self.checker.disturbances.begin(Part::Node(node));
        if let Node::Agent(target) = node {
            let last_report = Millis(now.0.saturating_sub(REPORT_INTERVAL.0));
            self.hosts[target]
                .agent_silent_since
                .get_or_insert(last_report);
        }
    }

    fn end(&mut self, now: Millis, node: Node) {
        self.checker.disturbances.end(now, Part::Node(node));
        // A process that was killed while it was paused is resumed before it is back.
        if let Node::Agent(target) = node
            && self.fleet.is_running(node)
        {
            self.hosts[target].on_agent_back(now);
        }
    }

    fn disturb_store(&mut self, now: Millis, mode: LinkMode) {
        if mode == LinkMode::Open {
            self.checker.disturbances.end(now, Part::Store);
        } else {
            self.checker.disturbances.begin(Part::Store);
        }
    }

    /// Writes the next version. Each version switches the changing route to the other service.
    fn configure(&mut self, now: Millis) {
        self.version += 1;
        self.write_routes();
        self.checker.on_version(Version {
            since: now,
            service: self.version % SERVICES.len(),
        });
    }

    /// Writes the current version.
    fn write_routes(&self) {
        let service = self.version % SERVICES.len();
        let routes = ROUTES.iter().enumerate().map(|(number, route)| {
            let service = if number == CHANGING_ROUTE {
                service
            } else {
                fixed_service(number)
            };
            Route {
                name: String::from(route.name),
                address: service_address(route.port),
                is_idempotent: route.may_repeat,
                service: String::from(SERVICES[service]),
            }
        });
        let routes: Vec<_> = routes.collect();
        config::write(&self.store, self.version as u64, &routes, &SERVICES);
    }

    fn on_tick(&mut self, now: Millis) -> io::Result<()> {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            self.checker.disturbances.mark(now, Part::All);
        }
        self.last_tick = now;
        if now >= self.next_poll {
            self.next_poll = now.after(POLL_INTERVAL);
            for finding in self.fleet.poll(now)? {
                self.on_process_event(now, finding);
            }
        }
        if now >= self.next_probe {
            self.probe(now);
        }
        self.tick_hosts(now);
        for caller in 0..self.callers.len() {
            self.tick_caller(now, caller);
        }
        Ok(())
    }

    fn on_process_event(&mut self, now: Millis, finding: ProcessEvent) {
        match finding {
            ProcessEvent::Ended(node) => {
                self.checker.disturbances.begin(Part::Node(node));
                let what = format!("{node} exited on its own");
                self.checker.record(now, Invariant::Process, what);
            }
            ProcessEvent::Overdue(node) => {
                let what = format!("{node} did not exit within its grace period");
                self.checker.record(now, Invariant::Process, what);
            }
            ProcessEvent::Restarted(node) => self.checker.disturbances.end(now, Part::Node(node)),
        }
    }

    fn probe(&mut self, now: Millis) {
        self.next_probe = now.after(PROBE_INTERVAL);
        for balancer in 0..self.shape.balancers {
            let (at, inputs) = (self.fleet.probe(balancer), self.inputs.clone());
            tokio::spawn(async move {
                let is_ready = is_ready(at).await;
                // The receiver is dropped only at the end of the run.
                let _ = inputs.send(Input::ProbeDone(balancer, is_ready));
            });
        }
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0 && self.rng.random_ratio(1, self.loss)
    }

    fn on_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::ToTarget(target, bytes) => self.on_packet_to_target(now, target, &bytes),
            Input::ToCaller(number, bytes) => {
                if !self.is_lost() {
                    self.on_packet_to_caller(now, number, &bytes);
                }
            }
            Input::HeartbeatDone {
                target,
                start,
                state,
                is_acknowledged,
            } => {
                let host = &mut self.hosts[target];
                if host.starts == start && state == TargetState::Draining {
                    if is_acknowledged {
                        host.acknowledged.get_or_insert(now);
                    } else {
                        host.next_heartbeat = now.after(ANNOUNCE_RETRY);
                    }
                }
            }
            Input::ProbeDone(balancer, is_ready) => self.router.on_probe(balancer, is_ready),
        }
    }
}

/// Service of a fixed route.
const fn fixed_service(route: usize) -> usize {
    if route == 2 { 1 } else { 0 }
}

fn service_address(port: u16) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1], port))
}
