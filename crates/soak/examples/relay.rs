//! Measures the packet rate of the real programs and compares it with plain UDP relays.
//!
//! Two paths are measured with packets of 64 and 1,200 bytes: from a target through its agent to
//! the caller, compared with one relay; and from the caller through a balancer and the agent to the
//! target, compared with two relays in a row. The relays run in the same process. A relay is a
//! thread that receives a datagram and sends it on. The number of packets in flight is limited, so
//! that none is lost to full buffers.

use std::error::Error;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronhollow_adapter::packet::HEADER_LEN;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::members::TargetState;
use citronhollow_soak::fleet::{Fleet, SERVICES};
use citronhollow_soak::link::Link;
use citronhollow_soak::plan::{Node, Shape};
use citronhollow_standin::config::{self, Route};
use citronhollow_standin::packet::{Writer, encode};
use citronhollow_standin::server::{Heartbeat, is_ready};
use citronhollow_standin::store::Store;
use tokio::time::sleep;

/// Packet sizes in bytes, including the header.
const SIZES: [usize; 2] = [64, 1_200];

/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(2);

/// Number of measurements per path. The median is printed.
const RUNS: usize = 3;

/// Maximum number of packets in flight, which fits the smallest receive buffer on the path.
const WINDOW: u64 = 64;

/// Time without an arrival after which the packets in flight count as lost.
const LOST_AFTER: Duration = Duration::from_millis(20);

/// Receive timeout, after which a thread checks whether the measurement is over.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(5);

const SHAPE: Shape = Shape {
    balancers: 1,
    targets: 1,
};
const CALLER_ISN: u32 = 1_000;
const TARGET_ISN: u32 = 5_000;

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

fn main() -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run())
}

async fn run() -> Outcome<()> {
    let dir = std::env::temp_dir().join(format!("citronhollow-relay-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let (store, address) = Store::start().await;
    let link = Link::start(address).await?;
    let mut fleet = Fleet::new(&dir, SHAPE, |_| link.address)?;
    let flow = FlowId {
        caller: SocketAddr::new(fleet.caller(0).ip(), 20_000),
        service: SocketAddr::from(([198, 18, 0, 1], 8_001)),
    };
    let route = Route {
        name: String::from("board"),
        address: flow.service,
        is_idempotent: true,
        service: String::from(SERVICES[0]),
    };
    config::write(&store, 1, &[route], &SERVICES);
    for node in SHAPE.nodes() {
        fleet.start(node)?;
    }
    tokio::spawn(send_heartbeats(fleet.heartbeats(0)));
    while !is_ready(fleet.probe(0)).await {
        sleep(RECEIVE_TIMEOUT).await;
    }
    let (caller, target) = (fleet.caller(0), fleet.target(0));
    let (fabric, from_target) = (fleet.fabric(0), fleet.from_target(0));
    let measure = move || measure(flow, (caller, fabric), (target, from_target));
    let outcome = tokio::task::spawn_blocking(measure).await?;
    fleet.kill(Node::Balancer(0))?;
    fleet.kill(Node::Agent(0))?;
    std::fs::remove_dir_all(&dir)?;
    outcome
}

/// Sends heartbeats that keep the target ready.
async fn send_heartbeats(to: SocketAddr) {
    for sequence in 1.. {
        let heartbeat = Heartbeat {
            name: "i-1",
            service: SERVICES[0],
            started_at: 1,
            sequence,
            state: TargetState::Ready,
            slots: 2,
        };
        // An unacknowledged heartbeat is not retried; the next one follows.
        let _ = heartbeat.send(to).await;
        sleep(Millis(1_000).into()).await;
    }
}

fn measure(
    flow: FlowId,
    (caller, fabric): (SocketAddr, SocketAddr),
    (target, from_target): (SocketAddr, SocketAddr),
) -> Outcome<()> {
    let caller = bind(caller)?;
    let target = bind(target)?;
    open(flow, (&caller, fabric), (&target, from_target))?;
    println!(
        "{:<24} {:>6} {:>12} {:>12} {:>6}",
        "path", "bytes", "packets/s", "relays", "ratio"
    );
    for size in SIZES {
        let data = vec![0; size - HEADER_LEN];
        let answer = encode(
            Writer::Target,
            flow,
            &established(TARGET_ISN, CALLER_ISN),
            &data,
        );
        let request = encode(
            Writer::Caller,
            flow,
            &established(CALLER_ISN, TARGET_ISN),
            &data,
        );
        let one = median(|| Ok(flood(&target, from_target, &caller, &answer)));
        let one_relay = median(|| with_relays(1, &answer));
        print_row("target, agent, caller", size, one?, one_relay?);
        let two = median(|| Ok(flood(&caller, fabric, &target, &request)));
        let two_relays = median(|| with_relays(2, &request));
        print_row("caller, balancer, agent", size, two?, two_relays?);
    }
    Ok(())
}

fn print_row(path: &str, size: usize, ours: f64, relays: f64) {
    let ratio = ours / relays;
    println!("{path:<24} {size:>6} {ours:>12.0} {relays:>12.0} {ratio:>6.2}");
}

fn median(measure: impl Fn() -> Outcome<f64>) -> Outcome<f64> {
    let mut rates = (0..RUNS).map(|_| measure()).collect::<Outcome<Vec<_>>>()?;
    rates.sort_by(f64::total_cmp);
    Ok(rates[RUNS / 2])
}

/// Packet rate through `count` relays in a row, in packets per second.
fn with_relays(count: usize, packet: &Bytes) -> Outcome<f64> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (from, at) = (bind(any)?, bind(any)?);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let mut next = at.local_addr()?;
        for _ in 0..count {
            let socket = bind(any)?;
            let (to, is_over) = (next, &is_over);
            next = socket.local_addr()?;
            scope.spawn(move || relay(&socket, to, is_over));
        }
        let rate = flood(&from, next, &at, packet);
        is_over.store(true, Ordering::Relaxed);
        Ok(rate)
    })
}

