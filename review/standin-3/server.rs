//! A server beside an agent: flows over packets, and heartbeats. It holds flows, answers each
//! request with one packet, returns what it does not hold, and repeats what is not acknowledged.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN, bounced};
use crate::random;

/// Caller's end and route's end of a flow.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// What the servers did, for the record and the check.
#[derive(Default)]
pub struct Seen {
    /// Flows that are open at a server, with the server's name and the time of the opening.
    pub open: HashMap<FlowKey, (String, Instant)>,
    /// Runs of each request by its id.
    pub runs: HashMap<u64, Vec<String>>,
    /// Packets that arrived otherwise than their sender wrote them.
    pub forged: u32,
    /// Packets of open flows that reached another server than the flow's: server and time.
    pub strayed: HashMap<FlowKey, Vec<(String, Instant)>>,
    pub arrived: HashMap<FlowKey, Vec<Instant>>,
}

pub struct Setup {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub heartbeat: Duration,
    pub slots: u32,
    pub work: Duration,
    pub packet_time: Duration,
}

struct Flow {
    isn: u32,
    is_open: bool,
    /// Next sequence number expected from the caller.
    next: u32,
    /// Own next sequence number.
    own: u32,
    last: Option<Vec<u8>>,
    repeat_at: Option<Instant>,
    repeats: u32,
    has_fin: bool,
}

fn is_after(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) > 0
}

/// Runs the server's packets on one thread and its heartbeats on another.
pub fn start(setup: Setup, seen: Arc<Mutex<Seen>>, stop: Arc<AtomicBool>) {
    let setup = Arc::new(setup);
    {
        let (setup, stop) = (Arc::clone(&setup), Arc::clone(&stop));
        std::thread::spawn(move || heartbeats(&setup, &stop));
    }
    let socket = UdpSocket::bind(setup.app).expect("the server's address is free");
    std::thread::spawn(move || packets(&setup, &socket, &seen, &stop));
}

fn heartbeats(setup: &Setup, stop: &AtomicBool) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut seq = 0;
    // Servers don't beat at the same moments.
    std::thread::sleep(Duration::from_millis(u64::from(random::below(300))));
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
            setup.service, setup.app, setup.zone, setup.slots
        );
        seq += 1;
        let path = format!("/servers/i-{}", setup.name);
        http::call(setup.control, "PUT", &path, &body, Duration::from_secs(1));
        std::thread::sleep(setup.heartbeat.saturating_sub(sent.elapsed()));
    }
}

fn packets(setup: &Setup, socket: &UdpSocket, seen: &Mutex<Seen>, stop: &AtomicBool) {
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let mut flows: HashMap<FlowKey, Flow> = HashMap::new();
    let mut ended: HashSet<FlowKey> = HashSet::new();
    let mut buf = [0; 2_048];
    let mut swept = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if let Ok((length, _)) = socket.recv_from(&mut buf) {
            std::thread::sleep(setup.packet_time);
            on_packet(setup, socket, &buf[..length], &mut flows, &mut ended, seen);
        }
        if swept.elapsed() >= Duration::from_millis(5) {
            swept = Instant::now();
            for flow in flows.values_mut() {
                let Some(at) = flow.repeat_at.filter(|at| *at <= swept) else {
                    continue;
                };
                flow.repeats += 1;
                let pause = Duration::from_millis((200 << flow.repeats.min(3)).min(1_600));
                flow.repeat_at = (flow.repeats < 8).then(|| at + pause);
                if let Some(last) = &flow.last {
                    let _ = socket.send_to(last, setup.outbound);
                }
            }
        }
    }
}

fn on_packet(
    setup: &Setup,
    socket: &UdpSocket,
    bytes: &[u8],
    flows: &mut HashMap<FlowKey, Flow>,
    ended: &mut HashSet<FlowKey>,
    seen: &Mutex<Seen>,
) {
    let Some(packet) = Packet::parse(bytes) else { return };
    if !packet.is_genuine() {
        seen.lock().unwrap().forged += 1;
        return;
    }
    let key = (packet.src, packet.dst);
    let answer = |flags, seq, ack| Packet::new(packet.dst, packet.src, flags, seq, ack);
    let send = |packet: &Packet| {
        let _ = socket.send_to(&packet.sealed(), setup.outbound);
    };
    let repeat_at = Instant::now() + Duration::from_millis(200);
    if packet.has(SYN) && !packet.has(ACK) {
        let next = packet.seq.wrapping_add(1);
        let flow = flows.entry(key).or_insert_with(|| {
            let isn = random::word();
            Flow {
                isn,
                is_open: false,
                next,
                own: isn.wrapping_add(1),
                last: None,
                repeat_at: None,
                repeats: 0,
                has_fin: false,
            }
        });
        if !flow.is_open {
            let syn_ack = answer(SYN | ACK, flow.isn, next);
            flow.last = Some(syn_ack.sealed());
            flow.repeat_at = Some(repeat_at);
            send(&syn_ack);
        }
        return;
    }
    let opens = |flow: &Flow| packet.has(ACK) && packet.ack == flow.isn.wrapping_add(1);
    let Some(flow) = flows.get_mut(&key).filter(|flow| flow.is_open || opens(flow)) else {
        let mut seen = seen.lock().unwrap();
        if seen.open.contains_key(&key) {
            let strayed = seen.strayed.entry(key).or_default();
            strayed.push((setup.name.clone(), Instant::now()));
        }
        drop(seen);
        if !ended.contains(&key) {
            let _ = socket.send_to(&bounced(bytes), setup.outbound);
        } else if packet.has(FIN) {
            let end = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
            send(&answer(ACK, packet.ack, end));
        } else if !packet.data.is_empty() {
            send(&answer(RST, packet.ack, 0));
        }
        return;
    };
    {
        let mut seen = seen.lock().unwrap();
        seen.arrived.entry(key).or_default().push(Instant::now());
        if !flow.is_open {
            flow.is_open = true;
            flow.last = None;
            flow.repeat_at = None;
            let opened = (setup.name.clone(), Instant::now());
            seen.open.insert(key, opened);
        }
    }
    if packet.has(ACK) && packet.ack == flow.own {
        flow.repeat_at = None;
    }
    if packet.has(RST) {
        flows.remove(&key);
        ended.insert(key);
        seen.lock().unwrap().open.remove(&key);
        return;
    }
    if !packet.data.is_empty() {
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.seq == flow.next {
            flow.next = end;
            let id = u64::from_be_bytes(packet.data[..8].try_into().unwrap());
            seen.lock().unwrap().runs.entry(id).or_default().push(setup.name.clone());
            std::thread::sleep(setup.work);
            let mut data = packet.data[..8].to_vec();
            data.resize(600, b'x');
            let response = answer(ACK, flow.own, end).with(&data);
            flow.own = flow.own.wrapping_add(600);
            flow.last = Some(response.sealed());
            flow.repeats = 0;
            flow.repeat_at = Some(Instant::now() + Duration::from_millis(200));
            send(&response);
        } else if !is_after(end, flow.next)
            && let Some(last) = &flow.last
        {
            let _ = socket.send_to(last, setup.outbound);
        }
    }
    if packet.has(FIN) && !flow.has_fin {
        flow.has_fin = true;
        let end = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
        send(&answer(FIN | ACK, flow.own, end));
        flows.remove(&key);
        ended.insert(key);
        seen.lock().unwrap().open.remove(&key);
    }
}
