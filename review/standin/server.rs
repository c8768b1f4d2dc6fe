//! A server: flows over packets, and heartbeats to the agent on its machine.
//!
//! A request is one packet of data, `ID WORK_MS`; its answer is one packet, `ANSWER ID SERVER`.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{self, ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Addresses and names of one server.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub heartbeat: Duration,
}

#[derive(Clone)]
pub struct Server {
    setup: Setup,
    record: Record,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    is_draining: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    /// Start of the server by its machine's time of day, in ms since the Unix epoch.
    born: Arc<AtomicU64>,
    /// Whether the server has crashed: it is silent until its next start.
    is_down: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    /// Requests that were run, in order.
    ran: Vec<String>,
    resets_sent: u64,
    flows_opened: u64,
}

struct Flow {
    isn: u32,
    client_isn: u32,
    is_open: bool,
    /// Next byte expected from the client.
    next_in: u32,
    /// Next byte to send.
    next_out: u32,
    /// Answer that is not acknowledged yet: its packet, when it is sent again, and how often it was.
    unacked: Option<(Packet, Instant, u32)>,
}

impl Server {
    pub fn start(setup: Setup, record: &Record) -> Result<Self, String> {
        Self::start_at(setup, unix_ms(), record)
    }

    /// Starts a server whose machine's time of day is `born`.
    pub fn start_at(setup: Setup, born: u64, record: &Record) -> Result<Self, String> {
        let socket = UdpSocket::bind(setup.app).map_err(|err| err.to_string())?;
        let timeout = Some(Duration::from_millis(20));
        socket.set_read_timeout(timeout).map_err(|err| err.to_string())?;
        let server = Self {
            setup,
            record: record.clone(),
            socket: Arc::new(socket),
            state: Arc::default(),
            is_draining: Arc::default(),
            sequence: Arc::default(),
            born: Arc::new(AtomicU64::new(born)),
            is_down: Arc::default(),
        };
        let (packets, beats) = (server.clone(), server.clone());
        thread::spawn(move || packets.serve());
        thread::spawn(move || loop {
            if !beats.is_down.load(Ordering::Relaxed) {
                beats.beat();
            }
            thread::sleep(beats.setup.heartbeat);
        });
        Ok(server)
    }

