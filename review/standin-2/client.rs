//! Clients with long flows, and the platform's routers before the front machines.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{self, ACK, FIN, Packet, RST, SYN};
use crate::server::first_seq;
use crate::store::call;
use crate::world::{FlowKey, World};

/// Distance of a reset's seq from the client's last ack that PROTOCOL.md allows on an open flow.
pub const RESET_WINDOW: u32 = 76_800;

/// Time without a disruption on a server after which FLOW counts for it.
const STABILITY: Duration = Duration::from_secs(4);

pub struct Front {
    pub packets: SocketAddrV4,
    ready: SocketAddr,
    pub is_in: AtomicBool,
}

/// Routers that hash by `steady` over the nodes in rotation.
pub struct Router {
    pub fronts: Mutex<Vec<Arc<Front>>>,
    world: World,
}

impl Router {
    pub fn new(world: &World) -> Arc<Self> {
        Arc::new(Self { fronts: Mutex::default(), world: world.clone() })
    }

    /// Adds a node, and asks it twice a second whether it is ready.
    pub fn add(&self, packets: SocketAddrV4, ready: SocketAddrV4) -> Arc<Front> {
        let front = Arc::new(Front {
            packets,
            ready: SocketAddr::V4(ready),
            is_in: AtomicBool::new(false),
        });
        self.fronts.lock().unwrap().push(Arc::clone(&front));
        let (probed, world) = (Arc::clone(&front), self.world.clone());
        std::thread::spawn(move || {
            let mut misses = 0;
            loop {
                let answer = call(probed.ready, "GET", "/ready", "");
                let is_ready = answer.is_some_and(|(status, _)| status == 200);
                misses = if is_ready { 0 } else { misses + 1 };
                let was_in = probed.is_in.load(Ordering::Relaxed);
                if is_ready && !was_in || was_in && misses >= 2 {
                    probed.is_in.store(is_ready, Ordering::Relaxed);
                    let what = if is_ready { "in" } else { "out of" };
                    world.log(&format!("router: {} is {what} rotation", probed.packets));
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        front
    }

    pub fn all_in(&self) -> bool {
        self.fronts.lock().unwrap().iter().all(|front| front.is_in.load(Ordering::Relaxed))
    }

    pub fn node_of(&self, key: &FlowKey) -> SocketAddrV4 {
        let fronts = self.fronts.lock().unwrap();
        let inside = || fronts.iter().filter(|front| front.is_in.load(Ordering::Relaxed));
        let uses_all = inside().count() * 2 < fronts.len();
        let candidates: Vec<_> = if uses_all { fronts.iter().collect() } else { inside().collect() };
        let weight = |front: &&Arc<Front>| {
            let text = format!("{} {} {}", key.0, key.1, front.packets);
            let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
            for byte in text.bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                hash ^= hash >> 31;
            }
            hash
        };
        candidates.into_iter().max_by_key(weight).expect("a node").packets
    }
}

#[derive(Clone)]
pub struct Habit {
    /// Pause between an answer and the next request on the same flow.
    pub pause: Duration,
    pub is_repeatable: bool,
    pub deadline: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Idle,
    Opening,
    Open,
}

struct Session {
    number: usize,
    ip: Ipv4Addr,
    service: SocketAddrV4,
    habit: Habit,
    stage: Stage,
    port: u16,
    isn: u32,
    snd: u32,
    rcv: u32,
    opened_at: Instant,
    copies: u32,
    /// Request in progress: id, bytes, seq, first sent, next copy at, pause.
    request: Option<(u64, Vec<u8>, u32, Instant, Instant, Duration)>,
    next_at: Instant,
    lost_syn_ack: bool,
}

pub struct Clients {
    pub world: World,
    pub router: Arc<Router>,
    next_id: Arc<AtomicU64>,
    /// Sessions whose next first SYN+ACK is lost on the way.
    pub lose: Arc<Mutex<Vec<usize>>>,
    /// Sessions that are to start.
    pub start: Arc<Mutex<Vec<(usize, Ipv4Addr, SocketAddrV4, Habit)>>>,
    pub stop: Arc<AtomicBool>,
    /// Current flow of each session, if it is open.
    pub current: Arc<Mutex<HashMap<usize, FlowKey>>>,
    pub answered: Arc<AtomicU64>,
    pub lost_requests: Arc<AtomicU64>,
    packets_port: u16,
}

impl Clients {
    pub fn new(world: &World, router: &Arc<Router>, packets_port: u16) -> Self {
        Self {
            world: world.clone(),
            router: Arc::clone(router),
            next_id: Arc::new(AtomicU64::new(1)),
            lose: Arc::default(),
            start: Arc::default(),
            stop: Arc::default(),
            current: Arc::default(),
            answered: Arc::default(),
            lost_requests: Arc::default(),
            packets_port,
        }
    }

    pub fn run(self: Arc<Self>, ips: Vec<Ipv4Addr>) -> std::thread::JoinHandle<()> {
        let sockets: HashMap<Ipv4Addr, UdpSocket> = ips
            .into_iter()
            .map(|ip| {
                let socket = UdpSocket::bind((ip, self.packets_port)).expect("the client's address");
                socket.set_nonblocking(true).unwrap();
                (ip, socket)
            })
            .collect();
        std::thread::spawn(move || {
            let mut sessions: Vec<Session> = Vec::new();
            let mut next_port = 20_000;
            let mut buf = [0; 2048];
            while !self.stop.load(Ordering::Relaxed) {
                for (number, ip, service, habit) in self.start.lock().unwrap().drain(..) {
                    let now = Instant::now();
                    sessions.push(Session {
                        number,
                        ip,
                        service,
                        habit,
                        stage: Stage::Idle,
                        port: 0,
                        isn: 0,
                        snd: 0,
                        rcv: 0,
                        opened_at: now,
                        copies: 0,
                        request: None,
                        next_at: now,
                        lost_syn_ack: false,
                    });
                }
                for (ip, socket) in &sockets {
                    while let Ok((n, from)) = socket.recv_from(&mut buf) {
                        self.world.state.lock().unwrap().datagrams += 1;
                        if let Some(p) = packet::parse(&buf[..n]) {
                            self.on_packet(&sockets, &mut sessions, *ip, &p, from);
                        }
                    }
                }
                for session in &mut sessions {
                    self.advance(&sockets, session, &mut next_port);
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        })
    }

    fn send(&self, sockets: &HashMap<Ipv4Addr, UdpSocket>, s: &Session, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let src = SocketAddrV4::new(s.ip, s.port);
        let to = self.router.node_of(&(src, s.service));
        self.world.state.lock().unwrap().datagrams += 1;
        let _ = sockets[&s.ip].send_to(&packet::encode(src, s.service, flags, seq, ack, data), to);
    }

    fn advance(&self, sockets: &HashMap<Ipv4Addr, UdpSocket>, s: &mut Session, next_port: &mut u16) {
        let now = Instant::now();
        match s.stage {
            Stage::Idle if now >= s.next_at => {
                *next_port += 1;
                (s.port, s.isn, s.copies, s.opened_at) = (*next_port, first_seq(), 0, now);
                s.snd = s.isn.wrapping_add(1);
                (s.stage, s.lost_syn_ack) = (Stage::Opening, false);
                self.send(sockets, s, SYN, s.isn, 0, &[]);
            }
            Stage::Opening => {
                let age = now - s.opened_at;
                let due = [200, 600].get(s.copies as usize).map(|ms| Duration::from_millis(*ms));
                if due.is_some_and(|due| age >= due) {
                    s.copies += 1;
                    self.send(sockets, s, SYN, s.isn, s.copies, &[]);
                } else if age >= Duration::from_millis(1_400) {
                    self.world.log(&format!("session {} port {}: no answer to its SYN", s.number, s.port));
                    self.close(s, Duration::from_millis(100));
                }
            }
            Stage::Open => match &s.request {
                None if now >= s.next_at => {
                    let id = self.next_id.fetch_add(1, Ordering::Relaxed);
                    let kind = if s.habit.is_repeatable { "GET" } else { "POST" };
                    let text = format!(
                        "{kind} /x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    );
                    let bytes = text.into_bytes();
                    let seq = s.snd;
                    s.snd = s.snd.wrapping_add(bytes.len() as u32);
                    self.send(sockets, s, ACK, seq, s.rcv, &bytes);
                    let pause = Duration::from_millis(200);
                    s.request = Some((id, bytes, seq, now, now + pause, pause));
                }
                Some((id, _, _, first, _, _)) if now - *first >= s.habit.deadline => {
                    self.world.log(&format!("session {} port {}: request {id} has no answer, run by {}", s.number, s.port, self.runs(*id)));
                    self.lost_requests.fetch_add(1, Ordering::Relaxed);
                    self.send(sockets, s, RST, s.snd, s.rcv, &[]);
                    self.close(s, Duration::from_millis(10));
                }
                Some((id, bytes, seq, first, next, pause)) if now >= *next => {
                    let pause = (*pause * 2).min(Duration::from_millis(1_600));
                    let (id, bytes, seq, first) = (*id, bytes.clone(), *seq, *first);
                    self.send(sockets, s, ACK, seq, s.rcv, &bytes);
                    s.request = Some((id, bytes, seq, first, now + pause, pause));
                }
                _ => {}
            },
            Stage::Idle => {}
        }
    }

    /// Servers that began to work on a request.
    fn runs(&self, id: u64) -> String {
        let state = self.world.state.lock().unwrap();
        state.runs.get(&id).map_or_else(|| String::from("nobody"), |runs| runs.join(" and "))
    }

    fn close(&self, s: &mut Session, pause: Duration) {
        s.stage = Stage::Idle;
        s.request = None;
        s.next_at = Instant::now() + pause;
        self.current.lock().unwrap().remove(&s.number);
    }

    fn on_packet(
        &self,
        sockets: &HashMap<Ipv4Addr, UdpSocket>,
        sessions: &mut [Session],
        ip: Ipv4Addr,
        p: &Packet,
        from: SocketAddr,
    ) {
        let key = (p.dst, p.src);
        let is_reset = p.flags & RST != 0 && p.sum == 0 && p.data.is_empty();
        if !is_reset && !p.is_genuine {
            self.world.broke(&format!("MIXED {} got a packet that its sender didn't write so", p.dst));
            return;
        }
        let found = sessions.iter_mut().find(|s| s.ip == ip && s.port == p.dst.port() && s.stage != Stage::Idle);
        if is_reset {
            self.check_reset(key, p, found.as_deref(), from);
        }
        let Some(s) = found else {
            return;
        };
        if p.flags & RST != 0 {
            let is_taken = s.stage == Stage::Opening || in_window(p.seq, s.rcv);
            if is_taken {
                if let Some((id, ..)) = &s.request {
                    self.world.log(&format!("session {} port {}: request {id} is cut off by a reset, run by {}", s.number, s.port, self.runs(*id)));
                    self.lost_requests.fetch_add(1, Ordering::Relaxed);
                }
                self.close(s, Duration::from_millis(100));
            }
            return;
        }
        if p.flags & SYN != 0 {
            self.on_syn_ack(sockets, s, p, from);
            return;
        }
        if s.stage != Stage::Open {
            return;
        }
        let has_fin = p.flags & FIN != 0;
        if p.seq == s.rcv && (!p.data.is_empty() || has_fin) {
            s.rcv = s.rcv.wrapping_add(p.data.len() as u32 + u32::from(has_fin));
            let text = String::from_utf8_lossy(&p.data);
            let id = text.lines().find_map(|line| line.strip_prefix("Request-Id: "));
            let id: Option<u64> = id.and_then(|id| id.trim().parse().ok());
            if let Some((sent, ..)) = &s.request {
                if !p.data.is_empty() && id != Some(*sent) {
                    self.world.broke(&format!("MIXED session {} got the answer of request {id:?}", s.number));
                }
                let (sent, took) = (*sent, s.request.as_ref().map_or(0, |r| r.3.elapsed().as_millis()));
                let runs = self.runs(sent);
                self.world.log(&format!("request {sent} of session {} port {}: answered after {took} ms, run by {runs}", s.number, s.port));
                if text.starts_with("HTTP/1.1 200") {
                    self.answered.fetch_add(1, Ordering::Relaxed);
                }
                s.request = None;
                s.next_at = Instant::now() + s.habit.pause;
            }
            let flags = if has_fin { ACK | FIN } else { ACK };
            self.send(sockets, s, flags, s.snd, s.rcv, &[]);
            if has_fin {
                self.close(s, Duration::from_millis(10));
            }
        } else if !p.data.is_empty() {
            self.send(sockets, s, ACK, s.snd, s.rcv, &[]);
        }
    }

    fn on_syn_ack(&self, sockets: &HashMap<Ipv4Addr, UdpSocket>, s: &mut Session, p: &Packet, from: SocketAddr) {
        if s.stage != Stage::Opening || p.ack != s.isn.wrapping_add(1) {
            return;
        }
        let mut lose = self.lose.lock().unwrap();
        if !s.lost_syn_ack && lose.contains(&s.number) {
            lose.retain(|number| *number != s.number);
            s.lost_syn_ack = true;
            self.world.state.lock().unwrap().lost += 1;
            drop(lose);
            self.world.log(&format!("LINK session {} port {}: a SYN+ACK from {from} is lost", s.number, s.port));
            return;
        }
        drop(lose);
        s.rcv = p.seq.wrapping_add(1);
        s.stage = Stage::Open;
        s.next_at = Instant::now();
        self.current.lock().unwrap().insert(s.number, (SocketAddrV4::new(s.ip, s.port), s.service));
        // The first request goes with the acknowledgement.
        self.advance(sockets, s, &mut 0);
    }

    /// FLOW (a): a reset on an open flow whose server lives, without a disruption on it, and did
    /// not send it.
    fn check_reset(&self, key: FlowKey, p: &Packet, session: Option<&Session>, from: SocketAddr) {
        let state = self.world.state.lock().unwrap();
        let held = state.held.get(&key).cloned();
        let disrupted = held.as_ref().and_then(|held| state.alive.get(&held.server).copied());
        drop(state);
        let Some(held) = held.filter(|held| !held.is_closed) else {
            self.world.log(&format!("reset for {} from {from}, its flow is not open", key.0));
            return;
        };
        let is_client_open = session.is_some_and(|s| s.stage == Stage::Open);
        let Some(disrupted) = disrupted else {
            self.world.log(&format!("reset for {} from {from}, its server has ended", key.0));
            return;
        };
        let is_calm = disrupted.is_none_or(|at| at.elapsed() >= STABILITY);
        let is_young = held.opened.elapsed() < Duration::from_secs(60);
        let window = session.map(|s| p.seq.wrapping_sub(s.rcv).cast_signed());
        let line = format!(
            "FLOW {} got a reset from {from}, its server {} lives and did not send it; open for {:.1} s, seq {window:?} from the client's ack",
            key.0,
            held.server,
            held.opened.elapsed().as_secs_f64()
        );
        if is_calm && is_young && is_client_open {
            self.world.broke(&line);
        } else {
            self.world.log(&format!("not counted: {line}"));
        }
    }
}

fn in_window(seq: u32, ack: u32) -> bool {
    seq.wrapping_sub(ack).min(ack.wrapping_sub(seq)) <= RESET_WINDOW
}
