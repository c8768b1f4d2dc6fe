//! Fixture: control threads of balancers and agents on loopback, without traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use citronhollow_agent::control as agent;
use citronhollow_agent::link::{ControlCommand, TrafficCommand, TrafficStats};
use citronhollow_balancer::control::{Control, ControlHandle};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_balancer::settings::Settings;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_core::routes::Routes;
use citronhollow_peer::{Body, Codec, Key, Keyring};
use citronhollow_target::announce::{AnnouncedState, Announcement};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use volo_http::client;
use volo_http::http::StatusCode;

/// Time limit that only ends a test that hangs.
const HANG: Duration = Duration::from_mins(1);

pub const SERVICE: &str = "10.1.0.1:443";

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn keys(digit: &str) -> Vec<Key> {
    vec![Key {
        id: 1,
        secret: digit.repeat(64),
    }]
}

pub fn keyring(digit: &str) -> Keyring {
    Keyring::new(&keys(digit)).expect("key of the test")
}

pub fn revision(number: u64) -> Revision {
    Revision {
        number,
        epoch: 1,
        documents: Documents {
            services: vec![Service {
                name: String::from("match-desk"),
                addresses: vec![SERVICE.parse().expect("address of the test")],
                pool: String::from("desk"),
                refusal: Refusal::Reset,
                new_flows_per_s: None,
                new_flows_per_s_per_caller: None,
                spill: citronhollow_core::config::Spill::Normal,
                requests: citronhollow_core::config::RequestClass::default(),
            }],
            pools: vec![Pool {
                name: String::from("desk"),
                groups: vec![String::from("desk")],
                flows_per_target: None,
            }],
            rules: Vec::new(),
        },
    }
}

/// Waits until `check` returns a value. `what` names it in the panic message.
pub async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(HANG, wait)
        .await
        .unwrap_or_else(|_| panic!("{what} did not happen"))
}

/// Control thread of a balancer.
pub struct Balancer {
    pub handle: ControlHandle,
    pub revisions: RevisionStore,
    pub routes: Arc<ArcSwap<Routes>>,
    pub task: JoinHandle<()>,
}

impl Balancer {
    pub async fn start(name: &str, seeds: &[SocketAddr]) -> Self {
        Self::start_with(name, seeds, keyring("a"), RevisionStore::default()).await
    }

    pub async fn start_with(
        name: &str,
        seeds: &[SocketAddr],
        keys: Keyring,
        revisions: RevisionStore,
    ) -> Self {
        let settings = settings(name, seeds);
        let routes = Arc::new(ArcSwap::from_pointee(Routes::default()));
        let (control, handle) =
            Control::bind(&settings, keys, revisions.clone(), Arc::clone(&routes))
                .await
                .expect("a free port");
        Self {
            handle,
            revisions,
            routes,
            task: tokio::spawn(control.run()),
        }
    }

    /// Agents that report to this balancer.
    pub async fn reporting(&self) -> usize {
        let status = self.handle.status().await;
        status.expect("a running balancer").reporting
    }

    /// The target that the routes choose for a new flow, if any.
    pub fn chosen(&self) -> Option<TargetId> {
        let syn = Segment {
            syn: true,
            ..Segment::default()
        };
        let flow = FlowId {
            caller: SocketAddr::from(([10, 9, 0, 1], 4_000)),
            service: SERVICE.parse().expect("address of the test"),
        };
        let routes = self.routes.load();
        let choice = routes.choose(&flow, &syn).ok()?;
        // An agent whose target takes no new flows gets the packet only to reject or relay it.
        let member = routes.target(choice.target);
        member.state.takes_new().then_some(member.id)
    }
}

fn settings(name: &str, seeds: &[SocketAddr]) -> Settings {
    Settings {
        name: String::from(name),
        domain: format!("domain of {name}"),
        fabric_listen: any_port(),
        control_listen: any_port(),
        operator_listen: any_port(),
        seeds: seeds.to_vec(),
        platform: any_port(),
        keys: keys("a"),
        operator_token: String::from("token"),
        traffic_threads: 1,
        metrics: None,
        log_level: String::from("info"),
        traces: None,
        trace_one_in: 0,
    }
}

