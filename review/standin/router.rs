//! The platform's routers, and clients behind them.
//!
//! A router probes each front node twice a second. After two misses a node is out of rotation until
//! it answers with 200 again. A flow stays at its first node that is in rotation (`steady`).

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::packet::{self, ACK, Packet, RST, SYN};
use crate::record::Record;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MISSES_MAX: u32 = 2;

/// Greatest distance between the `seq` of a reset and the client's last `ack`.
const RESET_WINDOW: u32 = 76_800;

#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Node>>>,
}

struct Node {
    name: String,
    packets: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

impl Router {
    pub fn start(nodes: Vec<(String, SocketAddr, SocketAddr)>, record: &Record) -> Self {
        let nodes = nodes.into_iter().map(|(name, packets, ready)| Node {
            name,
            packets,
            ready,
            misses: MISSES_MAX,
        });
        let router = Self {
            nodes: Arc::new(Mutex::new(nodes.collect())),
        };
        let count = router.nodes.lock().expect("the lock").len();
        for index in 0..count {
            let (router, record) = (router.clone(), record.clone());
            thread::spawn(move || router.probe(index, &record));
        }
        router
    }

    fn probe(&self, index: usize, record: &Record) {
        let ready = self.nodes.lock().expect("the lock")[index].ready;
        loop {
            let is_ready = http::call(ready, "GET", "/ready", "") == Some(200);
            let mut nodes = self.nodes.lock().expect("the lock");
            let node = &mut nodes[index];
            let was_in = node.misses < MISSES_MAX;
            node.misses = if is_ready { 0 } else { node.misses + 1 };
            let is_in = node.misses < MISSES_MAX;
            if was_in != is_in {
                let what = if is_in { "in rotation" } else { "out of rotation" };
                record.note(&format!("router: {} is {what}", node.name));
            }
            drop(nodes);
            thread::sleep(PROBE_INTERVAL);
        }
    }

    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.nodes.lock().expect("the lock")[index].misses < MISSES_MAX
    }

    /// Forwards a packet of a flow whose hash prefers the node `first`.
    fn forward(&self, socket: &UdpSocket, first: usize, bytes: &[u8]) -> String {
        let nodes = self.nodes.lock().expect("the lock");
        let in_rotation = nodes.iter().filter(|node| node.misses < MISSES_MAX).count();
        let uses_all = in_rotation * 2 < nodes.len();
        let order = (0..nodes.len()).map(|step| &nodes[(first + step) % nodes.len()]);
        let mut usable = order.filter(|node| uses_all || node.misses < MISSES_MAX);
        let Some(node) = usable.next() else {
            return String::from("no node");
        };
        let _ = socket.send_to(bytes, node.packets);
        node.name.clone()
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Answered,
    /// A reset by the system before the flow was open.
    Refused,
    /// A reset by the system on the open flow.
    ResetBySystem,
    /// A reset by the server.
    ResetByServer,
    Silent,
}

/// A client with one flow.
pub struct Client {
    router: Router,
    record: Record,
    socket: UdpSocket,
    /// Node that the router's hash prefers for the flow.
    first: usize,
    pub addr: SocketAddrV4,
    pub route: SocketAddrV4,
    seq: u32,
    ack: u32,
    pub is_open: bool,
    /// Node that got the last packet.
    last_node: String,
}

impl Client {
    /// `listen` is where the client's machine gets packets, `port` the client's end of the flow.
    pub fn new(
        router: &Router,
        first: usize,
        listen: SocketAddrV4,
        port: u16,
        route: SocketAddrV4,
        record: &Record,
    ) -> Result<Self, String> {
        let socket = UdpSocket::bind(listen).map_err(|err| err.to_string())?;
        let timeout = Some(Duration::from_millis(10));
        socket.set_read_timeout(timeout).map_err(|err| err.to_string())?;
        Ok(Self {
            router: router.clone(),
            record: record.clone(),
            socket,
            first,
            addr: SocketAddrV4::new(*listen.ip(), port),
            route,
            seq: 0x1000_0000 ^ (u32::from(port) << 8),
            ack: 0,
            is_open: false,
            last_node: String::new(),
        })
    }

