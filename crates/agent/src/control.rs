//! The agent's control thread.
//!
//! It takes the target's announcements, keeps a few balancers informed by heartbeats, and learns
//! from them who else serves the target's group and which services that concerns. Heartbeats go
//! at an even pace and at once on a change; the three balancers are staggered, so that updates of a
//! revision waits for a third of the interval at most. The platform is never asked: what a
//! balancer says is enough, and a lower revision is never taken over.

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
    HEARTBEATS_UNANSWERED_MAX, RETRY_AFTER, Reporting, ReportingSend, UNRESPONSIVE_BACKOFF,
};

use peers::Peers;

/// Resolution of the control thread's timers.
const TICK: Duration = Duration::from_millis(50);

/// An agent whose control thread cannot run.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A socket cannot be bound.
    #[error("control socket: {0}")]
    Bind(#[from] std::io::Error),
}

/// The other ends of what the control thread talks to inside the process.
#[derive(Debug)]
pub struct Links {
    /// To the traffic thread.
    pub traffic: mpsc::UnboundedSender<TrafficCommand>,
    /// From the traffic thread.
    pub commands: mpsc::UnboundedReceiver<ControlCommand>,
    /// Figures of the traffic thread.
    pub stats: Arc<TrafficStats>,
    /// UDP address at which the traffic thread takes packets.
    pub traffic_addr: SocketAddr,
    /// Becomes true when the process has to stop.
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

/// What this agent has of the configuration.
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
    /// Binds the sockets of the settings.
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

    /// Address at which the target announces itself.
    #[must_use]
    pub const fn announce_addr(&self) -> SocketAddr {
        self.announce_addr
    }

    /// Runs until a stop is complete: asked for, drained and told to the balancers.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if a socket fails for good.
    pub async fn run(mut self) -> Result<(), ControlError> {
        self.serve_announcements();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                received = self.socket.recv_from(&mut buf) => {
                    // An error reports an earlier send that nobody took; the next tick retries.
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
            Err(error) => log::debug!("control: frame from {from} refused: {error}"),
        }
    }

    fn on_reply(&mut self, reply: &HeartbeatReply, from: SocketAddr) {
        let now = self.now();
        self.reporting.on_answer(now, from);
        for balancer in &reply.balancers {
            match balancer_from_message(balancer) {
                Ok(record) => self.reporting.learn(now, record),
                Err(error) => log::debug!("control: balancer from {from} refused: {error}"),
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
                log::info!("control: drain {}", if on { "asked for" } else { "ended" });
                self.record.set_drained(on);
                self.update_record();
                self.send_heartbeat(reply_to, false).await;
            }
            ControlCommand::TargetReachable(reachable) => self.record.set_reachable(reachable),
        }
    }

    fn on_stop(&mut self) {
        if *self.links.stop.borrow() {
            log::info!("control: stopping, the target drains");
            self.record.set_leaving();
        }
    }

    fn is_stopped(&self) -> bool {
        self.record.is_leaving() && self.links.stats.open() == 0
    }

    /// The last word, so that nobody has to find out.
    async fn send_leave(&mut self) {
        self.record.set_dead();
        for to in self.reporting.current() {
            self.send_heartbeat(to, false).await;
        }
    }

    /// Brings the record in line with the announcement, and tells everybody if it changed.
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
            log::error!("control: the traffic thread is gone");
        }
    }
}

/// Wall-clock time of the start. It orders starts of one agent and enters no other decision.
fn incarnation_of_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |span| Millis::from(span).0)
}
