//! One run: processes, targets, callers and routers in one loop.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use citronhollow_core::members::TargetState;
use citronhollow_standin::config::{self, Route};
use citronhollow_standin::server::{self, Beat};
use citronhollow_standin::store::Store;
use citronhollow_testkit::process::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{MissedTickBehavior, interval};

use crate::bounds::{DRAIN, HEARTBEAT, LOST, RECOVERY, REPORTS, STABILITY};
use crate::calm::Part;
use crate::exchange::{Exchange, ExchangeEvent};
use crate::fleet::{Finding, Fleet, SERVICES, service_of};
use crate::link::Link;
use crate::plan::{Action, LinkMode, Node, Plan, Shape};
use crate::promises::{Broken, Judge, Opened, Promise, Version};
use crate::router::Router;
use crate::target::{Request, SLOTS, Target, TargetEvent};

/// Processes of a run.
pub const SHAPE: Shape = Shape {
    balancers: 3,
    targets: 5,
};

const CALLERS: usize = 24;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);

/// Time between two looks at processes, and between two probes of a balancer, as the platform's
/// routers make them.
const LOOK: Millis = Millis(100);
const PROBE: Millis = Millis(500);

/// A gap between two ticks that shows that this process itself was held up.
const STALL: Millis = Millis(400);

/// Time within which all balancers must be ready after the first start.
const START_WITHIN: Millis = Millis::from_secs(20);

/// Time at the end in which every caller must be served.
const JUDGED: Millis = Millis(3_000);

/// Time after its bound for which a target that leaves goes on.
const LINGER: Millis = Millis(500);

/// Time between the end of a target that left and its next start.
const TARGET_RESTART: Millis = Millis(300);

/// Time after which an announcement that was not acknowledged is repeated.
const ANNOUNCE_AGAIN: Millis = Millis(400);

/// Most requests of a flow, longest pause between two, and longest pause between two flows.
const REQUESTS: u32 = 30;
const PAUSE_MS: u64 = 400;

/// The routes: one whose service changes with every configuration, and one for each service.
const ROUTES: [(&str, u16, bool); 3] = [
    ("board", 8_001, true),
    ("card", 8_002, false),
    ("sheet", 8_003, true),
];
const CHANGING: usize = 0;

/// What a run has shown.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Steps of the plan.
    pub steps: usize,
    /// Flows that were opened at a target.
    pub opened: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Flows that were given up, and flows that were reset.
    pub given_up: u64,
    /// Flows that were reset.
    pub resets: u64,
    /// What is broken.
    pub broken: Vec<Broken>,
}

/// What comes from outside the loop.
enum Input {
    ToTarget(usize, Bytes),
    ToCaller(usize, Bytes),
    Beaten {
        target: usize,
        start: u32,
        state: TargetState,
        is_acknowledged: bool,
    },
    Probed(usize, bool),
}

struct Server {
    socket: Arc<UdpSocket>,
    agent: SocketAddr,
    heartbeats: SocketAddr,
    target: Option<Target>,
    starts: u32,
    born: u64,
    sequence: u64,
    next_beat: Millis,
    announced: Option<Millis>,
    acknowledged: Option<Millis>,
    start_at: Option<Millis>,
    /// When the agent beside it may have reported last, if it is not at work.
    agent_silent: Option<Millis>,
    /// When an agent that was silent for long was back.
    was_lost: Option<Millis>,
    is_overdue: bool,
}

struct Caller {
    socket: Arc<UdpSocket>,
    exchange: Option<Exchange>,
    route: usize,
    left: u32,
    next_at: Millis,
    /// The balancer that took the opening packet, and which of its starts.
    balancer: (usize, u32),
    next_port: u16,
}

struct World {
    started: Instant,
    rng: SmallRng,
    fleet: Fleet,
    links: Vec<(Node, Link)>,
    store: Store,
    router: Router,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    judge: Judge,
    version: usize,
    next_request: u64,
    loss: u32,
    recovered_at: Option<Millis>,
    inputs: UnboundedSender<Input>,
    next_look: Millis,
    next_probe: Millis,
    ticked: Millis,
    report: Report,
}

