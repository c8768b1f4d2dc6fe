//! Clients that keep flows open for many requests, with pauses between them. A request that is not
//! answered is sent again after 200 ms, then at doubled intervals up to 1.6 s, until its deadline.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::random;
use crate::server::{FlowKey, Seen};

const SYN_AT: [u64; 3] = [0, 200, 600];
const SYN_END: Duration = Duration::from_millis(1_400);
/// A reset of an open flow is valid within this distance of the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

pub struct Setup {
    pub ips: Vec<Ipv4Addr>,
    pub port: u16,
    /// Address of the front that gets the packets, as the routers know it.
    pub front: Arc<Mutex<SocketAddr>>,
    pub routes: Vec<SocketAddrV4>,
    pub flows: usize,
    pub pause_ms: (u32, u32),
    pub deadline: Duration,
    /// Ages between which clients close their flows, well below `flowTtlS`.
    pub close_s: (u32, u32),
}

#[derive(Default)]
pub struct Report {
    pub answered: u32,
    pub late: u32,
    pub opened: u32,
    pub refused: u32,
    pub unopened: u32,
    pub forged: u32,
    pub resets_by_server: u32,
    /// Resets of the system's own on open flows that a server still holds.
    pub wrong_resets: Vec<String>,
    /// Resets on open flows outside of the window, which clients ignore.
    pub ignored_resets: u32,
    pub other_resets: u32,
}

enum State {
    Idle { until: Instant },
    Opening { since: Instant, copies: usize, isn: u32 },
    Waiting { id: u64, since: Instant, next: Instant, pause: Duration },
    Pausing { until: Instant },
}

struct Flow {
    client: usize,
    route: SocketAddrV4,
    port: u16,
    state: State,
    seq: u32,
    ack: u32,
    opened: Instant,
    close_at: Instant,
    last_used: Instant,
    request: Vec<u8>,
}

impl Flow {
    fn key(&self, setup: &Setup) -> FlowKey {
        (SocketAddrV4::new(setup.ips[self.client], self.port), self.route)
    }
}

pub fn run(setup: Setup, seen: &Mutex<Seen>, report: &Arc<Mutex<Report>>, stop: &AtomicBool) {
    let sockets: Vec<_> = setup
        .ips
        .iter()
        .map(|ip| {
            let socket = UdpSocket::bind((*ip, setup.port)).expect("the client's address is free");
            socket.set_nonblocking(true).unwrap();
            socket
        })
        .collect();
    let mut ports = vec![1_024_u16; setup.ips.len()];
    let mut next_id = 1_u64;
    let start = Instant::now();
    let mut flows: Vec<_> = (0..setup.flows)
        .map(|n| Flow {
            client: n % setup.ips.len(),
            route: setup.routes[n % setup.routes.len()],
            port: 0,
            state: State::Idle {
                until: start + Duration::from_millis(u64::from(random::below(2_000))),
            },
            seq: 0,
            ack: 0,
            opened: start,
            close_at: start,
            last_used: start,
            request: Vec::new(),
        })
        .collect();
    let mut by_key: HashMap<FlowKey, usize> = HashMap::new();
    let mut buf = [0; 2_048];
    while !stop.load(Ordering::Relaxed) {
        let mut is_idle = true;
        for (client, socket) in sockets.iter().enumerate() {
            while let Ok((length, _)) = socket.recv_from(&mut buf) {
                is_idle = false;
                let Some(packet) = Packet::parse(&buf[..length]) else { continue };
                let key = (packet.dst, packet.src);
                let Some(n) = by_key.get(&key).copied() else { continue };
                if flows[n].client == client && flows[n].key(&setup) == key {
                    on_packet(&setup, &mut flows[n], socket, &packet, seen, report);
                }
            }
        }
        for (n, flow) in flows.iter_mut().enumerate() {
            let before = flow.port;
            on_time(&setup, flow, &sockets, &mut ports, &mut next_id, report);
            if flow.port != before {
                by_key.insert(flow.key(&setup), n);
            }
        }
        if is_idle {
            std::thread::sleep(Duration::from_micros(300));
        }
    }
}

fn send(setup: &Setup, socket: &UdpSocket, flow: &Flow, flags: u8, seq: u32, ack: u32, data: &[u8]) {
    let (src, dst) = flow.key(setup);
    let packet = Packet::new(src, dst, flags, seq, ack).with(data);
    let front = *setup.front.lock().unwrap();
    let _ = socket.send_to(&packet.sealed(), front);
}

fn give_up(flow: &mut Flow) {
    let pause = 50 + u64::from(random::below(200));
    flow.state = State::Idle { until: Instant::now() + Duration::from_millis(pause) };
}

