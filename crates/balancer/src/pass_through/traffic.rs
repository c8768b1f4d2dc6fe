//! The traffic thread of a balancer: packets of callers, messages of agents and balancers.

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
use citronhollow_operator::decisions::{self, Decision, DecisionLog};
use citronhollow_operator::exposition;
use citronhollow_peer::datagram::{Datagrams, MessageSocket};
use citronhollow_peer::message::{Hello, TargetReports};
use citronhollow_peer::{Body, Envelope, Keyring, addr_from_bytes, addr_to_bytes, pass_through};
use prometheus::{IntGauge, Registry};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{MissedTickBehavior, interval};

use super::link::{Command, Event, Shared};
use super::settings::Settings;

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(25);

/// Time between two greetings to other balancers, within which a revision spreads without the
/// platform.
const GREET_BALANCERS: Millis = Millis::from_secs(1);

/// Time between two greetings to agents, which forget a balancer that is silent for long.
const GREET_AGENTS: Millis = Millis::from_secs(4);

/// Balancers that are greeted at a time. A revision reaches 1,800 of them in three rounds then.
const GREET_MAX: usize = 16;

/// Other balancers that a greeting names.
const OTHERS_MAX: usize = 4;

/// Reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 16;

/// Flows that are remembered, about 100 bytes each.
const FLOWS: usize = 200_000;

/// Searches at once. Each keeps a few packets.
const SEARCHES: usize = 4_096;

/// Packets that wait for the outcome of one search: what a caller may have on the way.
const SEARCH_PACKETS: usize = 16;

/// What the thread works with.
pub(super) struct Traffic {
    own_addr: SocketAddr,
    domain: DomainId,
    /// Port at which callers' machines take packets.
    caller_port: u16,
    fabric: Datagrams,
    peers: MessageSocket,
    started: Instant,
    balancer: Balancer<Bytes>,
    /// Other balancers.
    contacts: Contacts,
    next_greeting: Millis,
    next_agent_greeting: Millis,
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    actions: Vec<BalancerAction<Bytes>>,
    decisions: DecisionLog,
    gauges: Gauges,
}