/// Plays a seed. Logs and settings of the processes are kept in `dir`.
///
/// # Errors
///
/// If a socket, a file or a process cannot be had.
pub async fn play(seed: u64, length: Millis, dir: &Path) -> io::Result<Report> {
    std::fs::create_dir_all(dir)?;
    let plan = Plan::draw(seed, SHAPE, length);
    let (inputs, mut received) = mpsc::unbounded_channel();
    let mut world = World::start(seed, dir, inputs).await?;
    world.report.steps = plan.steps.len();
    let began = world.wait_until_ready(&mut received).await?;
    let recovered_at = began.after(plan.length).after(RECOVERY);
    world.recovered_at = Some(recovered_at);
    let mut steps = plan.steps.into_iter().peekable();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while world.now() < recovered_at.after(JUDGED) {
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                let now = world.now();
                while let Some((_, action)) = steps.next_if(|(at, _)| began.after(*at) <= now) {
                    world.act(now, action)?;
                }
                world.on_tick(now)?;
            }
            Some(input) = received.recv() => world.on_input(input),
        }
    }
    world.report.broken = world.judge.broken().to_vec();
    Ok(world.report)
}

impl World {
    async fn start(seed: u64, dir: &Path, inputs: UnboundedSender<Input>) -> io::Result<Self> {
        let (store, address) = Store::start().await;
        let mut links = Vec::new();
        for node in SHAPE.nodes() {
            links.push((node, Link::start(address).await?));
        }
        let link = |node| {
            let found = links.iter().find(|(of, _)| *of == node);
            found.map_or(address, |(_, link)| link.address)
        };
        let fleet = Fleet::new(dir, SHAPE, link)?;
        let mut servers = Vec::new();
        for target in 0..SHAPE.targets {
            let socket = listen(fleet.target(target)).await?;
            receive(&socket, &inputs, move |bytes| {
                Input::ToTarget(target, bytes)
            });
            servers.push(Server::new(target, socket, &fleet));
        }
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
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
            broken: Vec::new(),
        };
        let mut world = Self {
            started: Instant::now(),
            rng: SmallRng::seed_from_u64(seed ^ 1),
            fleet,
            links,
            store,
            router: Router::new(SHAPE.balancers),
            servers,
            callers,
            judge: Judge::default(),
            version: 0,
            next_request: 1,
            loss: 0,
            recovered_at: None,
            inputs,
            next_look: Millis::ZERO,
            next_probe: Millis::ZERO,
            ticked: Millis::ZERO,
            report,
        };
        world.configure(Millis::ZERO);
        for node in SHAPE.nodes() {
            world.fleet.start(node)?;
        }
        for target in 0..SHAPE.targets {
            world.start_target(Millis::ZERO, target);
        }
        Ok(world)
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
                _ = ticks.tick() => self.look_after_servers(self.now()),
                Some(input) = received.recv() => self.on_input(input),
            }
            let now = self.now();
            if now >= self.next_probe {
                self.probe(now);
            }
            if self.router.all_ready() {
                self.ticked = now;
                return Ok(now);
            }
            if now >= START_WITHIN {
                return Err(io::Error::other("the balancers did not become ready"));
            }
        }
    }

    fn act(&mut self, now: Millis, action: Action) -> io::Result<()> {
        match action {
            Action::Kill(node) => {
                self.begin(now, node);
                self.fleet.kill(node)?;
            }
            Action::Start(node) => {
                self.fleet.start(node)?;
                self.end(now, node);
            }
            Action::Terminate(node) => {
                if self.fleet.terminate(now, node)? {
                    self.judge.calm.begin(Part::Node(node));
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
                self.judge.calm.hit(now, Part::Store);
                self.store.compact();
            }
            Action::Configure => self.configure(now),
            Action::CrashTarget(target) => self.servers[target].end(),
            Action::StartTarget(target) => self.start_target(now, target),
            Action::DrainTarget(target) => self.servers[target].leave(now),
            Action::Loss(one_in) => self.loss = one_in,
        }
        Ok(())
    }

    fn begin(&mut self, now: Millis, node: Node) {
        self.judge.calm.begin(Part::Node(node));
        if let Node::Agent(target) = node {
            let last_report = Millis(now.0.saturating_sub(REPORTS.0));
            self.servers[target].agent_silent.get_or_insert(last_report);
        }
    }

    fn end(&mut self, now: Millis, node: Node) {
        self.judge.calm.end(now, Part::Node(node));
        if let Node::Agent(target) = node {
            self.servers[target].on_agent_back(now);
        }
    }

    fn disturb_store(&mut self, now: Millis, mode: LinkMode) {
        if mode == LinkMode::Open {
            self.judge.calm.end(now, Part::Store);
        } else {
            self.judge.calm.begin(Part::Store);
        }
    }

    /// Writes the next version. The route that changes goes to the other service with each.
    fn configure(&mut self, now: Millis) {
        self.version += 1;
        let service = self.version % SERVICES.len();
        let routes = ROUTES.iter().enumerate().map(|(number, route)| {
            let (name, port, is_idempotent) = *route;
            let service = if number == CHANGING {
                service
            } else {
                fixed_service(number)
            };
            Route {
                name: String::from(name),
                address: service_address(port),
                is_idempotent,
                service: String::from(SERVICES[service]),
            }
        });
        let routes: Vec<_> = routes.collect();
        config::write(&self.store, self.version as u64, &routes, &SERVICES);
        self.judge.on_version(Version {
            since: now,
            service,
        });
    }

    fn start_target(&mut self, now: Millis, target: usize) {
        let seed = self.rng.random();
        self.servers[target].start(now, seed);
    }

    fn on_tick(&mut self, now: Millis) -> io::Result<()> {
        if now.since(self.ticked) > STALL {
            self.judge.calm.hit(now, Part::All);
        }
        self.ticked = now;
        if now >= self.next_look {
            self.next_look = now.after(LOOK);
            for finding in self.fleet.look(now)? {
                self.on_finding(now, finding);
            }
        }
        if now >= self.next_probe {
            self.probe(now);
        }
        self.look_after_servers(now);
        for caller in 0..self.callers.len() {
            self.look_after_caller(now, caller);
        }
        Ok(())
    }

    fn on_finding(&mut self, now: Millis, finding: Finding) {
        match finding {
            Finding::Ended(node) => {
                self.judge.calm.begin(Part::Node(node));
                let what = format!("{node} has ended by itself");
                self.judge.note(now, Promise::Process, what);
            }
            Finding::Overdue(node) => {
                let what = format!("{node} did not end within its grace");
                self.judge.note(now, Promise::Process, what);
            }
            Finding::Restarted(node) => self.judge.calm.end(now, Part::Node(node)),
        }
    }

    fn probe(&mut self, now: Millis) {
        self.next_probe = now.after(PROBE);
        for balancer in 0..SHAPE.balancers {
            let (at, inputs) = (self.fleet.probe(balancer), self.inputs.clone());
            tokio::spawn(async move {
                let is_ready = server::is_ready(at).await;
                // The receiver is gone only when the run has ended.
                let _ = inputs.send(Input::Probed(balancer, is_ready));
            });
        }
    }

    fn look_after_servers(&mut self, now: Millis) {
        for target in 0..self.servers.len() {
            let server = &mut self.servers[target];
            if server.start_at.is_some_and(|at| now >= at) {
                self.start_target(now, target);
            }
            let server = &mut self.servers[target];
            for packet in server.take_due(now) {
                server.send(&packet);
            }
            server.look_after_leaving(now);
            if let (Some(since), None) = (server.announced, server.acknowledged)
                && !server.is_overdue
            {
                let before = self.judge.broken().len();
                self.judge.on_unacknowledged(now, target, since);
                self.servers[target].is_overdue = self.judge.broken().len() > before;
            }
            self.servers[target].beat(now, target, &self.inputs);
        }
    }

    fn look_after_caller(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        let Some(exchange) = &mut caller.exchange else {
            if now >= caller.next_at {
                self.open(now, number);
            }
            return;
        };
        let (packet, event) = exchange.on_tick(now);
        if let Some(packet) = packet {
            self.route(number, &packet);
        }
        if let Some(event) = event {
            self.on_exchange(now, number, event);
        }
        let caller = &mut self.callers[number];
        let is_idle = caller.exchange.as_ref().is_some_and(Exchange::is_idle);
        if is_idle && now >= caller.next_at {
            self.ask(now, number);
        }
    }

    fn open(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        caller.next_port = caller.next_port.wrapping_add(1).max(1_024);
        caller.route = self.rng.random_range(0..ROUTES.len());
        caller.left = self.rng.random_range(1..=REQUESTS);
        let flow = FlowId {
            caller: SocketAddr::new(self.fleet.caller(number).ip(), caller.next_port),
            service: service_address(ROUTES[caller.route].1),
        };
        let exchange = Exchange::new(now, flow, self.rng.random());
        let opening = exchange.opening();
        caller.exchange = Some(exchange);
        let balancer = self.router.choose(&flow);
        let start = self.fleet.starts(Node::Balancer(balancer));
        self.callers[number].balancer = (balancer, start);
        self.route(number, &opening);
    }

    fn ask(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        let Some(exchange) = &mut caller.exchange else {
            return;
        };
        let packet = if caller.left == 0 {
            exchange.close()
        } else {
            caller.left -= 1;
            let request = Request {
                id: self.next_request,
                may_repeat: ROUTES[caller.route].2,
            };
            self.next_request += 1;
            exchange.ask(now, request)
        };
        let is_over = exchange.is_over;
        self.route(number, &packet);
        if is_over {
            self.on_exchange(now, number, ExchangeEvent::Closed);
        }
    }

    /// Sends a caller's packet to the balancer that the routers choose.
    fn route(&mut self, number: usize, packet: &Bytes) {
        if self.is_lost() {
            return;
        }
        let caller = &self.callers[number];
        if let Some(exchange) = &caller.exchange {
            let balancer = self.router.choose(&exchange.flow);
            send(&caller.socket, packet, self.fleet.fabric(balancer));
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
            Input::Beaten {
                target,
                start,
                state,
                is_acknowledged,
            } => {
                let server = &mut self.servers[target];
                if server.starts == start && state == TargetState::Draining {
                    if is_acknowledged {
                        server.acknowledged.get_or_insert(now);
                    } else {
                        server.next_beat = now.after(ANNOUNCE_AGAIN);
                    }
                }
            }
            Input::Probed(balancer, is_ready) => self.router.on_probe(balancer, is_ready),
        }
    }

    fn on_packet_to_target(&mut self, now: Millis, target: usize, bytes: &Bytes) {
        let Some(machine) = &mut self.servers[target].target else {
            return;
        };
        let mut events = Vec::new();
        machine.on_packet(now, bytes, &mut events);
        for event in events {
            match event {
                TargetEvent::Send(bytes) => self.servers[target].send(&bytes),
                TargetEvent::Opened(flow) => self.on_opened(now, target, &flow),
                TargetEvent::Runs(request) => {
                    self.judge.on_run(now, request.id, request.may_repeat);
                }
                TargetEvent::Changed(flow) => {
                    let what = format!("target {target} gets a changed packet of {flow:?}");
                    self.judge.note(now, Promise::Whole, what);
                }
            }
        }
    }

    fn on_opened(&mut self, now: Millis, target: usize, flow: &FlowId) {
        let of_flow = |caller: &&Caller| {
            let exchange = caller.exchange.as_ref();
            exchange.is_some_and(|exchange| exchange.flow == *flow)
        };
        // A caller that has given up in the meantime judges nothing.
        let Some(caller) = self.callers.iter().find(of_flow) else {
            return;
        };
        let Some(exchange) = &caller.exchange else {
            return;
        };
        self.report.opened += 1;
        let opened = Opened {
            sent: exchange.opened,
            was_repeated: exchange.copies > 0,
            balancer: caller.balancer,
            target,
            service: service_of(target),
            leaving_since: self.servers[target].acknowledged,
        };
        let route = caller.route;
        self.judge.on_opened_while_leaving(now, &opened);
        if route == CHANGING {
            self.judge.on_opened(now, opened);
        } else if fixed_service(route) != opened.service {
            let what = format!("a flow of {} comes to target {target}", ROUTES[route].0);
            self.judge.note(now, Promise::Service, what);
        }
    }

    fn on_packet_to_caller(&mut self, now: Millis, number: usize, bytes: &Bytes) {
        let Some(exchange) = &mut self.callers[number].exchange else {
            return;
        };
        let Ok(citronhollow_adapter::packet::FromTarget::ToCaller(packet)) =
            citronhollow_adapter::packet::from_target(bytes.clone())
        else {
            return;
        };
        if packet.flow != exchange.flow {
            // A late packet of an earlier flow of this caller.
            return;
        }
        if let Some(event) = exchange.on_packet(bytes) {
            self.on_exchange(now, number, event);
        }
    }

    fn on_exchange(&mut self, now: Millis, number: usize, event: ExchangeEvent) {
        let pause = Millis(self.rng.random_range(0..PAUSE_MS));
        match event {
            ExchangeEvent::Accepted => {
                self.callers[number].next_at = now;
                self.ask(now, number);
                return;
            }
            ExchangeEvent::Answered(_) => {
                self.report.answered += 1;
                self.callers[number].next_at = now.after(pause);
                return;
            }
            ExchangeEvent::Wrong => {
                let what = format!("caller {number} gets a wrong packet or answer");
                self.judge.note(now, Promise::Whole, what);
                return;
            }
            ExchangeEvent::Reset(was_open) => {
                self.report.resets += 1;
                if was_open {
                    self.judge_reset(now, number);
                }
                self.judge_recovery(now, number, "was reset");
            }
            ExchangeEvent::GaveUp => {
                self.report.given_up += 1;
                self.judge_recovery(now, number, "was not answered");
            }
            ExchangeEvent::Closed => {}
        }
        let caller = &mut self.callers[number];
        caller.exchange = None;
        caller.next_at = now.after(pause);
    }

    fn judge_reset(&mut self, now: Millis, number: usize) {
        let Some(exchange) = &self.callers[number].exchange else {
            return;
        };
        let flow = exchange.flow;
        let holder = self.servers.iter().position(|server| server.holds(&flow));
        if let Some(target) = holder
            && !self.servers[target].seemed_lost(now)
        {
            let what = format!("target {target} holds {flow:?}, which is reset");
            self.judge.note(now, Promise::NoReset, what);
        }
    }

    fn judge_recovery(&mut self, now: Millis, number: usize, what: &str) {
        if self.recovered_at.is_some_and(|at| now >= at) {
            let route = ROUTES[self.callers[number].route].0;
            let what = format!("caller {number} of {route} {what}");
            self.judge.note(now, Promise::Recovery, what);
        }
    }
}