    /// Crashes: the server drops its flows and is silent.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.state.lock().expect("the lock").flows.clear();
        self.record.note(&format!("{} crashes", self.setup.id));
    }

    /// Says that it ends, and ends. Returns whether the notice was acknowledged.
    pub fn end(&self) -> bool {
        self.is_down.store(true, Ordering::Relaxed);
        let id = &self.setup.id;
        let status = http::call(self.setup.control, "DELETE", &format!("/servers/{id}"), "");
        self.state.lock().expect("the lock").flows.clear();
        self.is_draining.store(false, Ordering::Relaxed);
        self.record.note(&format!("{id}: DELETE: {status:?}, ends"));
        status == Some(200)
    }

    /// Starts again under the same id, with counts that start anew.
    pub fn start_again(&self) {
        self.born.store(unix_ms(), Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.record.note(&format!("{} starts again", self.setup.id));
        self.beat();
    }

    pub fn id(&self) -> &str {
        &self.setup.id
    }

    /// Says that it leaves. Returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.is_draining.store(true, Ordering::Relaxed);
        self.beat()
    }

    pub fn beat_now(&self) -> bool {
        self.beat()
    }

    pub fn has_run(&self, request: &str) -> bool {
        let state = self.state.lock().expect("the lock");
        state.ran.iter().any(|ran| ran == request)
    }

    pub fn flows_opened(&self) -> u64 {
        self.state.lock().expect("the lock").flows_opened
    }

    pub fn resets_sent(&self) -> u64 {
        self.state.lock().expect("the lock").resets_sent
    }

    pub fn holds(&self, client: SocketAddrV4, route: SocketAddrV4) -> bool {
        let state = self.state.lock().expect("the lock");
        state.flows.get(&(client, route)).is_some_and(|flow| flow.is_open)
    }

    fn beat(&self) -> bool {
        let seq = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = match self.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let Setup { id, service, zone, app, .. } = &self.setup;
        let born = self.born.load(Ordering::Relaxed);
        let body = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{app}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"coldLeftMs\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        let status = http::call(self.setup.control, "PUT", &format!("/servers/{id}"), &body);
        let answer = status.map_or(String::from("no answer"), |status| status.to_string());
        self.record.note(&format!("{id}: heartbeat {seq}, {state}, born {born}: {answer}"));
        status.is_some_and(|status| (200..300).contains(&status))
    }

    fn serve(&self) {
        let mut buf = [0; 2048];
        loop {
            if let Ok((len, _)) = self.socket.recv_from(&mut buf) {
                if !self.is_down.load(Ordering::Relaxed) {
                    self.on_bytes(&buf[..len]);
                }
            }
            self.repeat_answers();
        }
    }

    fn on_bytes(&self, bytes: &[u8]) {
        let id = &self.setup.id;
        if !packet::is_genuine(bytes) {
            self.record.note(&format!("{id}: got a packet that no client wrote so"));
            return;
        }
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        let key = (packet.src, packet.dst);
        let mut state = self.state.lock().expect("the lock");
        if packet.is_initial_syn() {
            let isn = packet.seq.wrapping_mul(0x9e37_79b1) ^ self.setup.app.port() as u32
                ^ (self.born.load(Ordering::Relaxed) as u32);
            let flow = state.flows.entry(key).or_insert(Flow {
                isn,
                client_isn: packet.seq,
                is_open: false,
                next_in: packet.seq.wrapping_add(1),
                next_out: isn.wrapping_add(1),
                unacked: None,
            });
            if flow.client_isn == packet.seq && !flow.is_open {
                let (seq, ack) = (flow.isn, flow.next_in);
                self.send(&reply(&packet, SYN | ACK, seq, ack, Vec::new()));
            }
            return;
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            let _ = self.socket.send_to(&packet::bounced(bytes), self.setup.outbound);
            return;
        };
        if !flow.is_open {
            if packet.ack != flow.isn.wrapping_add(1) {
                let _ = self.socket.send_to(&packet::bounced(bytes), self.setup.outbound);
                return;
            }
            flow.is_open = true;
            let client = packet.src;
            self.record.note(&format!("{id}: flow {client} to {} is open", packet.dst));
        }
        if packet.is(RST) {
            state.flows.remove(&key);
            return;
        }
        let flow = state.flows.get_mut(&key).expect("found above");
        if flow.unacked.as_ref().is_some_and(|_| packet.ack == flow.next_out) {
            flow.unacked = None;
        }
        let len = u32::try_from(packet.data.len()).unwrap_or(0);
        if len > 0 && packet.seq == flow.next_in {
            flow.next_in = flow.next_in.wrapping_add(len);
            let (seq, ack) = (flow.next_out, flow.next_in);
            self.send(&reply(&packet, ACK, seq, ack, Vec::new()));
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let (request, work) = text.split_once(' ').unwrap_or((&text, "0"));
            let work = Duration::from_millis(work.parse().unwrap_or(0));
            state.ran.push(request.to_string());
            self.record.note(&format!("{id}: runs {request}"));
            let (server, packet, request) = (self.clone(), packet.clone(), request.to_string());
            thread::spawn(move || {
                thread::sleep(work);
                server.finish(&packet, &request);
            });
        } else if len > 0 {
            let (seq, ack) = (flow.next_out, flow.next_in);
            self.send(&reply(&packet, ACK, seq, ack, Vec::new()));
        }
        let flow = state.flows.get_mut(&key).expect("found above");
        if packet.is(FIN) {
            let (seq, ack) = (flow.next_out, flow.next_in.wrapping_add(1));
            self.send(&reply(&packet, FIN | ACK, seq, ack, Vec::new()));
            state.flows.remove(&key);
        } else {
            let first = flow.isn.wrapping_add(1) == packet.ack && len == 0;
            if first {
                state.flows_opened += 1;
            }
        }
    }

    /// Sends the answer of a request that was run.
    fn finish(&self, packet: &Packet, request: &str) {
        let id = &self.setup.id;
        let mut state = self.state.lock().expect("the lock");
        let Some(flow) = state.flows.get_mut(&(packet.src, packet.dst)) else {
            return;
        };
        let data = format!("ANSWER {request} {id}").into_bytes();
        let (seq, ack) = (flow.next_out, flow.next_in);
        let len = u32::try_from(data.len()).unwrap_or(0);
        flow.next_out = flow.next_out.wrapping_add(len);
        let answer = reply(packet, ACK, seq, ack, data);
        self.send(&answer);
        let again = Instant::now() + Duration::from_millis(200);
        flow.unacked = Some((answer, again, 0));
        self.record.note(&format!("{id}: answers {request}"));
    }

    fn repeat_answers(&self) {
        let mut state = self.state.lock().expect("the lock");
        for flow in state.flows.values_mut() {
            let Some((answer, at, times)) = &mut flow.unacked else {
                continue;
            };
            if *times < 8 && Instant::now() >= *at {
                *times += 1;
                let wait = (200_u64 << (*times).min(3)).min(1_600);
                *at = Instant::now() + Duration::from_millis(wait);
                self.send(answer);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.setup.outbound);
    }
}

fn reply(to: &Packet, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet {
        flags,
        seq,
        ack,
        src: to.dst,
        dst: to.src,
        data,
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}