    /// Opens the flow: a SYN, with copies after 200 and 600 ms, for 1.4 s.
    pub fn open(&mut self) -> End {
        let started = Instant::now();
        let mut copies = [0_u64, 200, 600].iter().enumerate().peekable();
        while started.elapsed() < Duration::from_millis(1_400) {
            if let Some((count, at)) = copies.peek() {
                if started.elapsed() >= Duration::from_millis(**at) {
                    let count = u32::try_from(*count).unwrap_or(0);
                    self.send(SYN, self.seq, count, Vec::new());
                    copies.next();
                }
            }
            let Some((packet, is_system)) = self.receive() else {
                continue;
            };
            if packet.is(RST) {
                let (addr, route) = (self.addr, self.route);
                self.record.note(&format!("client {addr}: SYN to {route} is refused"));
                return if is_system { End::Refused } else { End::ResetByServer };
            }
            if packet.is(SYN | ACK) {
                self.seq = self.seq.wrapping_add(1);
                self.ack = packet.seq.wrapping_add(1);
                self.is_open = true;
                self.send(ACK, self.seq, self.ack, Vec::new());
                return End::Answered;
            }
        }
        End::Silent
    }

    /// Sends a request of `work` at the server, and waits for its answer.
    pub fn request(&mut self, id: &str, work: Duration, deadline: Duration) -> End {
        let (addr, route) = (self.addr, self.route);
        let data = format!("{id} {}", work.as_millis()).into_bytes();
        let len = u32::try_from(data.len()).unwrap_or(0);
        let started = Instant::now();
        let (mut again, mut wait) = (started, 200_u64);
        let mut is_acked = false;
        while started.elapsed() < deadline {
            if !is_acked && Instant::now() >= again {
                self.send(ACK, self.seq, self.ack, data.clone());
                let node = &self.last_node;
                self.record.note(&format!("client {addr}: sends {id} to {route} by {node}"));
                again = Instant::now() + Duration::from_millis(wait);
                wait = (wait * 2).min(1_600);
            }
            let Some((packet, is_system)) = self.receive() else {
                continue;
            };
            if packet.is(RST) {
                let distance = packet.seq.wrapping_sub(self.ack);
                let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
                if is_system && !is_near {
                    continue;
                }
                let by = if is_system { "the system" } else { "the server" };
                self.record.note(&format!(
                    "client {addr}: the open flow to {route} is reset by {by}, {id} has no answer"
                ));
                return if is_system { End::ResetBySystem } else { End::ResetByServer };
            }
            is_acked |= packet.ack == self.seq.wrapping_add(len);
            if !packet.data.is_empty() && packet.seq == self.ack {
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let size = u32::try_from(packet.data.len()).unwrap_or(0);
                self.ack = self.ack.wrapping_add(size);
                self.seq = self.seq.wrapping_add(len);
                self.send(ACK, self.seq, self.ack, Vec::new());
                self.record.note(&format!("client {addr}: got \"{text}\""));
                return End::Answered;
            }
        }
        self.record.note(&format!("client {addr}: no answer to {id} in time"));
        End::Silent
    }

    /// Waits on the idle flow. Returns what ended it, none if nothing did.
    pub fn idle(&mut self, until: Instant) -> Option<End> {
        while Instant::now() < until {
            let Some((packet, is_system)) = self.receive() else {
                continue;
            };
            let distance = packet.seq.wrapping_sub(self.ack);
            let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            if packet.is(RST) && (is_near || !is_system) {
                let (addr, route) = (self.addr, self.route);
                let by = if is_system { "the system" } else { "the server" };
                self.record.note(&format!(
                    "client {addr}: the open, idle flow to {route} is reset by {by}"
                ));
                return Some(if is_system { End::ResetBySystem } else { End::ResetByServer });
            }
        }
        None
    }

    fn send(&mut self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            flags,
            seq,
            ack,
            src: self.addr,
            dst: self.route,
            data,
        };
        let bytes = packet.encode();
        self.last_node = self.router.forward(&self.socket, self.first, &bytes);
    }

    /// A packet of the flow, and whether it is a reset of the system's own.
    fn receive(&self) -> Option<(Packet, bool)> {
        let mut buf = [0; 2048];
        let (len, _) = self.socket.recv_from(&mut buf).ok()?;
        let bytes = &buf[..len];
        let is_system = packet::is_system_reset(bytes);
        let packet = Packet::decode(bytes)?;
        let is_of_flow = packet.dst == self.addr && packet.src == self.route;
        (is_of_flow && (is_system || packet::is_genuine(bytes))).then_some((packet, is_system))
    }
}