fn on_packet(
    setup: &Setup,
    flow: &mut Flow,
    socket: &UdpSocket,
    packet: &Packet,
    seen: &Mutex<Seen>,
    report: &Arc<Mutex<Report>>,
) {
    let mut report = report.lock().unwrap();
    if packet.is_reset_of_the_system() {
        match flow.state {
            State::Opening { .. } => {
                report.refused += 1;
                give_up(flow);
            }
            State::Waiting { .. } | State::Pausing { .. } => {
                let distance = packet.seq.wrapping_sub(flow.ack);
                if distance > RESET_WINDOW && distance < RESET_WINDOW.wrapping_neg() {
                    report.ignored_resets += 1;
                    return;
                }
                let (age, idle) = (flow.opened.elapsed(), flow.last_used.elapsed());
                let is_counted = age < Duration::from_secs(60) && idle < Duration::from_secs(15);
                let holder = seen.lock().unwrap().open.get(&flow.key(setup)).cloned();
                match holder {
                    Some((server, opened)) if is_counted => {
                        let request = match flow.state {
                            State::Waiting { id, .. } => format!("with request {id} under way"),
                            _ => String::from("between two requests"),
                        };
                        let (src, dst) = flow.key(setup);
                        report.wrong_resets.push(format!(
                            "{src} -> {dst}: reset by the system {request}; open at {server} \
                             for {:.1} s, which lives and holds it",
                            opened.elapsed().as_secs_f64()
                        ));
                    }
                    _ => report.other_resets += 1,
                }
                give_up(flow);
            }
            State::Idle { .. } => {}
        }
        return;
    }
    if !packet.is_genuine() {
        report.forged += 1;
        return;
    }
    if packet.has(RST) {
        report.resets_by_server += 1;
        give_up(flow);
        return;
    }
    match flow.state {
        State::Opening { isn, .. } if packet.has(SYN) => {
            flow.seq = isn.wrapping_add(1);
            flow.ack = packet.seq.wrapping_add(1);
            flow.opened = Instant::now();
            flow.last_used = flow.opened;
            let (least, most) = setup.close_s;
            let age = 1_000 * least + random::below(1_000 * (most - least));
            flow.close_at = flow.opened + Duration::from_millis(u64::from(age));
            report.opened += 1;
            send(setup, socket, flow, ACK, flow.seq, flow.ack, &[]);
            flow.state = State::Pausing { until: Instant::now() };
        }
        State::Waiting { id, since, .. } if !packet.data.is_empty() => {
            if packet.seq != flow.ack || packet.data[..8] != id.to_be_bytes() {
                send(setup, socket, flow, ACK, flow.seq, flow.ack, &[]);
                return;
            }
            flow.ack = packet.seq.wrapping_add(packet.data.len() as u32);
            flow.seq = flow.seq.wrapping_add(flow.request.len() as u32);
            flow.last_used = Instant::now();
            report.answered += 1;
            report.late += u32::from(since.elapsed() > Duration::from_millis(300));
            send(setup, socket, flow, ACK, flow.seq, flow.ack, &[]);
            let (least, most) = setup.pause_ms;
            let pause = u64::from(least + random::below(most - least));
            flow.state = State::Pausing { until: Instant::now() + Duration::from_millis(pause) };
        }
        _ if packet.has(SYN) || !packet.data.is_empty() => {
            // A copy of what has arrived.
            send(setup, socket, flow, ACK, flow.seq, flow.ack, &[]);
        }
        _ => {}
    }
}

fn on_time(
    setup: &Setup,
    flow: &mut Flow,
    sockets: &[UdpSocket],
    ports: &mut [u16],
    next_id: &mut u64,
    report: &Arc<Mutex<Report>>,
) {
    let now = Instant::now();
    let socket = &sockets[flow.client];
    match flow.state {
        State::Idle { until } if now >= until => {
            ports[flow.client] += 1;
            flow.port = ports[flow.client];
            let isn = random::word();
            flow.state = State::Opening { since: now, copies: 1, isn };
            send(setup, socket, flow, SYN, isn, 0, &[]);
        }
        State::Opening { since, copies, isn } => {
            let age = now.duration_since(since);
            if age >= SYN_END {
                report.lock().unwrap().unopened += 1;
                give_up(flow);
            } else if copies < SYN_AT.len() && age >= Duration::from_millis(SYN_AT[copies]) {
                send(setup, socket, flow, SYN, isn, copies as u32, &[]);
                flow.state = State::Opening { since, copies: copies + 1, isn };
            }
        }
        State::Pausing { until } if now >= until => {
            if now >= flow.close_at {
                send(setup, socket, flow, FIN | ACK, flow.seq, flow.ack, &[]);
                give_up(flow);
                return;
            }
            let id = *next_id;
            *next_id += 1;
            let mut request = id.to_be_bytes().to_vec();
            request.resize(60, b'r');
            flow.request = request;
            flow.last_used = now;
            send(setup, socket, flow, ACK, flow.seq, flow.ack, &flow.request);
            let pause = Duration::from_millis(200);
            flow.state = State::Waiting { id, since: now, next: now + pause, pause };
        }
        State::Waiting { id, since, next, pause } if now >= next => {
            if now.duration_since(since) >= setup.deadline {
                send(setup, socket, flow, RST, flow.seq, flow.ack, &[]);
                give_up(flow);
                return;
            }
            send(setup, socket, flow, ACK, flow.seq, flow.ack, &flow.request);
            let pause = (pause * 2).min(Duration::from_millis(1_600));
            flow.state = State::Waiting { id, since, next: now + pause, pause };
        }
        _ => {}
    }
}
