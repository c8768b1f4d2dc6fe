//! Throughput of the agent's path as a ratio to a plain TCP splice, in one run.
//!
//! The target sends as fast as it can on every connection. First a single-threaded relay of TCP
//! connections carries it, then the traffic thread, each for the same time and as many flows. The
//! callers' stacks run on threads of their own on both paths.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use citronhollow_caller::packet;
use citronhollow_core::flow::FlowId;
use tokio::net::TcpListener;

use support::client::{Client, ClientSettings};
use support::{Agent, Fabric, service_addr, settings, target};

/// Threads that play callers.
const DRIVERS: usize = 4;

/// Flows on each of them.
const FLOWS_PER_DRIVER: usize = 16;

const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(4);

/// Bytes that the target writes at once.
const CHUNK: usize = 64 * 1_024;

/// Bytes in a megabit.
const MEGABIT: f64 = 125_000.0;

#[derive(Default)]
struct Meter {
    bytes: AtomicU64,
    is_over: AtomicBool,
}

fn main() {
    let target = target(send_on);
    let plain = measure(|meter| plain_drivers(target, meter));
    println!("plain TCP splice: {plain:.0} Mbit/s");
    let agent = measure(|meter| agent_drivers(target, meter));
    println!("agent: {agent:.0} Mbit/s, ratio {:.2}", agent / plain);
}

fn send_on(mut stream: TcpStream) -> io::Result<()> {
    let chunk = vec![7; CHUNK];
    loop {
        stream.write_all(&chunk)?;
    }
}

/// Megabits a second that the drivers take.
fn measure(start: impl FnOnce(&Arc<Meter>) -> Vec<JoinHandle<()>>) -> f64 {
    let meter = Arc::new(Meter::default());
    let drivers = start(&meter);
    thread::sleep(WARM_UP);
    let before = meter.bytes.load(Ordering::Relaxed);
    thread::sleep(MEASURED);
    let after = meter.bytes.load(Ordering::Relaxed);
    meter.is_over.store(true, Ordering::Relaxed);
    for driver in drivers {
        driver.join().unwrap();
    }
    let bytes = u32::try_from((after - before) / 1_000).unwrap();
    f64::from(bytes) * 1_000.0 / MEGABIT / MEASURED.as_secs_f64()
}

fn plain_drivers(target: SocketAddr, meter: &Arc<Meter>) -> Vec<JoinHandle<()>> {
    let relay = relay(target);
    (0..DRIVERS * FLOWS_PER_DRIVER)
        .map(|_| {
            let meter = Arc::clone(meter);
            let mut stream = TcpStream::connect(relay).unwrap();
            thread::spawn(move || {
                let mut buf = vec![0; CHUNK];
                while !meter.is_over.load(Ordering::Relaxed) {
                    let len = stream.read(&mut buf).unwrap();
                    meter.bytes.fetch_add(len as u64, Ordering::Relaxed);
                }
            })
        })
        .collect()
}

/// A relay of TCP connections on one thread.
fn relay(target: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(splice(caller, target));
            }
        });
    });
    addr
}

async fn splice(mut caller: tokio::net::TcpStream, target: SocketAddr) -> io::Result<()> {
    let mut target = tokio::net::TcpStream::connect(target).await?;
    tokio::io::copy_bidirectional(&mut caller, &mut target).await?;
    Ok(())
}

fn agent_drivers(target: SocketAddr, meter: &Arc<Meter>) -> Vec<JoinHandle<()>> {
    let fabrics: Vec<Fabric> = (0..DRIVERS).map(|_| Fabric::new()).collect();
    let mut settings = settings("rink-1", fabrics[0].addr());
    settings.fabric = fabrics.iter().map(Fabric::addr).collect();
    let agent = Agent::start(&settings);
    agent.serve(target);
    let addr = agent.addr;
    let mut drivers: Vec<_> = fabrics
        .into_iter()
        .enumerate()
        .map(|(index, fabric)| {
            let meter = Arc::clone(meter);
            thread::spawn(move || drive(&fabric, addr, callers(index), &meter))
        })
        .collect();
    let meter = Arc::clone(meter);
    drivers.push(thread::spawn(move || {
        while !meter.is_over.load(Ordering::Relaxed) {
            thread::sleep(WARM_UP);
        }
        agent.stop();
    }));
    drivers
}

/// Callers whose replies come to the fabric address with this index.
fn callers(index: usize) -> HashMap<SocketAddr, Client> {
    (1_024..u16::MAX)
        .map(|port| SocketAddr::from(([198, 51, 100, 7], port)))
        .filter(|caller| {
            let flow = FlowId {
                caller: *caller,
                service: service_addr(),
            };
            flow.hash() % DRIVERS as u64 == index as u64
        })
        .take(FLOWS_PER_DRIVER)
        .map(|from| {
            let seed = u64::from(from.port());
            let client = Client::connect(from, service_addr(), seed, ClientSettings::default());
            (from, client)
        })
        .collect()
}

fn drive(
    fabric: &Fabric,
    agent: SocketAddr,
    mut clients: HashMap<SocketAddr, Client>,
    meter: &Meter,
) {
    let mut out = Vec::new();
    while !meter.is_over.load(Ordering::Relaxed) {
        match fabric.recv() {
            Some(reply) => {
                let caller = packet::parse(&reply).unwrap().flow.service;
                let client = clients.get_mut(&caller).unwrap();
                client.on_packet(fabric.now(), &reply, &mut out);
                let len = client.recv().len();
                meter.bytes.fetch_add(len as u64, Ordering::Relaxed);
                client.poll(fabric.now(), &mut out);
            }
            // Nothing came for a moment, so timers may be due.
            None => {
                for client in clients.values_mut() {
                    client.poll(fabric.now(), &mut out);
                }
            }
        }
        for packet in out.drain(..) {
            fabric.forward(agent, &packet);
        }
    }
}