fn relay(socket: &UdpSocket, to: SocketAddr, is_over: &AtomicBool) {
    let mut buf = [0; 2_048];
    while !is_over.load(Ordering::Relaxed) {
        // A receive timeout is not a failure.
        if let Ok(len) = socket.recv(&mut buf) {
            let _ = socket.send_to(&buf[..len], to);
        }
    }
}

/// Sends a packet repeatedly. Returns the rate of arrivals at `at`, in packets per second.
fn flood(from: &UdpSocket, to: SocketAddr, at: &UdpSocket, packet: &Bytes) -> f64 {
    let (arrived, is_over) = (AtomicU64::new(0), AtomicBool::new(false));
    let started = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut buf = [0; 2_048];
            while !is_over.load(Ordering::Relaxed) {
                if at.recv(&mut buf).is_ok() {
                    arrived.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        let (mut sent, mut lost) = (0, 0);
        let (mut seen, mut seen_at) = (0, started);
        while started.elapsed() < DURATION {
            let count = arrived.load(Ordering::Relaxed);
            if count != seen {
                (seen, seen_at) = (count, Instant::now());
            } else if seen_at.elapsed() > LOST_AFTER {
                lost = sent - seen.min(sent);
                seen_at = Instant::now();
            }
            if sent < seen + lost + WINDOW {
                if from.send_to(packet, to).is_ok() {
                    sent += 1;
                }
            } else {
                std::thread::yield_now();
            }
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let count = arrived.load(Ordering::Relaxed);
    #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 packets")]
    let count = count as f64;
    count / started.elapsed().as_secs_f64()
}

/// Establishes the flow with a handshake between both ends.
fn open(
    flow: FlowId,
    (caller, fabric): (&UdpSocket, SocketAddr),
    (target, from_target): (&UdpSocket, SocketAddr),
) -> Outcome<()> {
    let opening = Segment {
        syn: true,
        seq: CALLER_ISN,
        ..Segment::default()
    };
    let accepted = Segment {
        syn: true,
        ack: true,
        seq: TARGET_ISN,
        ack_seq: CALLER_ISN + 1,
        ..Segment::default()
    };
    send_until_received(
        caller,
        fabric,
        target,
        &encode(Writer::Caller, flow, &opening, b""),
    )?;
    send_until_received(
        target,
        from_target,
        caller,
        &encode(Writer::Target, flow, &accepted, b""),
    )?;
    let first = encode(
        Writer::Caller,
        flow,
        &established(CALLER_ISN, TARGET_ISN),
        b"first",
    );
    send_until_received(caller, fabric, target, &first)
}

/// Sends a packet until it arrives.
fn send_until_received(
    from: &UdpSocket,
    to: SocketAddr,
    at: &UdpSocket,
    packet: &Bytes,
) -> Outcome<()> {
    let mut buf = [0; 2_048];
    for _ in 0..1_000 {
        from.send_to(packet, to)?;
        if at.recv(&mut buf).is_ok_and(|len| buf[..len] == packet[..]) {
            return Ok(());
        }
    }
    Err("a packet of the handshake did not arrive".into())
}

/// Segment of the established flow, after the handshake.
fn established(isn: u32, other_isn: u32) -> Segment {
    Segment {
        ack: true,
        seq: isn + 1,
        ack_seq: other_isn + 1,
        ..Segment::default()
    }
}

fn bind(addr: SocketAddr) -> Outcome<UdpSocket> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    Ok(socket)
}
