//! Compares the throughput of forwarding with that of a plain relay of UDP datagrams.
//!
//! The relay receives and sends with the same kind of socket, in one thread, without any decision.
//! Both take turns in one run under the same load, so that the ratio is valid on a shared
//! machine although the single rates are not.

use std::error::Error;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use citronhollow_balancer::settings::Settings;
use citronhollow_balancer::traffic::{self, Event, Forwarder, Verdict};
use citronhollow_caller::packet;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_core::routes::Routes;
use citronhollow_peer::{Key, Keyring};
use etherparse::PacketBuilder;

const ROUNDS: usize = 7;
const ROUND: Duration = Duration::from_millis(700);
const FLOWS: u16 = 1_024;
const TARGETS: u16 = 5;
const DECISIONS: u32 = 1_000_000;

/// Payload sizes, in bytes: a small packet, and one whose envelope fills an Ethernet frame.
const PAYLOADS: [usize; 2] = [24, 1_260];

fn main() -> Result<(), Box<dyn Error>> {
    println!("packet bytes  relay packets/s  balancer packets/s  ratio  decide and seal ns");
    for payload in PAYLOADS {
        row(payload)?;
    }
    Ok(())
}

fn row(payload: usize) -> Result<(), Box<dyn Error>> {
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let sink_addr = sink.local_addr()?;
    drain(sink);
    let routes = Arc::new(ArcSwap::from_pointee(routes(sink_addr)?));
    let keys = Keyring::new(&[key()])?;
    let packets = packets(payload)?;

    let relayed = Arc::new(AtomicU64::new(0));
    let relay = spawn_relay(sink_addr, Arc::clone(&relayed))?;
    let balancer = traffic::spawn(&settings()?, &keys, &routes)?;
    let stats = balancer.stats();

    let mut ratios = Vec::new();
    let mut best = (0.0_f64, 0.0_f64);
    for _ in 0..ROUNDS {
        let relay_rate = rate(relay, &packets, || relayed.load(Ordering::Relaxed))?;
        let balancer_rate = rate(balancer.local_addr(), &packets, || {
            stats.get(Event::ByTable)
        })?;
        ratios.push(balancer_rate / relay_rate);
        best = (best.0.max(relay_rate), best.1.max(balancer_rate));
    }
    balancer.stop();
    ratios.sort_by(f64::total_cmp);
    let nanos = decision_nanos(&routes.load(), keys, &packets);
    println!(
        "{:>12} {:>16.0} {:>19.0} {:>6.2} {nanos:>19.0}",
        packets[0].len(),
        best.0,
        best.1,
        ratios[ROUNDS / 2],
    );
    Ok(())
}

fn spawn_relay(to: SocketAddr, relayed: Arc<AtomicU64>) -> Result<SocketAddr, Box<dyn Error>> {
    let socket = traffic::bind("127.0.0.1:0".parse()?)?;
    let addr = socket.local_addr()?;
    std::thread::spawn(move || {
        let mut buf = vec![0; 65_535];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else {
                continue;
            };
            if socket.send_to(&buf[..len], to).is_ok() {
                relayed.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Ok(addr)
}

/// Packets per second that pass while a sender offers more than that.
fn rate(
    to: SocketAddr,
    packets: &[Vec<u8>],
    count: impl Fn() -> u64,
) -> Result<f64, Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    let is_over = Arc::clone(&stop);
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let packets = packets.to_vec();
    let sender = std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            for packet in &packets {
                let _ = socket.send_to(packet, to);
            }
        }
    });
    std::thread::sleep(ROUND / 4);
    let (started, before) = (Instant::now(), count());
    std::thread::sleep(ROUND);
    let (elapsed, after) = (started.elapsed(), count());
    stop.store(true, Ordering::Relaxed);
    sender.join().map_err(|_| "the sender panicked")?;
    // Packets left in the receive buffer must not count for the next round.
    std::thread::sleep(ROUND / 4);
    let passed = u32::try_from(after - before)?;
    Ok(f64::from(passed) / elapsed.as_secs_f64())
}

fn decision_nanos(routes: &Routes, keys: Keyring, packets: &[Vec<u8>]) -> f64 {
    let mut forwarder = Forwarder::new(keys, 0);
    let started = Instant::now();
    for at in 0..DECISIONS as usize {
        let verdict = forwarder.forward(routes, &packets[at % packets.len()]);
        assert!(matches!(verdict, Verdict::Forward { .. }));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn drain(sink: UdpSocket) {
    std::thread::spawn(move || {
        let mut buf = vec![0; 65_535];
        while sink.recv(&mut buf).is_ok() {}
    });
}

fn packets(payload: usize) -> Result<Vec<Vec<u8>>, Box<dyn Error>> {
    let body = vec![0x5a; payload];
    (0..FLOWS)
        .map(|flow| {
            let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64)
                .tcp(1_024 + flow, 443, 1, 1_024)
                .ack(1);
            let mut packet = Vec::with_capacity(builder.size(payload));
            builder.write(&mut packet, &body)?;
            debug_assert!(packet::parse(&packet).is_ok());
            Ok(packet)
        })
        .collect()
}

fn routes(agent: SocketAddr) -> Result<Routes, Box<dyn Error>> {
    let service = Service {
        name: String::from("match-desk"),
        addresses: vec!["10.1.0.1:443".parse()?],
        pool: String::from("match-desk"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = Pool {
        name: String::from("match-desk"),
        groups: vec![String::from("match-desk")],
        flows_per_target: None,
    };
    let revision = Revision {
        number: 1,
        epoch: 1,
        documents: Documents {
            services: vec![service],
            pools: vec![pool],
            rules: Vec::new(),
        },
    };
    let records: Vec<_> = (0..TARGETS)
        .map(|number| TargetRecord {
            id: TargetId::of(&format!("desk-{number}")),
            group: GroupId::of("match-desk"),
            domain: DomainId::of("domain-a"),
            agent,
            slots: 2,
            state: TargetState::Ready,
            incarnation: 1,
            sequence: 1,
        })
        .collect();
    Ok(Routes::build(&revision, &records, None))
}

fn key() -> Key {
    Key {
        id: 1,
        secret: "5a".repeat(32),
    }
}

fn settings() -> Result<Settings, Box<dyn Error>> {
    let any = "127.0.0.1:0";
    let settings = serde_json::json!({
        "name": "entry-1",
        "domain": "domain-a",
        "fabric_listen": any,
        "control_listen": any,
        "operator_listen": any,
        "platform": any,
        "keys": [key()],
        "operator_token": "none",
    });
    Ok(serde_json::from_value(settings)?)
}
