//! The balancer's control thread.
//!
//! One loop owns all control state, so the state needs no lock. [`Node`] makes the decisions
//! without sockets: it takes messages and the current time and returns [`Effect`]s. The loop
//! carries these out, serves requests over TCP, and rebuilds the routes for the traffic threads
//! when the revision or the membership has changed, at most once per [`REBUILD_DELAY`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use bytes::BytesMut;
use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId};
use citronhollow_core::members::BalancerRecord;
use citronhollow_core::routes::Routes;
use citronhollow_operator::status::FleetStatus;
use citronhollow_peer::message::Envelope;
use citronhollow_peer::{Body, Codec, Keyring, MAX_DATAGRAM};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::revisions::RevisionStore;
use crate::settings::Settings;

mod drain;
mod fleet;
mod handle;
mod node;
mod pool;
mod revision_log;
mod socket;
mod streams;

pub use drain::{DRAIN_RETRY, DRAIN_TIMEOUT};
pub use handle::{ControlHandle, Status};
pub use node::{Effect, Node};
pub use streams::CONNECTIONS_MAX;

use drain::Drains;
use handle::{Command, ControlChannel};
use streams::{Fetched, Query};

/// Time for which changes are collected before the routes are rebuilt.
pub const REBUILD_DELAY: Millis = Millis(50);

/// Time for which a leaving balancer goes on forwarding, so that the fabric can stop using it.
pub const LEAVE_DURATION: Millis = Millis::from_secs(5);

/// Interval of the control thread's timers.
const TICK: Duration = Duration::from_millis(50);

/// Capacity of each queue to the loop.
const QUEUE_LEN: usize = 64;

