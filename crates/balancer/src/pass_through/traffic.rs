//! The traffic thread of a balancer: handles packets of callers and messages of agents and other
//! balancers.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronhollow_adapter::packet;
use citronhollow_core::clock::Millis;
use citronhollow_core::id::{DomainId, TargetId};
use citronhollow_core::pass_through::{
    Balancer, BalancerAction, BalancerLimits, Contacts, Offer, Report,
};
use citronhollow_core::unusable::UnusableInputs;
use citronhollow_operator::decisions::{self, Decision, DecisionLog};
use citronhollow_operator::exposition;
use citronhollow_peer::datagram::{Datagrams, MessageSocket, log_unusable};
use citronhollow_peer::message::{Hello, TargetReport, TargetReports};
use citronhollow_peer::{
    Body, Envelope, Keyring, addr_to_bytes, pass_through, process_addr_from_bytes,
};
use prometheus::{IntGauge, Registry};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::link::{Command, Event, Shared};
use super::settings::Settings;

/// Interval of the timers in the forwarding decisions.
const TICK: Duration = Duration::from_millis(25);

/// Interval of hellos to other balancers. They carry the revision number, so a revision spreads at
/// this pace while the platform is unavailable.
const BALANCER_HELLO_INTERVAL: Millis = Millis::from_secs(1);

/// Interval of hellos to agents, which drop a balancer that stays silent for too long.
const AGENT_HELLO_INTERVAL: Millis = Millis::from_secs(4);

/// Interval of hellos to agents that have fallen silent and do not count as lost yet, which they
/// answer with a report.
const DOUBT_HELLO_INTERVAL: Millis = Millis(300);

/// Agents that get such a hello per interval. If more are silent, lost reports are not the reason.
const DOUBT_HELLOS_MAX: usize = 32;

/// Balancers that get a hello per interval. With 16, a revision reaches 1,800 balancers in three
/// rounds.
const HELLO_FANOUT: usize = 16;

/// Other balancers listed in a hello.
const HELLO_BALANCERS_MAX: usize = 4;

/// Target reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 16;

/// Capacity of the flow table, at about 100 bytes per flow.
const FLOWS_MAX: usize = 200_000;

/// Concurrent searches. Each buffers a few packets.
const SEARCHES_MAX: usize = 4_096;

/// Packets buffered per search: as many as a caller may have in flight.
const SEARCH_PACKETS_MAX: usize = 16;

/// State of the traffic thread.
pub(super) struct Traffic {
    own_addr: SocketAddr,
    domain: DomainId,
    /// Port on which callers' machines receive packets.
    caller_port: u16,
    fabric: Datagrams,
    peers: MessageSocket,
    started: Instant,
    balancer: Balancer<Bytes>,
    /// Known addresses of other balancers.
    contacts: Contacts,
    next_balancer_hello: Millis,
    next_agent_hello: Millis,
    next_doubt_hello: Millis,
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    /// Time of the last request for the list of targets.
    list_requests: watch::Sender<Option<Millis>>,
    actions: Vec<BalancerAction<Bytes>>,
    decisions: DecisionLog,
    gauges: Gauges,
    unusable: Arc<UnusableInputs>,
}

/// Gauges that the metrics page shows.
struct Gauges {
    revision: IntGauge,
    targets: IntGauge,
    flows: IntGauge,
}

impl Gauges {
    fn new(registry: &Registry) -> Self {
        let gauge = |name, help| exposition::gauge(registry, name, help);
        Self {
            revision: gauge("citronhollow_revision", "Revision in force"),
            targets: gauge("citronhollow_targets", "Targets that are not gone"),
            flows: gauge("citronhollow_flows", "Flows that are remembered"),
        }
    }
}

