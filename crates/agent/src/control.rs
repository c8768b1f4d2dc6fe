//! The agent's control thread.
//!
//! It receives the target's announcements, sends heartbeats to a few balancers, and learns from
//! their replies which other targets serve the target's group, and which services use it.
//! Heartbeats are sent at a fixed interval, and at once after a change. Those to the three
//! balancers are staggered, so that the agent learns of a new revision within a third of the
//! interval. The platform is never called: a balancer's reply suffices, and a lower revision is
//! never applied.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::id::{DomainId, TargetId};
use citronhollow_core::members::{TargetState, TargetUpdate};
use citronhollow_operator::listener;
use citronhollow_peer::message::{Heartbeat, HeartbeatReply, PoolReply};
use citronhollow_peer::{
    Body, Codec, Envelope, Keyring, MAX_DATAGRAM, balancer_from_message, target_to_message,
};
use citronhollow_target::announce::{self, Latest};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::link::{ControlCommand, TrafficCommand, TrafficStats};
use crate::settings::Settings;

mod peers;
mod pool_sync;
mod record;
mod reporting;

pub use record::OwnRecord;
pub use reporting::{
    DueHeartbeat, HEARTBEATS_UNANSWERED_MAX, RETRY_AFTER, Reporting, UNRESPONSIVE_BACKOFF,
};

use peers::Peers;

/// Resolution of the control thread's timers.
const TICK: Duration = Duration::from_millis(50);

/// Failure of the control thread's sockets.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A socket could not be bound.
    #[error("control socket: {0}")]
    Bind(#[from] std::io::Error),
}

/// Connections of the control thread to the rest of the process.
#[derive(Debug)]
pub struct Links {
    /// To the traffic thread.
    pub traffic: mpsc::UnboundedSender<TrafficCommand>,
    /// From the traffic thread.
    pub commands: mpsc::UnboundedReceiver<ControlCommand>,
    /// Stats of the traffic thread.
    pub stats: Arc<TrafficStats>,
    /// UDP address at which the traffic thread receives packets.
    pub traffic_addr: SocketAddr,
    /// Becomes true when the process must stop.
    pub stop: watch::Receiver<bool>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control {
    start: Instant,
    links: Links,
    keys: Keyring,
    codec: Codec,
    socket: UdpSocket,
    listener: Option<TcpListener>,
    announce_addr: SocketAddr,
    announced: watch::Receiver<Latest>,
    announced_tx: watch::Sender<Latest>,
    record: OwnRecord,
    reporting: Reporting,
    peers: Peers,
    known: KnownConfig,
    pulls: Pulls,
}

/// The configuration that this agent has received.
#[derive(Debug, Default)]
struct KnownConfig {
    revision: Revision,
    digest: Option<u64>,
}

#[derive(Debug)]
struct Pulls {
    tx: mpsc::Sender<PoolReply>,
    rx: mpsc::Receiver<PoolReply>,
    next_at: Millis,
}

impl Control {
    /// Binds the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if an address cannot be bound.
    pub async fn bind(
        settings: &Settings,
        keys: Keyring,
        links: Links,
    ) -> Result<Self, ControlError> {
        let listener = TcpListener::bind(settings.announce_listen).await?;
        let socket = UdpSocket::bind((links.traffic_addr.ip(), 0)).await?;
        let id = TargetId::of(&settings.name);
        let (announced_tx, announced) = watch::channel(None);
        let (tx, rx) = mpsc::channel(1);
        Ok(Self {
            start: Instant::now(),
            codec: Codec::new(keys.clone()),
            keys,
            socket,
            announce_addr: listener.local_addr()?,
            listener: Some(listener),
            announced,
            announced_tx,
            record: OwnRecord::new(
                id,
                DomainId::of(&settings.domain),
                links.traffic_addr,
                incarnation_of_now(),
            ),
            reporting: Reporting::new(id, &settings.seeds),
            peers: Peers::default(),
            known: KnownConfig::default(),
            pulls: Pulls {
                tx,
                rx,
                next_at: Millis::ZERO,
            },
            links,
        })
    }

    /// TCP address that receives the target's announcements.
    #[must_use]
    pub const fn announce_addr(&self) -> SocketAddr {
        self.announce_addr
    }