impl Server {
    fn new(target: usize, socket: Arc<UdpSocket>, fleet: &Fleet) -> Self {
        Self {
            socket,
            agent: fleet.from_target(target),
            heartbeats: fleet.heartbeats(target),
            target: None,
            starts: 0,
            born: 0,
            sequence: 0,
            next_beat: Millis::ZERO,
            announced: None,
            acknowledged: None,
            start_at: None,
            agent_silent: None,
            was_lost: None,
            is_overdue: false,
        }
    }

    fn start(&mut self, now: Millis, seed: u32) {
        self.start_at = None;
        if self.target.is_some() {
            return;
        }
        self.target = Some(Target::new(seed));
        self.starts += 1;
        (self.announced, self.acknowledged, self.is_overdue) = (None, None, false);
        self.sequence = 0;
        self.next_beat = now;
        // Two starts are never in the same millisecond, as on the platform.
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = time_of_day.map_or(0, |time| time.as_millis());
        self.born = u64::try_from(millis).unwrap_or(u64::MAX).max(self.born + 1);
    }

    fn end(&mut self) {
        self.target = None;
        (self.announced, self.acknowledged) = (None, None);
    }

    fn leave(&mut self, now: Millis) {
        if let Some(target) = &mut self.target
            && self.announced.is_none()
        {
            target.state = TargetState::Draining;
            self.announced = Some(now);
            self.next_beat = now;
        }
    }