impl Traffic {
    /// Binds the sockets. Must be called within the thread's runtime.
    pub(super) fn bind(
        settings: &Settings,
        keys: Keyring,
        started: Instant,
        (shared, unusable): (Arc<Shared>, Arc<UnusableInputs>),
        (events, list_requests): (UnboundedSender<Event>, watch::Sender<Option<Millis>>),
        (decisions, registry): (DecisionLog, &Registry),
    ) -> io::Result<Self> {
        let limits = BalancerLimits {
            flows: FLOWS_MAX,
            flow_timeout: settings.flow_life_s.millis(),
            searches: SEARCHES_MAX,
            search_packets: SEARCH_PACKETS_MAX,
        };
        let domain = DomainId::of(&settings.domain);
        Ok(Self {
            own_addr: settings.peer_listen,
            domain,
            caller_port: settings.fabric_listen.port(),
            fabric: Datagrams::bind(settings.fabric_listen)?,
            peers: MessageSocket::bind(settings.peer_listen, keys)?
                .counting_unusable(Arc::clone(&unusable)),
            started,
            balancer: Balancer::new(Millis::ZERO, domain, limits, rand::random()),
            contacts: Contacts::default(),
            next_balancer_hello: Millis::ZERO,
            next_agent_hello: Millis::ZERO,
            next_doubt_hello: Millis::ZERO,
            shared,
            events,
            list_requests,
            actions: Vec::new(),
            decisions,
            gauges: Gauges::new(registry),
            unusable,
        })
    }