    /// Runs until the process was asked to stop, the target has drained and the balancers have been
    /// sent a leave notice.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if a socket fails permanently.
    pub async fn run(mut self) -> Result<(), ControlError> {
        self.serve_announcements();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                received = self.socket.recv_from(&mut buf) => {
                    // An error belongs to an earlier send to a closed port. The next tick retries.
                    if let Ok((len, from)) = received {
                        self.on_datagram(&buf[..len], from);
                    }
                }
                Some(command) = self.links.commands.recv() => self.on_command(command).await,
                Some(reply) = self.pulls.rx.recv() => self.on_pool(&reply),
                Ok(()) = self.announced.changed() => {}
                Ok(()) = self.links.stop.changed() => self.on_stop(),
            }
            self.update_record();
            self.send_heartbeats().await;
            if self.is_stopped() {
                self.send_leave().await;
                return Ok(());
            }
        }
    }

    fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }

    fn serve_announcements(&mut self) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let latest = self.announced_tx.clone();
        tokio::spawn(async move {
            let serving = listener::serve(listener, |incoming| {
                announce::serve(incoming, latest.clone())
            });
            if let Err(error) = serving.await {
                log::error!("control: announcements cannot be served: {error}");
            }
        });
    }

    fn on_datagram(&mut self, frame: &[u8], from: SocketAddr) {
        match self.codec.open(frame) {
            Ok(Envelope {
                body: Some(Body::HeartbeatReply(reply)),
            }) => self.on_reply(&reply, from),
            Ok(_) => {}
            Err(error) => log::debug!("control: frame from {from} rejected: {error}"),
        }
    }

    fn on_reply(&mut self, reply: &HeartbeatReply, from: SocketAddr) {
        let now = self.now();
        self.reporting.on_answer(now, from);
        for balancer in &reply.balancers {
            match balancer_from_message(balancer) {
                Ok(record) => self.reporting.learn(now, record),
                Err(error) => log::debug!("control: balancer record from {from} rejected: {error}"),
            }
        }
        if let Some(version) = reply.refute_above {
            let above = (version.incarnation, version.sequence);
            if self.record.refute(above) {
                self.reporting.report_at_once(now);
            }
        }
        self.pull_if_changed(reply, from);
    }

    async fn on_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Drain { on, reply_to } => {
                log::info!("control: drain {}", if on { "requested" } else { "ended" });
                self.record.set_drained(on);
                self.update_record();
                self.send_heartbeat(reply_to, false).await;
            }
            ControlCommand::TargetReachable(reachable) => self.record.set_reachable(reachable),
        }
    }

    fn on_stop(&mut self) {
        if *self.links.stop.borrow() {
            log::info!("control: stopping, draining the target");
            self.record.set_leaving();
        }
    }

    fn is_stopped(&self) -> bool {
        self.record.is_leaving() && self.links.stats.open() == 0
    }

    /// Reports the target dead to the balancers, so that they need not detect it by timeout.
    async fn send_leave(&mut self) {
        self.record.set_dead();
        for to in self.reporting.current() {
            self.send_heartbeat(to, false).await;
        }
    }

    /// Updates the record from the latest announcement, and reports a change to the traffic thread
    /// and to the balancers.
    fn update_record(&mut self) {
        let latest = self.announced.borrow().clone();
        let Some(announced) = latest else {
            return;
        };
        let state = announced.state_at(Instant::now());
        let changed = self.record.update(&announced.announcement, state);
        if !changed.any() {
            return;
        }
        if changed.target {
            self.send_to_traffic(TrafficCommand::Target {
                address: announced.announcement.address,
                slots: announced.announcement.slots,
            });
        }
        let state = self.record.current().map(|record| record.state);
        self.send_to_traffic(TrafficCommand::State(
            state.unwrap_or(TargetState::Starting),
        ));
        let now = self.now();
        self.reporting.report_at_once(now);
    }

    async fn send_heartbeats(&mut self) {
        if self.record.current().is_none() {
            return;
        }
        let now = self.now();
        for send in self.reporting.due(now) {
            self.send_heartbeat(send.to, send.is_last).await;
        }
    }

    async fn send_heartbeat(&self, to: SocketAddr, is_last: bool) {
        let Some(record) = self.record.current() else {
            return;
        };
        let body = Body::Heartbeat(Heartbeat {
            target: Some(target_to_message(&TargetUpdate::alive(record))),
            revision: self.known.revision.number,
            open: self.links.stats.open(),
            is_last,
            wants_balancers: self.reporting.wants_balancers(self.now()),
        });
        let mut buf = BytesMut::new();
        self.codec.seal(&Envelope::from(body), &mut buf);
        if let Err(error) = self.socket.send_to(&buf, to).await {
            log::debug!("control: heartbeat to {to} failed: {error}");
        }
    }

    fn send_to_traffic(&self, command: TrafficCommand) {
        if self.links.traffic.send(command).is_err() {
            log::error!("control: the traffic thread has ended");
        }
    }
}

/// Unix time of the start, in ms. Used only to order the starts of one agent.
fn incarnation_of_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |span| Millis::from(span).0)
}