/// Control thread of an agent.
pub struct Agent {
    pub announce: SocketAddr,
    pub traffic: mpsc::UnboundedReceiver<TrafficCommand>,
    pub commands: mpsc::UnboundedSender<ControlCommand>,
    pub stats: Arc<TrafficStats>,
    pub stop: watch::Sender<bool>,
    pub task: JoinHandle<()>,
    pub peers: Vec<TargetRecord>,
    pub services: Revision,
    pub states: Vec<TargetState>,
}

impl Agent {
    pub async fn start(name: &str, seeds: &[SocketAddr], traffic_addr: SocketAddr) -> Self {
        let (traffic_tx, traffic) = mpsc::unbounded_channel();
        let (commands, commands_rx) = mpsc::unbounded_channel();
        let (stop, stop_rx) = watch::channel(false);
        let stats = Arc::new(TrafficStats::default());
        let links = agent::Links {
            traffic: traffic_tx,
            commands: commands_rx,
            stats: Arc::clone(&stats),
            traffic_addr,
            stop: stop_rx,
        };
        let settings = citronhollow_agent::settings::Settings {
            name: String::from(name),
            domain: String::from("a"),
            traffic_listen: traffic_addr,
            announce_listen: any_port(),
            fabric: vec![any_port()],
            seeds: seeds.to_vec(),
            keys: keys("a"),
            flow_limit: 100,
            keepalive_ms: Millis::from_secs(30),
            metrics: None,
            log_level: String::from("info"),
            traces: None,
        };
        let control = agent::Control::bind(&settings, keyring("a"), links)
            .await
            .expect("a free port");
        let announce = control.announce_addr();
        let task = tokio::spawn(async move {
            control.run().await.expect("sockets that work");
        });
        Self {
            announce,
            traffic,
            commands,
            stats,
            stop,
            task,
            peers: Vec::new(),
            services: Revision::default(),
            states: Vec::new(),
        }
    }

    pub async fn announce(&self, state: AnnouncedState) {
        let announcement = Announcement {
            group: String::from("desk"),
            address: SocketAddr::from(([127, 0, 0, 1], 8_080)),
            slots: 2,
            state,
        };
        assert_eq!(self.put(&announcement).await, StatusCode::OK);
    }

    pub async fn put(&self, announcement: &impl serde::Serialize) -> StatusCode {
        let client = client::ClientBuilder::new().build().expect("a client");
        let url = format!("http://{}/v1/target", self.announce);
        let response = client
            .put(url.as_str())
            .json(announcement)
            .send()
            .await
            .expect("the agent answers");
        response.status()
    }

    /// Receives operators' drain messages in place of the traffic thread.
    pub fn take_drains(&self, socket: UdpSocket) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let codec = Codec::new(keyring("a"));
            let mut buf = [0; 1_500];
            while let Ok((len, reply_to)) = socket.recv_from(&mut buf).await {
                let envelope = codec.open(&buf[..len]).expect("a frame under the key");
                let Some(Body::Drain(drain)) = envelope.body else {
                    continue;
                };
                let on = drain.on;
                let _ = commands.send(ControlCommand::Drain { on, reply_to });
            }
        });
    }

    /// Reads the commands sent to the traffic thread. Panics if a revision number decreases.
    pub fn listen(&mut self) {
        while let Ok(command) = self.traffic.try_recv() {
            match command {
                TrafficCommand::Target { .. } | TrafficCommand::PeersConfirmed => {}
                TrafficCommand::State(state) => self.states.push(state),
                TrafficCommand::Peers(peers) => self.peers = peers,
                TrafficCommand::Services(services) => {
                    assert!(
                        services.number >= self.services.number,
                        "a revision went back"
                    );
                    self.services = services;
                }
            }
        }
    }
}
