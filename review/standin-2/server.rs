//! A server on a side machine: flows over packets, heartbeats, and its planned end.

use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::machine::{HEARTBEAT_MS, Machine, Site};
use crate::packet::{self, ACK, FIN, Packet, RST, SYN};
use crate::store::call;
use crate::world::{FlowKey, Held, World};

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub slots: usize,
    pub work: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    HalfOpen,
    Open,
    Ended,
}

struct Flow {
    stage: Stage,
    isn: u32,
    client_isn: u32,
    rcv: u32,
    snd: u32,
    /// What the server repeats until the client acknowledges it: flags, seq, data.
    unacked: Option<(u8, u32, Vec<u8>)>,
    resend_at: Instant,
    pause: Duration,
    tries: u32,
    has_sent_fin: bool,
}

pub struct Shared {
    pub is_draining: AtomicBool,
    has_left: AtomicBool,
    is_dead: AtomicBool,
    pub acked_beats: AtomicU64,
    pub half_open: Mutex<Vec<FlowKey>>,
}

pub struct Server {
    pub config: Config,
    /// The server and its start.
    pub name: String,
    pub shared: Arc<Shared>,
    control: SocketAddr,
    world: World,
    sequence: Arc<AtomicU64>,
    born: u64,
    app: SocketAddrV4,
    machine: String,
}

/// First sequence number of an end: a clock of 4 µs ticks, as TCP's standard describes it, or a
/// random number if `ISN=random`.
pub fn first_seq() -> u32 {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros();
    if std::env::var("ISN").is_ok_and(|isn| isn == "random") {
        return (micros as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23) as u32;
    }
    (micros / 4) as u32
}

impl Server {
    pub fn start(site: &Site, machine: &Machine, config: Config) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let shared = Arc::new(Shared {
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            is_dead: AtomicBool::new(false),
            acked_beats: AtomicU64::new(0),
            half_open: Mutex::new(Vec::new()),
        });
        let server = Self {
            control: SocketAddr::V4(machine.at(site.ports.control)),
            world: site.world.clone(),
            sequence: Arc::default(),
            born,
            app: machine.at(site.ports.app),
            machine: machine.name.clone(),
            shared,
            name: format!("{}@{born}", config.id),
            config,
        };
        server.world.log(&format!("server {} starts on {}", server.config.id, server.machine));
        let name = server.name.clone();
        server.world.state.lock().unwrap().alive.insert(name, None);
        let socket = UdpSocket::bind(server.app).expect("the server's address");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let outbound = machine.at(site.ports.outbound);
        let loop_ = Loop {
            name: server.name.clone(),
            config: server.config.clone(),
            shared: Arc::clone(&server.shared),
            world: server.world.clone(),
            socket,
            outbound,
            flows: HashMap::new(),
            queue: VecDeque::new(),
            busy: Vec::new(),
        };
        std::thread::spawn(move || loop_.run());
        let (shared, beat) = (Arc::clone(&server.shared), server.beater());
        std::thread::spawn(move || {
            while !shared.is_dead.load(Ordering::Relaxed) && !shared.has_left.load(Ordering::Relaxed) {
                beat();
                let percent = if std::env::var("JITTER").is_ok() { 70 + u64::from(first_seq() % 61) } else { 100 };
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS * percent / 100));
            }
        });
        server
    }

    fn beater(&self) -> impl Fn() -> bool + Send + use<> {
        let (control, app, born) = (self.control, self.app, self.born);
        let (config, shared) = (self.config.clone(), Arc::clone(&self.shared));
        let sequence = Arc::clone(&self.sequence);
        move || {
            let state = if shared.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
            let seq = sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                "{{\"service\":\"{}\",\"addr\":\"{app}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
                config.service, config.slots
            );
            let answer = call(control, "PUT", &format!("/servers/{}", config.id), &body);
            let is_acked = answer.is_some_and(|(status, _)| (200..300).contains(&status));
            if is_acked {
                shared.acked_beats.fetch_add(1, Ordering::Relaxed);
            }
            is_acked
        }
    }

    /// Planned end: draining, `drain` after the acknowledgement, the leave call, the exit.
    pub fn leave(&self, drain: Duration) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        let beat = self.beater();
        let until = Instant::now() + Duration::from_secs(5);
        while !beat() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(100));
        }
        self.world.log(&format!("server {} drains, acknowledged", self.config.id));
        std::thread::sleep(drain);
        self.shared.has_left.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(20));
        let answer = call(self.control, "DELETE", &format!("/servers/{}", self.config.id), "");
        self.crash();
        let status = answer.map(|answer| answer.0);
        self.world.log(&format!("server {} has left, its call got {status:?}", self.config.id));
    }

    /// Ends at once and says nothing.
    pub fn crash(&self) {
        self.shared.is_dead.store(true, Ordering::Relaxed);
        self.world.state.lock().unwrap().alive.remove(&self.name);
        std::thread::sleep(Duration::from_millis(10));
        self.world.log(&format!("server {} has ended", self.config.id));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.is_dead.store(true, Ordering::Relaxed);
    }
}

