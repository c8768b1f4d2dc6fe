//! The traffic thread of an agent: packets from balancers and from the target.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronhollow_adapter::packet::{self, FromTarget};
use citronhollow_core::clock::Millis;
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, AgentIdentity, AgentLimits, Contacts, Holding, Offer,
};
use citronhollow_core::unusable::UnusableInputs;
use citronhollow_operator::decisions::{Decision, DecisionLog, Event};
use citronhollow_operator::exposition;
use citronhollow_peer::datagram::{Datagrams, MessageSocket, log_unusable};
use citronhollow_peer::message::{Forward, Hello};
use citronhollow_peer::{Body, Envelope, Keyring, pass_through, process_addr_from_bytes};
use prometheus::{IntGauge, Registry};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::link::Command;
use super::settings::Settings;

/// Time between two ticks of the agent's state.
const TICK: Duration = Duration::from_millis(25);

/// Time between two reports to balancers of the own failure domain. Balancers treat an agent as
/// silent after four missing reports.
const REPORT_INTERVAL: Millis = Millis(250);

/// Longest time that a shutdown waits for requests in progress.
const LEAVE_TIMEOUT: Millis = Millis(2_000);

/// Time for which a shutdown is reported at every tick. If a balancer missed it because a datagram
/// was lost, it would mistake the silence that follows for a failure of the VM.
const LEAVE_NOTICE: Millis = Millis(75);

/// Largest number of tracked flows, at about 150 bytes each.
const FLOWS_MAX: usize = 65_536;

/// The state of the traffic thread.
pub(super) struct Traffic {
    target: SocketAddr,
    target_id: TargetId,
    /// Port at which callers' machines receive packets.
    caller_port: u16,
    from_target: Datagrams,
    peers: MessageSocket,
    started_at: Instant,
    agent: Agent<Bytes>,
    contacts: Contacts,
    next_report: Millis,
    /// Reports sent to local balancers only, since the last one to all balancers.
    local_reports: u32,
    /// Number of reports to local balancers per report to all balancers, as announced in the last
    /// report to all. Remote balancers derive from it after which time the agent counts as silent.
    local_reports_per_remote_report: u32,
    domain: DomainId,
    /// Latest era of the platform's store that a balancer has advertised.
    advertised_era: watch::Sender<u64>,
    /// Whether the target was failing at the last tick.
    was_failing: bool,
    /// Start of the target that was proved to run at the last tick.
    running_start: Option<u64>,
    /// Since when the agent is leaving, and the sender that gets the target's state at the end.
    leaving: Option<(Millis, oneshot::Sender<TargetState>)>,
    actions: Vec<AgentAction<Bytes>>,
    decisions: DecisionLog,
    gauges: Gauges,
    unusable: Arc<UnusableInputs>,
}

/// Gauges of the target's state.
struct Gauges {
    flows: IntGauge,
    busy: IntGauge,
    failing: IntGauge,
    balancers: IntGauge,
}

impl Gauges {
    fn new(registry: &Registry) -> Self {
        let gauge = |name, help| exposition::gauge(registry, name, help);
        Self {
            flows: gauge("citronhollow_flows", "Flows of the target"),
            busy: gauge("citronhollow_requests", "Requests in progress and waiting"),
            failing: gauge(
                "citronhollow_failing_permille",
                "Share of the last requests that the target left without an answer",
            ),
            balancers: gauge("citronhollow_balancers", "Balancers that get reports"),
        }
    }
}

