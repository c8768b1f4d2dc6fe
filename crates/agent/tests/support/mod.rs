//! A traffic thread with everything around it played by the test.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "../../../caller/tests/support/mod.rs"]
pub mod client;

use std::cell::RefCell;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use citronhollow_agent::link::{ControlCommand, TrafficCommand, TrafficFigures};
use citronhollow_agent::settings::Settings;
use citronhollow_agent::traffic::{self, TrafficHandle};
use citronhollow_caller::packet;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_peer::message::{Forward, Relay};
use citronhollow_peer::{Body, Codec, Envelope, Key, Keyring};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use client::{Client, ClientSettings};

/// A test that takes longer hangs.
pub const HANG: Duration = Duration::from_mins(1);

const SEED: u64 = 0x5eed;
const GROUP: &str = "match-desk";
const LARGEST_DATAGRAM: usize = 2_048;

pub fn service_addr() -> SocketAddr {
    "192.0.2.10:80".parse().unwrap()
}

fn key() -> Key {
    Key {
        id: 1,
        secret: "07".repeat(32),
    }
}

pub fn codec() -> Codec {
    Codec::new(Keyring::new(&[key()]).unwrap())
}

pub fn settings(name: &str, fabric: SocketAddr) -> Settings {
    let settings = serde_json::json!({
        "name": name,
        "domain": "ahmedabad",
        "traffic_listen": "127.0.0.1:0",
        "announce_listen": "127.0.0.1:0",
        "fabric": [fabric],
        "seeds": [],
        "keys": [key()],
    });
    serde_json::from_value(settings).unwrap()
}

