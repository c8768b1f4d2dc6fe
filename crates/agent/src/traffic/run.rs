//! Event loop of the traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use citronhollow_caller::endpoint;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::flows::{FlowLimits, Flows};
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetRecord;
use citronhollow_operator::metrics::Metrics;
use citronhollow_peer::{Body, Codec, Keyring};
use citronhollow_target::splice;
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

use super::agent::{Agent, Clock};
use super::datagrams::{Datagrams, Incoming};
use super::lingering::Lingering;
use super::tasks::Tasks;
use super::{dispatch, wire};
use crate::link::{ControlCommand, TrafficCommand, TrafficStats};
use crate::settings::Settings;

/// Requested size of the socket's kernel buffers, in bytes.
const SOCKET_BUFFER: usize = 4 * 1_024 * 1_024;

/// Time between two ticks of the flow table.
const TICK: Duration = Duration::from_millis(50);

/// A flow times out after this many keepalive intervals without a packet.
const TIMEOUT_KEEPALIVES: u64 = 3;

/// Unanswered keepalive probes per keepalive interval.
const PROBES_PER_KEEPALIVE: u64 = 5;

/// Time limit for the target to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(3);

/// Binds the UDP socket that receives packets.
pub(super) fn bind(listen: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = std::net::UdpSocket::bind(listen)?;
    socket.set_nonblocking(true)?;
    let options = socket2::SockRef::from(&socket);
    // The kernel may grant less. The only effect is that more packets are lost in bursts.
    let _ = options.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = options.set_send_buffer_size(SOCKET_BUFFER);
    Ok(socket)
}

/// Runs until all command senders are dropped.
pub(super) fn run(
    runtime: &Runtime,
    socket: std::net::UdpSocket,
    settings: &Settings,
    keys: Keyring,
    commands: UnboundedReceiver<TrafficCommand>,
    control: UnboundedSender<ControlCommand>,
    stats: Arc<TrafficStats>,
) {
    let local = LocalSet::new();
    local.block_on(runtime, async move {
        match new_agent(socket, settings, keys, control, stats) {
            Ok(agent) => serve(&Rc::new(agent), commands).await,
            Err(err) => log::error!("traffic: cannot start: {err}"),
        }
    });
}