impl Traffic {
    /// Binds the sockets. Must be called within the thread's runtime.
    pub(super) fn bind(
        settings: &Settings,
        keys: Keyring,
        advertised_era: watch::Sender<u64>,
        (decisions, registry): (DecisionLog, &Registry),
        unusable: Arc<UnusableInputs>,
    ) -> io::Result<Self> {
        let limits = AgentLimits {
            flows: FLOWS_MAX,
            flow_timeout: settings.flow_life_s.millis(),
            heartbeat: settings.heartbeat_ms,
        };
        let identity = AgentIdentity {
            target: TargetId::of(&settings.name),
            group: GroupId::of(&settings.group),
            domain: DomainId::of(&settings.domain),
            agent: settings.peer_listen,
            incarnation: rand::random(),
        };
        Ok(Self {
            target: settings.target,
            target_id: identity.target,
            caller_port: settings.fabric_listen.port(),
            from_target: Datagrams::bind(settings.target_listen)?,
            peers: MessageSocket::bind(settings.peer_listen, keys)?
                .counting_unusable(Arc::clone(&unusable)),
            started_at: Instant::now(),
            agent: Agent::new(Millis::ZERO, identity, limits),
            contacts: Contacts::default(),
            next_report: Millis::ZERO,
            local_reports: 0,
            local_reports_per_remote_report: Contacts::default()
                .local_reports_per_remote_report(identity.domain),
            domain: identity.domain,
            advertised_era,
            was_failing: false,
            running_start: None,
            leaving: None,
            actions: Vec::new(),
            decisions,
            gauges: Gauges::new(registry),
            unusable,
        })
    }