/// Error of starting the control thread.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A socket cannot be bound.
    #[error("control socket {addr}: {error}")]
    Bind {
        /// Address from the settings.
        addr: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

/// The control loop with its state.
#[derive(Debug)]
pub struct Control {
    start: Instant,
    keys: Keyring,
    codec: Codec,
    socket: UdpSocket,
    node: Node,
    routes: Arc<ArcSwap<Routes>>,
    revisions: RevisionStore,
    built: Built,
    drains: Drains,
    channel: ControlChannel,
    queries: mpsc::Receiver<Query>,
    fetched: mpsc::Receiver<Fetched>,
    fetched_tx: mpsc::Sender<Fetched>,
    stop_at: Option<Millis>,
}

/// Inputs of the routes in force, and the time of the next rebuild.
#[derive(Clone, Copy, Debug, Default)]
struct Built {
    changes: u64,
    revision: u64,
    due_at: Option<Millis>,
}

impl Control {
    /// Binds the sockets of the settings and returns the loop and its handle.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if the address cannot be bound.
    pub async fn bind(
        settings: &Settings,
        keys: Keyring,
        revisions: RevisionStore,
        routes: Arc<ArcSwap<Routes>>,
    ) -> Result<(Self, ControlHandle), ControlError> {
        let addr = settings.control_listen;
        let (socket, listener) = socket::bind(addr)
            .await
            .map_err(|error| ControlError::Bind { addr, error })?;
        let control = listener
            .local_addr()
            .map_err(|error| ControlError::Bind { addr, error })?;
        let incarnation = incarnation_of_now();
        let me = BalancerRecord {
            id: BalancerId::of(&settings.name),
            domain: DomainId::of(&settings.domain),
            control,
            leaving: false,
            incarnation,
            sequence: 1,
        };
        let (handle, channel) = handle::channel(control);
        let (queries_tx, queries) = mpsc::channel(QUEUE_LEN);
        let (fetched_tx, fetched) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(streams::serve(listener, keys.clone(), queries_tx));
        let this = Self {
            start: Instant::now(),
            codec: Codec::new(keys.clone()),
            keys,
            socket,
            node: Node::new(me, settings.seeds.clone(), revisions.clone()),
            routes,
            revisions,
            built: Built::default(),
            drains: Drains::default(),
            channel,
            queries,
            fetched,
            fetched_tx,
            stop_at: None,
        };
        Ok((this, handle))
    }

    /// Runs until a leave is complete.
    pub async fn run(mut self) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut revisions = self.revisions.subscribe();
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut effects = Vec::new();
        loop {
            tokio::select! {
                _ = tick.tick() => self.on_tick(&mut effects),
                received = self.socket.recv_from(&mut buf) => {
                    // An error refers to an earlier send to a port on which no process listens.
                    if let Ok((len, from)) = received {
                        self.on_datagram(&buf[..len], from, &mut effects);
                    }
                }
                Ok(()) = revisions.changed() => self.node.on_revision(),
                Some(fetched) = self.fetched.recv() => {
                    self.node.on_fetched(self.now(), fetched.from, fetched.body);
                }
                Some(query) = self.queries.recv() => self.on_query(query),
                Some(command) = self.channel.commands.recv() => self.on_command(command),
            }
            self.run_effects(&mut effects).await;
            self.rebuild_if_due();
            if self.stop_at.is_some_and(|at| self.now() >= at) {
                return;
            }
        }
    }

    fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }

    fn on_tick(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now();
        self.node.on_tick(now, effects);
        self.drains.on_tick(now, self.node.view(), effects);
        let fleet_view = self.node.fleet_view(now);
        self.channel.fleet_view.send_if_modified(|known| {
            let is_update = *known != fleet_view;
            *known = fleet_view;
            is_update
        });
    }

    fn on_datagram(&mut self, frame: &[u8], from: SocketAddr, effects: &mut Vec<Effect>) {
        let now = self.now();
        match self.codec.open(frame) {
            Ok(Envelope { body: Some(body) }) => {
                if let Body::Heartbeat(heartbeat) = &body {
                    self.drains.on_heartbeat(heartbeat);
                }
                self.node.on_message(now, from, body, effects);
            }
            Ok(_) => {}
            Err(error) => self.node.on_refused(from, &error),
        }
    }

    fn on_query(&mut self, query: Query) {
        let now = self.now();
        let reply = self.node.answer(now, &query.body);
        // The requester may have given up meanwhile.
        let _ = query.reply.send(reply);
    }

    fn on_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Drain { name, on, done } => {
                self.drains.start(now, self.node.view(), &name, on, done);
            }
            Command::Fleet(reply) => {
                self.node.poll_lowest_for_operator(now);
                let _ = reply.send(self.fleet());
            }
            Command::Status(reply) => {
                let status = self.status();
                let _ = reply.send(status);
            }
            Command::Leave => {
                log::info!("control: leaving");
                self.node.leave(now);
                self.stop_at = self.stop_at.or(Some(now.after(LEAVE_DURATION)));
            }
        }
    }

    fn fleet(&self) -> FleetStatus {
        let now = self.now();
        FleetStatus {
            // A revision is in force here once the traffic threads use its routes.
            revision: self.routes.load().revision(),
            drains: self.drains.status(self.node.view(), now),
            is_leaving: self.stop_at.is_some(),
            ..self.node.fleet_status(now)
        }
    }

    fn status(&self) -> Status {
        let view = self.node.view();
        Status {
            targets: view.counts(),
            reporting: view.reporting(),
            balancers: view.balancers().present().count(),
            revision: self.revisions.latest().number,
            refused_frames: self.node.refused_frames(),
            is_isolated: view.is_isolated(self.now()),
            is_leaving: self.stop_at.is_some(),
            drains: self.drains.status(view, self.now()),
        }
    }

    async fn run_effects(&self, effects: &mut Vec<Effect>) {
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to, body } => self.send(to, body).await,
                Effect::Fetch { from, request } => self.fetch(from, request),
            }
        }
    }

    async fn send(&self, to: SocketAddr, body: Body) {
        let mut buf = BytesMut::new();
        self.codec.seal(&Envelope::from(body), &mut buf);
        if let Err(error) = self.socket.send_to(&buf, to).await {
            log::debug!("control: send to {to} failed: {error}");
        }
    }

    fn fetch(&self, from: SocketAddr, request: Body) {
        let keys = self.keys.clone();
        let tx = self.fetched_tx.clone();
        tokio::spawn(async move {
            let result = citronhollow_peer::exchange::request(from, keys, request).await;
            let body = result
                .inspect_err(|error| log::debug!("control: fetch from {from} failed: {error}"))
                .ok();
            // Sending fails only when the process stops and the loop has ended.
            let _ = tx.send(Fetched { from, body }).await;
        });
    }

    fn rebuild_if_due(&mut self) {
        let now = self.now();
        let changes = self.node.view().changes();
        let revision = self.revisions.latest();
        if changes == self.built.changes && revision.number == self.built.revision {
            return;
        }
        // Without routes a packet is dropped, and the caller's retransmission may reach a balancer
        // with a complete view. Routes built from part of the fleet would refuse flows that other
        // targets can serve.
        if !self.node.has_fleet_view(now) {
            return;
        }
        let due_at = *self.built.due_at.get_or_insert(now.after(REBUILD_DELAY));
        if now < due_at {
            return;
        }
        let records = self.node.view().records_for_routes(now);
        let previous = self.routes.load();
        let routes = Routes::build(&revision, &records, Some(&previous));
        self.routes.store(Arc::new(routes));
        self.built = Built {
            changes,
            revision: revision.number,
            due_at: None,
        };
    }
}

/// Wall-clock time of the start, in ms. It only orders the starts of one balancer.
fn incarnation_of_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |span| Millis::from(span).0)
}