    /// Runs until the control thread stops it.
    pub(super) async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Stop) | None => return,
                    Some(command) => self.on_command(command),
                },
                _ = ticks.tick() => self.on_tick(),
                _ = self.peers.readable() => self.read_peers(),
                _ = self.fabric.readable() => self.read_fabric(),
            }
        }
    }

    fn now(&self) -> Millis {
        Millis::from(self.started.elapsed())
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Revision(revision) => {
                if self.balancer.set_revision(&revision) {
                    log::info!("config: revision {} is in force", revision.number);
                    let decision = Decision::new(decisions::Event::RevisionInForce);
                    self.decisions.write(decision.revision(revision.number));
                    self.send_balancer_hellos();
                }
            }
            Command::Balancers(addrs) => self.send_hello_to_new(&addrs),
            Command::Agents {
                listed,
                is_complete,
                requested_at,
            } => self.on_listed(&listed, is_complete, requested_at),
            Command::InvalidateLists => self.balancer.invalidate_lists(self.now()),
            Command::ActiveProcesses(age, reply) => {
                // The requester may have given up.
                let _ = reply.send(self.active_processes(age));
            }
            Command::Stop => {}
        }
    }

    /// Processes that sent a message within `age`, `None` while this balancer may be isolated.
    fn active_processes(&self, age: Millis) -> Option<HashSet<SocketAddr>> {
        let now = self.now();
        let mut active = self.balancer.active_agents(now, age)?;
        active.extend(self.contacts.active(now, age));
        active.insert(self.own_addr);
        Some(active)
    }

    /// Sends a hello to every listed agent that has not reported here.
    fn on_listed(
        &mut self,
        listed: &[(TargetId, SocketAddr)],
        is_complete: bool,
        requested_at: Option<Millis>,
    ) {
        let now = self.now();
        if is_complete {
            self.balancer.set_listed(now, listed);
        }
        if let Some(requested_at) = requested_at {
            self.decide(|balancer, out| {
                balancer.on_requested_list(now, requested_at, listed, out);
            });
        }
        let hello = self.hello(false);
        for (target, agent) in listed {
            if !self.balancer.has_reported(*target) {
                self.peers.send(&hello, *agent);
            }
        }
    }

    /// Sends a hello to balancers that were unknown, and requests their target reports.
    fn send_hello_to_new(&mut self, addrs: &[SocketAddr]) {
        let now = self.now();
        for &addr in addrs {
            if addr != self.own_addr && self.contacts.on_advertised(now, addr) {
                self.peers.send(&self.hello(true), addr);
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.decide(|balancer, out| balancer.on_tick(now, out));
        let is_ready = self.balancer.is_ready(now);
        self.shared.is_ready.store(is_ready, Ordering::Relaxed);
        if now >= self.next_balancer_hello {
            self.next_balancer_hello = now.after(BALANCER_HELLO_INTERVAL);
            self.update_gauges();
            self.send_balancer_hellos();
            self.send_hello_to_silent();
        }
        if now >= self.next_doubt_hello {
            self.next_doubt_hello = now.after(DOUBT_HELLO_INTERVAL);
            self.ask_agents_in_doubt();
        }
        if now >= self.next_agent_hello {
            self.next_agent_hello = now.after(AGENT_HELLO_INTERVAL);
            self.send_agent_hellos();
        }
    }

    fn update_gauges(&self) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let revision = i64::try_from(self.balancer.revision());
        self.gauges.revision.set(revision.unwrap_or(i64::MAX));
        self.gauges
            .targets
            .set(count(self.balancer.reports().count()));
        self.gauges.flows.set(count(self.balancer.flow_count()));
    }

    fn send_balancer_hellos(&mut self) {
        self.contacts.remove_inactive(self.now());
        let hello = self.hello(false);
        for addr in self.contacts.sample(HELLO_FANOUT, &mut rand::rng()) {
            self.peers.send(&hello, addr);
        }
    }

    /// Repeats the hello to agents that do not report, in case it was lost or another start of the
    /// agent has not received it.
    fn send_hello_to_silent(&mut self) {
        let now = self.now();
        let unreported = self.balancer.unreported_agents(now);
        let hello = self.hello(false);
        for agent in unreported.chain(self.balancer.silent_agents(now)) {
            self.peers.send(&hello, agent);
        }
    }

    /// Asks agents whose reports are missing for another one, before they count as lost: their
    /// reports may be lost on the way.
    fn ask_agents_in_doubt(&mut self) {
        let in_doubt = self.balancer.agents_in_doubt(self.now());
        let in_doubt: Vec<_> = in_doubt.take(DOUBT_HELLOS_MAX).collect();
        if in_doubt.is_empty() {
            return;
        }
        let hello = self.hello(true);
        for agent in in_doubt {
            self.peers.send(&hello, agent);
        }
    }

    fn send_agent_hellos(&mut self) {
        let hello = self.hello(false);
        for agent in self.balancer.agents() {
            self.peers.send(&hello, agent);
        }
    }

    fn hello(&self, wants_reports: bool) -> Envelope {
        let others = self
            .contacts
            .sample_active(self.now(), HELLO_BALANCERS_MAX, &mut rand::rng());
        Envelope::from(Body::Hello(Hello {
            balancer: addr_to_bytes(self.own_addr),
            revision: self.balancer.revision(),
            wants_reports,
            others: others.into_iter().map(addr_to_bytes).collect(),
            domain: self.domain.0,
            store_era: self.shared.store_era.load(Ordering::Relaxed),
        }))
    }

    fn read_fabric(&mut self) {
        let now = self.now();
        for (bytes, _) in self.fabric.read() {
            match packet::from_caller(bytes) {
                Ok(caller) => {
                    self.shared.on_packet(now);
                    self.decide(|balancer, out| {
                        balancer.on_packet(now, caller.packet, caller.repeats, out);
                    });
                }
                Err(err) => log::debug!("traffic: packet dropped: {err}"),
            }
        }
    }

    fn read_peers(&mut self) {
        for (envelope, from) in self.peers.read() {
            self.on_message(envelope, from);
        }
    }

    fn on_message(&mut self, envelope: Envelope, from: SocketAddr) {
        let now = self.now();
        match envelope.body {
            Some(Body::TargetReport(message)) => {
                if let Some(report) = self.decoded(&message, from)
                    && self.balancer.on_report(now, report)
                {
                    // It lists other balancers, to which the agent may be unknown as well.
                    self.peers.send(&self.hello(false), report.agent);
                }
            }
            Some(Body::Reject(reject)) => {
                let (target, rejected) = (
                    TargetId(reject.target),
                    pass_through::rejected_from_message(&reject),
                );
                match packet::from_caller(reject.packet) {
                    Ok(caller) => self.decide(|balancer, out| {
                        balancer.on_reject(now, target, rejected, caller.packet, out);
                    }),
                    Err(err) => log_unusable(&self.unusable, from, "packet", &err),
                }
            }
            Some(Body::Reply(reply)) => {
                let flow = pass_through::flow_from_message(&reply.caller, &reply.service);
                let holding = pass_through::holding_from_message(&reply);
                match (flow, holding) {
                    (Ok(flow), Some(holding)) => self.decide(|balancer, out| {
                        balancer.on_reply(now, TargetId(reply.sender), flow, holding, out);
                    }),
                    (Err(err), _) => log_unusable(&self.unusable, from, "reply", &err),
                    (_, None) => log_unusable(&self.unusable, from, "reply", &"unknown answer"),
                }
            }
            Some(Body::Hello(hello)) => self.on_hello(&hello, from),
            Some(Body::TargetReports(reports)) => self.on_reports(&reports, from),
            _ => log::debug!("peer: message from {from} is not for a balancer"),
        }
    }

    fn on_hello(&mut self, hello: &Hello, from: SocketAddr) {
        let addr = match process_addr_from_bytes(&hello.balancer) {
            Ok(addr) => addr,
            Err(err) => return log_unusable(&self.unusable, from, "hello", &err),
        };
        let now = self.now();
        if self.contacts.on_message(now, addr) {
            self.peers.send(&self.hello(false), addr);
        }
        let others = pass_through::named_balancers(hello);
        let others = others.filter_map(|other| {
            other
                .map_err(|err| log_unusable(&self.unusable, from, "address in a hello", &err))
                .ok()
        });
        let others: Vec<_> = others.collect();
        self.send_hello_to_new(&others);
        if hello.wants_reports {
            self.send_reports(addr);
        }
        if hello.revision > self.balancer.revision() {
            let event = Event::NewerRevision {
                at: addr,
                number: hello.revision,
            };
            // Sending fails only while the process ends and the control thread has stopped.
            let _ = self.events.send(event);
        }
    }

    fn decoded(&self, message: &TargetReport, from: SocketAddr) -> Option<Report> {
        let report = pass_through::report_from_message(message);
        report
            .map_err(|err| log_unusable(&self.unusable, from, "report", &err))
            .ok()
    }

    fn send_reports(&mut self, to: SocketAddr) {
        let reports: Vec<_> = self
            .balancer
            .reports()
            .map(pass_through::report_to_message)
            .collect();
        for chunk in reports.chunks(REPORTS_PER_DATAGRAM) {
            let reports = chunk.to_vec();
            let body = Body::TargetReports(TargetReports { reports });
            self.peers.send(&Envelope::from(body), to);
        }
    }

    /// Applies another balancer's target reports, and sends a hello to agents that are new here.
    fn on_reports(&mut self, reports: &TargetReports, from: SocketAddr) {
        let now = self.now();
        for message in &reports.reports {
            let Some(report) = self.decoded(message, from) else {
                continue;
            };
            if self.balancer.on_report(now, report) {
                self.peers.send(&self.hello(false), report.agent);
            }
        }
    }

    fn decide(
        &mut self,
        decide: impl FnOnce(&mut Balancer<Bytes>, &mut Vec<BalancerAction<Bytes>>),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        decide(&mut self.balancer, &mut actions);
        let mut last = None;
        for action in actions.drain(..) {
            if let Some(decision) = decision_of(&action) {
                // A search that asks many agents is logged once, to save the log budget.
                let subject = Some(decision.subject());
                if std::mem::replace(&mut last, subject) != subject {
                    let revision = self.balancer.revision();
                    self.decisions.write(decision.revision(revision));
                }
            }
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: BalancerAction<Bytes>) {
        match action {
            BalancerAction::Forward {
                to,
                offer,
                group,
                class,
                age,
                bytes,
            } => {
                let mut message = pass_through::offer_to_message(offer, group, class);
                message.age_ms = age.0;
                self.peers.send_forward(&message, &bytes, to);
            }
            BalancerAction::Ask { to, flow } => {
                self.peers
                    .send(&Envelope::from(pass_through::question(&flow)), to);
            }
            BalancerAction::Reset(reset) => {
                let to = SocketAddr::new(reset.flow.caller.ip(), self.caller_port);
                if let Err(err) = self.fabric.send(&packet::reset(&reset), to) {
                    log::debug!("traffic: reset to {to} failed: {err}");
                }
            }
            BalancerAction::ListTargets { requested_at } => {
                self.list_requests.send_replace(Some(requested_at));
            }
            BalancerAction::Drop { .. } => {}
        }
    }
}

/// The decision log entry for an action, `None` for packets of a known flow.
fn decision_of(action: &BalancerAction<Bytes>) -> Option<Decision> {
    let decision = match action {
        BalancerAction::Forward {
            to, offer, bytes, ..
        } => {
            let event = match offer {
                Offer::New | Offer::IfIdle => decisions::Event::FlowOffered,
                Offer::Probe => decisions::Event::FlowProbed,
                Offer::Held => return None,
            };
            let caller = packet::from_caller(bytes.clone()).ok()?;
            Decision::new(event).flow(caller.packet.flow).peer(*to)
        }
        BalancerAction::Ask { flow, .. } => Decision::new(decisions::Event::FlowAsked).flow(*flow),
        BalancerAction::ListTargets { .. } => return None,
        BalancerAction::Reset(reset) => Decision::new(decisions::Event::FlowReset)
            .flow(reset.flow)
            .reason(&reset.reason),
        BalancerAction::Drop { flow, reason } => Decision::new(decisions::Event::PacketDropped)
            .flow(*flow)
            .reason(reason),
    };
    Some(decision)
}