/// A revision with one service that one pool serves.
pub fn revision(refusal: Refusal) -> Revision {
    let service = Service {
        name: String::from("match-desk"),
        addresses: vec![service_addr()],
        pool: String::from("match-desk"),
        refusal,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = Pool {
        name: String::from("match-desk"),
        groups: vec![String::from(GROUP)],
        flows_per_target: None,
    };
    Revision {
        number: 1,
        epoch: 1,
        documents: Documents {
            services: vec![service],
            pools: vec![pool],
            rules: Vec::new(),
        },
    }
}

/// A running traffic thread.
pub struct Agent {
    pub id: TargetId,
    pub addr: SocketAddr,
    pub commands: UnboundedSender<TrafficCommand>,
    pub control: UnboundedReceiver<ControlCommand>,
    pub figures: Arc<TrafficFigures>,
    handle: TrafficHandle,
}

impl Agent {
    pub fn start(settings: &Settings) -> Self {
        let (commands, commands_rx) = unbounded_channel();
        let (control_tx, control) = unbounded_channel();
        let figures = Arc::new(TrafficFigures::default());
        let keys = Keyring::new(&settings.keys).unwrap();
        let handle = traffic::spawn(
            settings,
            keys,
            commands_rx,
            control_tx,
            Arc::clone(&figures),
        )
        .unwrap();
        Self {
            id: TargetId::of(&settings.name),
            addr: handle.local_addr(),
            commands,
            control,
            figures,
            handle,
        }
    }

    pub fn record(&self, state: TargetState) -> TargetRecord {
        TargetRecord {
            id: self.id,
            group: GroupId::of(GROUP),
            domain: DomainId::of("ahmedabad"),
            agent: self.addr,
            slots: 2,
            state,
            incarnation: 1,
            sequence: 1,
        }
    }

    pub fn command(&self, command: TrafficCommand) {
        self.commands.send(command).unwrap();
    }

    /// Makes it ready to serve `target`, alone in its pool.
    pub fn serve(&self, target: SocketAddr) {
        self.configure(
            target,
            vec![self.record(TargetState::Ready)],
            Refusal::Reset,
        );
    }

    pub fn configure(&self, target: SocketAddr, peers: Vec<TargetRecord>, refusal: Refusal) {
        self.command(TrafficCommand::Target {
            address: target,
            slots: 2,
        });
        self.command(TrafficCommand::Peers(peers));
        self.command(TrafficCommand::Services(revision(refusal)));
        self.command(TrafficCommand::State(TargetState::Ready));
    }

    pub fn stop(self) {
        drop(self.commands);
        self.handle.join().unwrap();
    }
}

/// The fabric: callers' packets go to agents in a balancer's envelope, replies come back.
pub struct Fabric {
    socket: UdpSocket,
    codec: Codec,
    start: Instant,
    /// Flows are sampled with this trace identity.
    pub trace: u64,
    /// Targets that may hold the flows.
    pub chain: Vec<TargetId>,
    /// Packets lost, in percent.
    pub loss: u32,
    /// Packets repeated, in percent.
    pub repeats: u32,
    rng: RefCell<SmallRng>,
}

impl Fabric {
    pub fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        Self {
            socket,
            codec: codec(),
            start: Instant::now(),
            trace: 0,
            chain: Vec::new(),
            loss: 0,
            repeats: 0,
            rng: RefCell::new(SmallRng::seed_from_u64(SEED)),
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    pub fn send_body(&self, to: SocketAddr, body: Body) {
        let mut frame = BytesMut::new();
        self.codec.seal(&Envelope::from(body), &mut frame);
        self.socket.send_to(&frame, to).unwrap();
    }

    pub fn forward(&self, to: SocketAddr, packet: &[u8]) {
        if self.happens(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.happens(self.repeats));
        for _ in 0..copies {
            self.forward_one(to, packet);
        }
    }

    fn happens(&self, percent: u32) -> bool {
        self.rng.borrow_mut().random_ratio(percent, 100)
    }

    fn forward_one(&self, to: SocketAddr, packet: &[u8]) {
        let forward = Forward {
            packet: Bytes::copy_from_slice(packet),
            revision: 1,
            candidates: self.chain.iter().map(|id| id.0).collect(),
            hops: 0,
            trace: self.trace,
            relay: Relay::Balancer.into(),
            sender: 0,
            offer: 0,
            request_class: None,
            age_ms: 0,
            group: 0,
        };
        self.send_body(to, Body::Forward(forward));
    }

    pub fn send_raw(&self, to: SocketAddr, datagram: &[u8]) {
        self.socket.send_to(datagram, to).unwrap();
    }

    /// Waits a moment for a datagram.
    pub fn recv(&self) -> Option<Vec<u8>> {
        let mut buf = [0; LARGEST_DATAGRAM];
        let (len, _) = self.socket.recv_from(&mut buf).ok()?;
        if self.happens(self.loss) {
            return None;
        }
        Some(buf[..len].to_vec())
    }

    /// Carries packets between one caller and the agent until `is_done` says so.
    pub fn run(
        &self,
        client: &mut Client,
        agent: SocketAddr,
        mut is_done: impl FnMut(&mut Client) -> bool,
    ) {
        self.run_via(client, |_| agent, &mut is_done);
    }

    /// Like [`Self::run`], with an agent chosen for each packet.
    pub fn run_via(
        &self,
        client: &mut Client,
        mut choose: impl FnMut(&[u8]) -> SocketAddr,
        mut is_done: impl FnMut(&mut Client) -> bool,
    ) {
        let begun = Instant::now();
        loop {
            let mut out = Vec::new();
            client.poll(self.now(), &mut out);
            for packet in out {
                self.forward(choose(&packet), &packet);
            }
            if is_done(client) {
                return;
            }
            // A stack resets flows that it does not know, so another caller's packet is lost.
            if let Some(reply) = self.recv().filter(|reply| is_for(client, reply)) {
                let mut out = Vec::new();
                client.on_packet(self.now(), &reply, &mut out);
                for packet in out {
                    self.forward(choose(&packet), &packet);
                }
            }
            assert!(begun.elapsed() < HANG, "client hangs in {}", client.state());
        }
    }
}

fn is_for(client: &Client, packet: &[u8]) -> bool {
    packet::parse(packet).is_ok_and(|parsed| parsed.flow.service == client.from)
}

/// Long enough for the agents of a pool to have told one another their load.
pub fn settle() {
    std::thread::sleep(Duration::from_secs(1));
}

/// A target that does `serve` with every connection, in a thread of its own.
pub fn target(serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream.unwrap()));
        }
    });
    addr
}

/// A target that tells how each of its connections ended.
pub fn reporting_target() -> (SocketAddr, mpsc::Receiver<io::Result<Vec<u8>>>) {
    let (tx, rx) = mpsc::channel();
    let addr = target(move |mut stream| {
        let mut bytes = Vec::new();
        let end = stream.read_to_end(&mut bytes);
        let _ = tx.send(end.map(|_| bytes));
        Ok(())
    });
    (addr, rx)
}

/// What a target does that sends everything back.
pub fn echo(mut stream: TcpStream) -> io::Result<()> {
    let mut from = stream.try_clone()?;
    io::copy(&mut from, &mut stream)?;
    stream.shutdown(Shutdown::Write)
}

pub fn body(len: usize) -> Vec<u8> {
    (0..=250).cycle().take(len).collect()
}

/// A caller with the given port that is about to connect to the service.
pub fn caller(port: u16) -> Client {
    let from = SocketAddr::from(([198, 51, 100, 7], port));
    Client::connect(
        from,
        service_addr(),
        u64::from(port),
        ClientSettings::default(),
    )
}

/// Waits until `condition` holds.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < HANG, "{what} did not come true");
        std::thread::sleep(Duration::from_millis(1));
    }
}