    /// A target that leaves goes on for its bound after the acknowledgement, or ends without one.
    fn look_after_leaving(&mut self, now: Millis) {
        let waits = DRAIN.after(LINGER);
        let acknowledged = self.acknowledged.map(|since| since.after(waits));
        let unheard = self
            .announced
            .map(|since| since.after(waits).after(STABILITY));
        let is_due = |at: Option<Millis>| at.is_some_and(|at| now >= at);
        if !is_due(acknowledged) && !is_due(unheard) {
            return;
        }
        let (heartbeats, name) = (self.heartbeats, self.name());
        // Whether the last word is acknowledged is of no interest to a target that ends anyway.
        tokio::spawn(async move { server::goodbye(heartbeats, &name).await });
        self.end();
        self.start_at = Some(now.after(TARGET_RESTART));
    }

    fn beat(&mut self, now: Millis, number: usize, inputs: &UnboundedSender<Input>) {
        let Some(target) = &self.target else {
            return;
        };
        if now < self.next_beat {
            return;
        }
        self.next_beat = now.after(HEARTBEAT);
        self.sequence += 1;
        let (to, name, inputs) = (self.heartbeats, self.name(), inputs.clone());
        let (start, born, sequence, state) = (self.starts, self.born, self.sequence, target.state);
        tokio::spawn(async move {
            let beat = Beat {
                name: &name,
                service: SERVICES[service_of(number)],
                born,
                sequence,
                state,
                slots: SLOTS,
            };
            let is_acknowledged = beat.send(to).await;
            // The receiver is gone only when the run has ended.
            let _ = inputs.send(Input::Beaten {
                target: number,
                start,
                state,
                is_acknowledged,
            });
        });
    }