async fn serve(agent: &Rc<Agent>, mut commands: UnboundedReceiver<TrafficCommand>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut incoming = Incoming::new();
    tokio::task::spawn_local(flush(Rc::clone(agent)));
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => {
                let Some(command) = command else {
                    dispatch::on_leave(agent);
                    return;
                };
                on_command(agent, command);
            }
            _ = ticks.tick() => on_tick(agent),
            readable = agent.datagrams.readable() => {
                if readable.is_ok() {
                    agent.datagrams.receive(&mut incoming, |datagram, from| {
                        dispatch::on_datagram(agent, datagram, from);
                    });
                }
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Sends the queued packets to callers after the tasks that produced them have run.
async fn flush(agent: Rc<Agent>) {
    loop {
        agent.datagrams.has_batches().await;
        // Tasks that are ready now may add packets to the same batch.
        tokio::task::yield_now().await;
        let lost = agent.datagrams.flush();
        agent.stats.count_unsent(lost);
    }
}

fn on_tick(agent: &Rc<Agent>) {
    dispatch::on_tick(agent);
    if agent.clock.now() >= agent.next_report.get() {
        report_load(agent);
    }
}

fn report_load(agent: &Agent) {
    let now = agent.clock.now();
    let interval = agent.flows.borrow().report_interval();
    agent.next_report.set(now.after(interval));
    let report = agent.flows.borrow_mut().load_report(now);
    agent.send_load(&Body::Load(wire::load_to_message(&report)));
}

fn on_command(agent: &Rc<Agent>, command: TrafficCommand) {
    let now = agent.clock.now();
    match command {
        TrafficCommand::Target { address, slots } => {
            agent.target.set(Some(address));
            agent.flows.borrow_mut().set_slots(now, slots);
        }
        TrafficCommand::State(state) => {
            agent.flows.borrow_mut().set_state(now, state);
            // A draining target looks idle, so peers must learn of the state at once.
            report_load(agent);
        }
        TrafficCommand::Peers(peers) => set_peers(agent, now, &peers),
        TrafficCommand::PeersConfirmed => agent.flows.borrow_mut().confirm_peers(now),
        TrafficCommand::Services(revision) => set_services(agent, &revision),
    }
}

fn set_peers(agent: &Agent, now: Millis, peers: &[TargetRecord]) {
    let addrs = peers
        .iter()
        .filter(|peer| peer.state.may_hold())
        .map(|peer| (peer.id, peer.agent))
        .collect();
    agent.peers.replace(addrs);
    agent.flows.borrow_mut().set_peers(now, peers);
}

fn set_services(agent: &Agent, revision: &Revision) {
    let refusal_by_service = revision
        .documents
        .services
        .iter()
        .flat_map(|service| {
            let refusal = service.refusal;
            service.addresses.iter().map(move |addr| (*addr, refusal))
        })
        .collect();
    agent.refusal_by_service.replace(refusal_by_service);
    agent.flows.borrow_mut().set_services(revision);
}

fn new_agent(
    socket: std::net::UdpSocket,
    settings: &Settings,
    keys: Keyring,
    control: UnboundedSender<ControlCommand>,
    stats: Arc<TrafficStats>,
) -> io::Result<Agent> {
    let me = TargetId::of(&settings.name);
    let seed = OsRng.try_next_u64().map_err(io::Error::other)?;
    let limits = FlowLimits {
        flows: settings.flow_limit as usize,
        ..FlowLimits::default()
    };
    let mut flows = Flows::new(me, limits, seed);
    flows.set_incarnation(incarnation());
    Ok(Agent {
        me,
        clock: Clock::new(),
        next_report: Cell::new(Millis::ZERO),
        next_to_report: Cell::new(0),
        datagrams: Datagrams::new(socket)?,
        fabric: settings.fabric.clone(),
        codec: Codec::new(keys),
        flows: RefCell::new(flows),
        tasks: RefCell::new(Tasks::default()),
        refusals: RefCell::new(Tasks::default()),
        lingering: RefCell::new(Lingering::default()),
        peers: RefCell::new(HashMap::new()),
        refusal_by_service: RefCell::new(HashMap::new()),
        target: Cell::new(None),
        is_target_reachable: Cell::new(true),
        control,
        stats,
        metrics: Metrics::new(&settings.name, settings.metrics)?,
        endpoint_settings: endpoint_settings(me, settings),
        target_settings: target_settings(settings),
        seed,
        seeds_drawn: Cell::new(0),
        frame: RefCell::new(BytesMut::new()),
        packets: RefCell::new(Vec::new()),
    })
}

fn endpoint_settings(me: TargetId, settings: &Settings) -> endpoint::Settings {
    endpoint::Settings {
        hint: me.hint(),
        keepalive: settings.keepalive_ms,
        probe_interval: probe_interval(settings),
        timeout: timeout(settings),
    }
}

fn target_settings(settings: &Settings) -> splice::Settings {
    splice::Settings {
        connect_timeout: CONNECT_TIMEOUT,
        keepalive: settings.keepalive_ms,
        probe_interval: probe_interval(settings),
        timeout: timeout(settings),
    }
}

fn probe_interval(settings: &Settings) -> Millis {
    Millis(settings.keepalive_ms.0 / PROBES_PER_KEEPALIVE)
}

fn timeout(settings: &Settings) -> Millis {
    Millis(settings.keepalive_ms.0 * TIMEOUT_KEEPALIVES)
}

/// Unix time of the start, in ms. It lets peers distinguish the load reports of this start from
/// those of an earlier one.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| Millis::from(span).0)
}