/// What the metrics show of the thread's state.
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
    /// Binds the sockets. To be called within the thread's runtime.
    pub(super) fn bind(
        settings: &Settings,
        keys: Keyring,
        started: Instant,
        shared: Arc<Shared>,
        events: UnboundedSender<Event>,
        (decisions, registry): (DecisionLog, &Registry),
    ) -> io::Result<Self> {
        let limits = BalancerLimits {
            flows: FLOWS,
            flow_timeout: settings.flow_life_s.millis(),
            searches: SEARCHES,
            search_packets: SEARCH_PACKETS,
        };
        let domain = DomainId::of(&settings.domain);
        Ok(Self {
            own_addr: settings.peer_listen,
            domain,
            caller_port: settings.fabric_listen.port(),
            fabric: Datagrams::bind(settings.fabric_listen)?,
            peers: MessageSocket::bind(settings.peer_listen, keys)?,
            started,
            balancer: Balancer::new(Millis::ZERO, domain, limits, rand::random()),
            contacts: Contacts::default(),
            next_greeting: Millis::ZERO,
            next_agent_greeting: Millis::ZERO,
            shared,
            events,
            actions: Vec::new(),
            decisions,
            gauges: Gauges::new(registry),
        })
    }

    /// Works until the control thread ends it.
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
                    self.greet_balancers();
                }
            }
            Command::Balancers(addrs) => self.meet(&addrs),
            Command::Agents {
                listed,
                is_complete,
            } => self.on_listed(&listed, is_complete),
            Command::DoubtLists => self.balancer.invalidate_lists(self.now()),
            Command::Heard(age, heard) => {
                // Whoever asked may have given up.
                let _ = heard.send(self.heard(age));
            }
            Command::Stop => {}
        }
    }

    /// Processes that were heard within `age`, none while this one may be cut off.
    fn heard(&self, age: Millis) -> Option<HashSet<SocketAddr>> {
        let now = self.now();
        let mut heard = self.balancer.active_agents(now, age)?;
        heard.extend(self.contacts.active(now, age));
        heard.insert(self.own_addr);
        Some(heard)
    }

    /// Makes this balancer known to agents that it does not know.
    fn on_listed(&mut self, listed: &[(TargetId, SocketAddr)], is_complete: bool) {
        if is_complete {
            let targets = listed.iter().map(|(target, _)| *target);
            self.balancer.set_listed(targets);
        }
        let greeting = self.greeting(false);
        for (target, agent) in listed {
            if !self.balancer.has_reported(*target) {
                self.peers.send(&greeting, *agent);
            }
        }
    }

    /// Greets balancers that were unknown, and asks them for the targets that they know.
    fn meet(&mut self, addrs: &[SocketAddr]) {
        let now = self.now();
        for &addr in addrs {
            if addr != self.own_addr && self.contacts.on_advertised(now, addr) {
                self.peers.send(&self.greeting(true), addr);
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.decide(|balancer, out| balancer.on_tick(now, out));
        let is_ready = self.balancer.is_ready(now);
        self.shared.is_ready.store(is_ready, Ordering::Relaxed);
        if now >= self.next_greeting {
            self.next_greeting = now.after(GREET_BALANCERS);
            self.show();
            self.greet_balancers();
        }
        if now >= self.next_agent_greeting {
            self.next_agent_greeting = now.after(GREET_AGENTS);
            self.greet_agents();
        }
    }

    fn show(&self) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let revision = i64::try_from(self.balancer.revision());
        self.gauges.revision.set(revision.unwrap_or(i64::MAX));
        self.gauges
            .targets
            .set(count(self.balancer.reports().count()));
        self.gauges.flows.set(count(self.balancer.flow_count()));
    }

    fn greet_balancers(&mut self) {
        self.contacts.remove_inactive(self.now());
        let greeting = self.greeting(false);
        for addr in self.contacts.sample(GREET_MAX, &mut rand::rng()) {
            self.peers.send(&greeting, addr);
        }
    }

    fn greet_agents(&mut self) {
        let greeting = self.greeting(false);
        let agents: Vec<_> = self.balancer.reports().map(|report| report.agent).collect();
        for agent in agents {
            self.peers.send(&greeting, agent);
        }
    }

    fn greeting(&self, wants_reports: bool) -> Envelope {
        let others = self
            .contacts
            .sample_active(self.now(), OTHERS_MAX, &mut rand::rng());
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
                if let Some(report) = decoded(&message, from) {
                    self.balancer.on_report(now, report);
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
                    Err(err) => log::warn!("peer: packet from {from} dropped: {err}"),
                }
            }
            Some(Body::Reply(reply)) => {
                let flow = pass_through::flow_from_message(&reply.caller, &reply.service);
                let holding = pass_through::holding_from_message(&reply);
                if let (Ok(flow), Some(holding)) = (flow, holding) {
                    self.decide(|balancer, out| {
                        balancer.on_reply(now, TargetId(reply.sender), flow, holding, out);
                    });
                }
            }
            Some(Body::Hello(greeting)) => self.on_greeting(&greeting, from),
            Some(Body::TargetReports(reports)) => self.on_reports(&reports, from),
            _ => log::debug!("peer: message from {from} is not for a balancer"),
        }
    }

    fn on_greeting(&mut self, greeting: &Hello, from: SocketAddr) {
        let Ok(addr) = addr_from_bytes(&greeting.balancer) else {
            log::warn!("peer: greeting from {from} has no address");
            return;
        };
        let now = self.now();
        if self.contacts.on_message(now, addr) {
            self.peers.send(&self.greeting(false), addr);
        }
        let others: Vec<_> = pass_through::named_balancers(greeting).collect();
        self.meet(&others);
        if greeting.wants_reports {
            self.send_reports(addr);
        }
        if greeting.revision > self.balancer.revision() {
            let event = Event::NewerRevision {
                at: addr,
                number: greeting.revision,
            };
            // The control thread is gone only while the process ends.
            let _ = self.events.send(event);
        }
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

    /// Takes the reports that another balancer had, and makes this one known to the agents.
    fn on_reports(&mut self, reports: &TargetReports, from: SocketAddr) {
        let now = self.now();
        for message in &reports.reports {
            let Some(report) = decoded(message, from) else {
                continue;
            };
            if self.balancer.on_report(now, report) {
                self.peers.send(&self.greeting(false), report.agent);
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
                // A search of many agents is one decision, and one line of the log's budget.
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
            BalancerAction::Drop { .. } => {}
        }
    }
}

fn decoded(message: &citronhollow_peer::message::TargetReport, from: SocketAddr) -> Option<Report> {
    match pass_through::report_from_message(message) {
        Ok(report) => Some(report),
        Err(err) => {
            log::warn!("peer: report from {from} dropped: {err}");
            None
        }
    }
}

/// The line of an action, none for the packets of a known flow.
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
        BalancerAction::Reset(reset) => Decision::new(decisions::Event::FlowReset)
            .flow(reset.flow)
            .reason(&reset.reason),
        BalancerAction::Drop { flow, reason } => Decision::new(decisions::Event::PacketDropped)
            .flow(*flow)
            .reason(reason),
    };
    Some(decision)
}