struct Job {
    flow: FlowKey,
    id: u64,
}

struct Loop {
    name: String,
    config: Config,
    shared: Arc<Shared>,
    world: World,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    flows: HashMap<FlowKey, Flow>,
    queue: VecDeque<Job>,
    busy: Vec<(Instant, Job)>,
}

impl Loop {
    fn run(mut self) {
        let mut buf = [0; 2048];
        while !self.shared.is_dead.load(Ordering::Relaxed) {
            for _ in 0..64 {
                let Ok((n, _)) = self.socket.recv_from(&mut buf) else {
                    break;
                };
                self.on_bytes(&buf[..n]);
                self.socket.set_nonblocking(true).unwrap();
            }
            self.socket.set_nonblocking(false).unwrap();
            self.work();
            self.resend();
        }
    }

    fn send(&self, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, self.outbound);
    }

    fn say(&self, key: FlowKey, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        self.send(&packet::encode(key.1, key.0, flags, seq, ack, data));
    }

    fn on_bytes(&mut self, bytes: &[u8]) {
        let Some(p) = packet::parse(bytes) else {
            return;
        };
        if !p.is_genuine {
            let line = format!("UNASKED {} got a packet that its sender didn't write so", self.config.id);
            self.world.broke(&line);
            return;
        }
        let key = (p.src, p.dst);
        if p.flags & (SYN | RST) == 0 {
            self.world.on_flow_packet(key, &self.name);
        }
        if p.flags & SYN != 0 {
            self.on_syn(key, &p);
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            self.send(&packet::bounced(bytes));
            return;
        };
        if p.flags & RST != 0 {
            self.end(key);
            return;
        }
        if flow.stage == Stage::HalfOpen {
            if p.flags & ACK == 0 || p.ack != flow.isn.wrapping_add(1) {
                self.send(&packet::bounced(bytes));
                return;
            }
            flow.stage = Stage::Open;
            flow.unacked = None;
            let server = self.name.clone();
            let held = Held { server, opened: Instant::now(), is_closed: false };
            self.world.state.lock().unwrap().held.insert(key, held);
            self.shared.half_open.lock().unwrap().retain(|other| *other != key);
        }
        if flow.stage == Stage::Ended {
            let (snd, rcv) = (flow.snd, flow.rcv);
            if p.flags & FIN != 0 {
                self.say(key, ACK, snd, rcv, &[]);
            } else if !p.data.is_empty() {
                self.say(key, RST, snd, rcv, &[]);
            }
            return;
        }
        if p.flags & ACK != 0 && p.ack == flow.snd {
            flow.unacked = None;
        }
        if !p.data.is_empty() {
            if p.seq == flow.rcv {
                flow.rcv = flow.rcv.wrapping_add(p.data.len() as u32);
                self.on_request(key, &p.data);
            } else if let Some((flags, seq, data)) = flow.unacked.clone() {
                let rcv = flow.rcv;
                self.say(key, flags, seq, rcv, &data);
            }
        }
        if p.flags & FIN != 0 {
            let Some(flow) = self.flows.get_mut(&key) else {
                return;
            };
            flow.rcv = flow.rcv.wrapping_add(1);
            let (flags, seq, rcv) = if flow.has_sent_fin {
                (ACK, flow.snd, flow.rcv)
            } else {
                flow.snd = flow.snd.wrapping_add(1);
                (ACK | FIN, flow.snd.wrapping_sub(1), flow.rcv)
            };
            self.say(key, flags, seq, rcv, &[]);
            self.end(key);
        }
    }

    fn end(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.stage = Stage::Ended;
            flow.unacked = None;
        }
        if let Some(held) = self.world.state.lock().unwrap().held.get_mut(&key)
            && held.server == self.name
        {
            held.is_closed = true;
        }
    }

    fn on_syn(&mut self, key: FlowKey, p: &Packet) {
        if let Some(flow) = self.flows.get(&key)
            && flow.client_isn == p.seq
        {
            if flow.stage == Stage::HalfOpen {
                self.say(key, SYN | ACK, flow.isn, flow.rcv, &[]);
            }
            return;
        }
        let isn = first_seq();
        let rcv = p.seq.wrapping_add(1);
        let flow = Flow {
            stage: Stage::HalfOpen,
            isn,
            client_isn: p.seq,
            rcv,
            snd: isn.wrapping_add(1),
            unacked: Some((SYN | ACK, isn, Vec::new())),
            resend_at: Instant::now() + Duration::from_millis(200),
            pause: Duration::from_millis(200),
            tries: 0,
            has_sent_fin: false,
        };
        self.flows.insert(key, flow);
        self.shared.half_open.lock().unwrap().push(key);
        self.say(key, SYN | ACK, isn, rcv, &[]);
    }

    fn on_request(&mut self, key: FlowKey, data: &[u8]) {
        let text = String::from_utf8_lossy(data);
        let id = text.lines().find_map(|line| line.strip_prefix("Request-Id: "));
        let id = id.and_then(|id| id.trim().parse().ok()).unwrap_or(0);
        let job = Job { flow: key, id };
        if self.queue.len() >= 8 {
            self.answer(&job, "503 Busy", "Not-Run: 1\r\n");
            return;
        }
        self.queue.push_back(job);
        self.work();
    }

    fn work(&mut self) {
        let now = Instant::now();
        let mut index = 0;
        while index < self.busy.len() {
            if self.busy[index].0 <= now {
                let (_, job) = self.busy.swap_remove(index);
                self.answer(&job, "200 OK", "Reply-Seal: 1\r\n");
            } else {
                index += 1;
            }
        }
        while self.busy.len() < self.config.slots {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            let mut state = self.world.state.lock().unwrap();
            state.runs.entry(job.id).or_default().push(self.config.id.clone());
            drop(state);
            self.busy.push((now + self.config.work, job));
        }
    }

    fn answer(&mut self, job: &Job, status: &str, header: &str) {
        let is_draining = self.shared.is_draining.load(Ordering::Relaxed);
        let Some(flow) = self.flows.get_mut(&job.flow) else {
            return;
        };
        if flow.stage != Stage::Open {
            return;
        }
        let body = format!("{:0>120}", job.id);
        let text = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {}\r\n{header}Content-Length: {}\r\n\r\n{body}",
            job.id,
            body.len()
        );
        let flags = if is_draining { ACK | FIN } else { ACK };
        let (seq, rcv) = (flow.snd, flow.rcv);
        flow.snd = flow.snd.wrapping_add(text.len() as u32 + u32::from(is_draining));
        flow.has_sent_fin = is_draining;
        flow.unacked = Some((flags, seq, text.clone().into_bytes()));
        flow.pause = Duration::from_millis(200);
        flow.resend_at = Instant::now() + flow.pause;
        flow.tries = 0;
        self.say(job.flow, flags, seq, rcv, text.as_bytes());
    }

    fn resend(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.unacked.is_some() && flow.resend_at <= now {
                flow.tries += 1;
                if flow.tries > 8 {
                    flow.unacked = None;
                    if flow.stage == Stage::HalfOpen {
                        flow.stage = Stage::Ended;
                    }
                    continue;
                }
                flow.pause = (flow.pause * 2).min(Duration::from_millis(1_600));
                flow.resend_at = now + flow.pause;
                due.push((*key, flow.unacked.clone().unwrap(), flow.rcv));
            }
        }
        for (key, (flags, seq, data), rcv) in due {
            self.say(key, flags, seq, rcv, &data);
        }
    }
}