    fn name(&self) -> String {
        format!("i-{}", self.starts)
    }

    fn send(&self, packet: &Bytes) {
        send(&self.socket, packet, self.agent);
    }

    fn take_due(&mut self, now: Millis) -> Vec<Bytes> {
        let target = self.target.as_mut();
        target.map_or_else(Vec::new, |target| target.take_due(now))
    }

    fn holds(&self, flow: &FlowId) -> bool {
        self.target
            .as_ref()
            .is_some_and(|target| target.holds(flow))
    }

    fn on_agent_back(&mut self, now: Millis) {
        if let Some(since) = self.agent_silent.take()
            && now.since(since) >= LOST
        {
            self.was_lost = Some(now);
        }
    }

    /// Whether its agent is or was silent for so long that balancers take the machine for lost.
    fn seemed_lost(&self, now: Millis) -> bool {
        let is_lost = |since: Millis| now.since(since) >= LOST;
        let was_lost = |back: Millis| now.since(back) < STABILITY;
        self.agent_silent.is_some_and(is_lost) || self.was_lost.is_some_and(was_lost)
    }
}

impl Caller {
    const fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            exchange: None,
            route: 0,
            left: 0,
            next_at: Millis::ZERO,
            balancer: (0, 0),
            next_port: 20_000,
        }
    }
}

/// Service of a route that never changes.
const fn fixed_service(route: usize) -> usize {
    if route == 2 { 1 } else { 0 }
}

fn service_address(port: u16) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1], port))
}

async fn listen(at: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(at).await?))
}

/// Sends a datagram, which is lost like any other if the system's buffers are full.
fn send(socket: &UdpSocket, packet: &Bytes, to: SocketAddr) {
    let _ = socket.try_send_to(packet, to);
}

/// Passes on what a socket receives until the run ends.
fn receive(
    socket: &Arc<UdpSocket>,
    inputs: &UnboundedSender<Input>,
    input: impl Fn(Bytes) -> Input + Send + 'static,
) {
    let (socket, inputs) = (Arc::clone(socket), inputs.clone());
    tokio::spawn(async move {
        let mut buf = [0; 2_048];
        loop {
            // An error here is the answer of a process that is away to an earlier datagram.
            if let Ok((len, _)) = socket.recv_from(&mut buf).await {
                let bytes = Bytes::copy_from_slice(&buf[..len]);
                if inputs.send(input(bytes)).is_err() {
                    return;
                }
            }
        }
    });
}