    /// Runs until the control thread sends [`Command::Stop`].
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
                _ = self.from_target.readable() => self.read_target(),
                _ = self.peers.readable() => self.read_peers(),
            }
        }
    }

    fn now(&self) -> Millis {
        Millis::from(self.started_at.elapsed())
    }

    fn on_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Heartbeat(heartbeat, applied) => {
                let mut outcome = None;
                self.update(|agent, out| outcome = agent.on_heartbeat(now, heartbeat, out));
                match outcome {
                    Some(true) => self.report_state(now),
                    Some(false) => {}
                    None => log::info!(
                        "target: late heartbeat {} of start {} ignored",
                        heartbeat.sequence,
                        heartbeat.started_at
                    ),
                }
                self.log_start_change();
                // The request may have timed out.
                let _ = applied.send(());
            }
            Command::TargetLeave(instance, applied) => {
                if self.agent.on_leave(now, instance) {
                    self.report_state(now);
                } else {
                    log::info!("target: leave notice of an earlier instance ignored");
                }
                let _ = applied.send(());
            }
            Command::Inherit(list) => {
                log::info!(
                    "target: an earlier agent has listed {} flows",
                    list.flows.len()
                );
                self.update(|agent, out| agent.inherit(now, list, out));
            }
            Command::ListFlows(listed) => {
                let _ = listed.send(self.agent.flow_list(now));
            }
            Command::Balancers(addrs) => {
                for addr in addrs {
                    self.on_advertised(now, addr);
                }
            }
            Command::Leave(left) => {
                self.agent.stop();
                self.report(now);
                self.leaving = Some((now, left));
            }
            Command::Stop => {}
        }
    }

    /// Handles a balancer address from another party. A new balancer gets a report at once.
    fn on_advertised(&mut self, now: Millis, balancer: SocketAddr) {
        if self.contacts.on_advertised(now, balancer) {
            self.send_report(now, balancer);
        }
    }

    /// Sends a report to a balancer that is new or asks for one.
    fn send_report(&mut self, now: Millis, balancer: SocketAddr) {
        let report = self.report_message(now);
        self.peers.send(&report, balancer);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let mut has_changed = false;
        self.update(|agent, out| has_changed = agent.on_tick(now, out));
        self.log_health_change();
        self.log_start_change();
        if has_changed {
            self.report_state(now);
        } else if now >= self.next_report {
            self.contacts.remove_inactive(now);
            self.report_load(now);
        }
        let is_idle = self.agent.is_idle(now);
        if let Some((since, left)) = self.leaving.take() {
            let waited = now.since(since);
            if waited < LEAVE_NOTICE {
                self.report(now);
                self.leaving = Some((since, left));
            } else if is_idle || waited >= LEAVE_TIMEOUT {
                // The process exits in any case, so a failed send does no harm.
                let _ = left.send(self.agent.state(now));
            } else {
                self.leaving = Some((since, left));
            }
        }
    }

    /// Logs which start of the target is proved to run, and when the proof is lost.
    fn log_start_change(&mut self) {
        let start = self.agent.running_start();
        let before = std::mem::replace(&mut self.running_start, start);
        match (before, start) {
            (_, Some(start)) if before != Some(start) => {
                log::info!("target: start {start} is the running one");
            }
            (Some(before), None) => log::info!("target: start {before} is in doubt"),
            _ => {}
        }
    }

    /// Logs when the target starts to fail requests, and when it answers them again.
    fn log_health_change(&mut self) {
        let is_failing = self.agent.is_failing();
        if std::mem::replace(&mut self.was_failing, is_failing) != is_failing {
            let reason = if is_failing { "failing" } else { "well" };
            log::info!("target: health is {reason}, by the requests that it answers");
            let decision = Decision::new(Event::TargetHealth);
            self.decisions.write(decision.reason(&reason));
        }
    }

    fn report_state(&mut self, now: Millis) {
        let state = self.agent.state(now);
        log::info!("target: state is {state:?}");
        let decision = Decision::new(Event::TargetState);
        self.decisions.write(decision.reason(&format!("{state:?}")));
        self.report(now);
    }

    /// Sends the periodic report of load, to balancers of other failure domains less often.
    fn report_load(&mut self, now: Millis) {
        self.local_reports += 1;
        if self.local_reports >= self.local_reports_per_remote_report {
            self.report(now);
            return;
        }
        self.next_report = now.after(REPORT_INTERVAL);
        let report = self.report_message(now);
        for balancer in self.contacts.local(self.domain) {
            self.peers.send(&report, balancer);
        }
    }

    fn report(&mut self, now: Millis) {
        self.next_report = now.after(REPORT_INTERVAL);
        self.local_reports = 0;
        self.local_reports_per_remote_report =
            self.contacts.local_reports_per_remote_report(self.domain);
        let report = self.report_message(now);
        for balancer in self.contacts.iter() {
            self.peers.send(&report, balancer);
        }
    }

    fn report_message(&mut self, now: Millis) -> Envelope {
        let mut report = self.agent.report(now);
        report.remote_interval =
            Millis(REPORT_INTERVAL.0 * u64::from(self.local_reports_per_remote_report));
        self.gauges.flows.set(i64::from(report.flows));
        self.gauges.busy.set(i64::from(report.busy));
        self.gauges.failing.set(i64::from(report.failing_milli));
        let balancers = i64::try_from(self.contacts.len());
        self.gauges.balancers.set(balancers.unwrap_or(i64::MAX));
        Envelope::from(Body::TargetReport(pass_through::report_to_message(&report)))
    }

    fn read_target(&mut self) {
        let now = self.now();
        for (bytes, _) in self.from_target.read() {
            match packet::from_target(bytes) {
                Ok(FromTarget::ToCaller(packet)) => {
                    self.update(|agent, out| agent.on_target_packet(now, packet, out));
                }
                Ok(FromTarget::Returned(packet)) => {
                    self.update(|agent, out| agent.on_returned(now, packet, out));
                }
                Err(err) if self.unusable.count(&"target") => {
                    log::warn!("target: packet is left out: {err}");
                }
                Err(_) => {}
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
            Some(Body::Forward(forward)) => self.on_forward(now, forward, from),
            Some(Body::Question(question)) => {
                match pass_through::flow_from_message(&question.caller, &question.service) {
                    Ok(flow) => {
                        self.update(|agent, out| agent.on_question(now, from, flow, out));
                    }
                    Err(err) => log_unusable(&self.unusable, from, "question", &err),
                }
            }
            Some(Body::Hello(hello)) => match process_addr_from_bytes(&hello.balancer) {
                Ok(balancer) => self.on_hello(now, &hello, balancer, from),
                Err(err) => log_unusable(&self.unusable, from, "hello", &err),
            },
            _ => log::debug!("peer: message from {from} is not for an agent"),
        }
    }

    fn on_hello(&mut self, now: Millis, hello: &Hello, balancer: SocketAddr, from: SocketAddr) {
        self.advertised_era.send_if_modified(|advertised| {
            let is_later = hello.store_era > *advertised;
            *advertised = hello.store_era.max(*advertised);
            is_later
        });
        let domain = DomainId(hello.domain);
        if self.contacts.on_hello(now, balancer, domain) || hello.wants_reports {
            self.send_report(now, balancer);
        }
        for other in pass_through::named_balancers(hello) {
            match other {
                Ok(other) => self.on_advertised(now, other),
                Err(err) => log_unusable(&self.unusable, from, "address in a hello", &err),
            }
        }
    }

    fn on_forward(&mut self, now: Millis, forward: Forward, from: SocketAddr) {
        let Some(offer) = pass_through::offer_from_message(&forward) else {
            log_unusable(&self.unusable, from, "packet", &"unknown offer");
            return;
        };
        let group = GroupId(forward.group);
        let class = pass_through::request_class_from_message(&forward);
        let class = class.unwrap_or_else(|err| {
            log_unusable(&self.unusable, from, "request class", &err);
            None
        });
        let age = Millis(forward.age_ms);
        match packet::from_caller(forward.packet) {
            Ok(mut caller) => {
                caller.packet.age = age;
                if let Some(class) = class {
                    let service = caller.packet.flow.service;
                    self.agent.set_request_class(now, service, class);
                }
                self.on_caller(now, from, offer, group, caller.packet);
            }
            Err(err) => log_unusable(&self.unusable, from, "packet", &err),
        }
    }

    fn on_caller(
        &mut self,
        now: Millis,
        from: SocketAddr,
        offer: Offer,
        group: GroupId,
        packet: citronhollow_core::pass_through::Packet<Bytes>,
    ) {
        if self.contacts.on_message(now, from) {
            self.send_report(now, from);
        }
        self.update(|agent, out| agent.on_packet(now, from, offer, group, packet, out));
    }

    /// Passes an event to the agent's state and performs the resulting actions.
    fn update(&mut self, update: impl FnOnce(&mut Agent<Bytes>, &mut Vec<AgentAction<Bytes>>)) {
        let mut actions = std::mem::take(&mut self.actions);
        update(&mut self.agent, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: AgentAction<Bytes>) {
        if let Some(decision) = decision_of(&action) {
            self.decisions.write(decision);
        }
        match action {
            AgentAction::Deliver { bytes } => self.send_packet(&bytes, self.target),
            AgentAction::ToCaller { flow, bytes } => {
                self.send_packet(&bytes, self.caller_addr(flow.caller));
            }
            AgentAction::Reject {
                to,
                rejected,
                bytes,
            } => {
                let reject = pass_through::reject(self.target_id, rejected, bytes);
                self.peers.send(&Envelope::from(reject), to);
            }
            AgentAction::Reply { to, flow, holding } => {
                let reply = pass_through::reply(self.target_id, &flow, holding);
                self.peers.send(&Envelope::from(reply), to);
            }
            AgentAction::Confirm { to, flow } => {
                let reply = pass_through::reply(self.target_id, &flow, Holding::Here);
                self.peers.send(&Envelope::from(reply), to);
            }
            AgentAction::Reset(reset) => {
                self.send_packet(&packet::reset(&reset), self.caller_addr(reset.flow.caller));
            }
            AgentAction::Drop { .. } => {}
        }
    }

    const fn caller_addr(&self, caller: SocketAddr) -> SocketAddr {
        SocketAddr::new(caller.ip(), self.caller_port)
    }

    fn send_packet(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(err) = self.from_target.send(bytes, to) {
            log::debug!("traffic: packet to {to} failed: {err}");
        }
    }
}

/// The decision log entry of an action, [`None`] for packets that are merely forwarded
/// and for their confirmations.
fn decision_of(action: &AgentAction<Bytes>) -> Option<Decision> {
    let decision = match action {
        AgentAction::Deliver { .. }
        | AgentAction::ToCaller { .. }
        | AgentAction::Confirm { .. } => return None,
        AgentAction::Reject {
            to,
            rejected,
            bytes,
        } => {
            let caller = packet::from_caller(bytes.clone()).ok()?;
            let decision = Decision::new(Event::FlowRejected).flow(caller.packet.flow);
            decision.peer(*to).reason(&rejected.reason)
        }
        AgentAction::Reply { to, flow, holding } => Decision::new(Event::FlowAnswered)
            .flow(*flow)
            .peer(*to)
            .reason(holding),
        AgentAction::Reset(reset) => Decision::new(Event::FlowReset)
            .flow(reset.flow)
            .reason(&reset.reason),
        AgentAction::Drop { flow, reason } => Decision::new(Event::PacketDropped)
            .flow(*flow)
            .reason(reason),
    };
    Some(decision)
}
