//! Measures the throughput of the agent, and its ratio to that of a plain TCP splice.
//!
//! The target sends as fast as it can on every connection. A single-threaded TCP relay carries the
//! data first, then the traffic thread, for the same time and with the same number of flows. On
//! both paths the callers' stacks run on threads of their own.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use citronhollow_caller::packet;
use citronhollow_core::flow::FlowId;
use derive_more::Display;
use tokio::net::TcpListener;

use support::client::{Client, ClientSettings};
use support::{Agent, Fabric, service_addr, settings, target};

/// Number of threads that simulate callers.
const DRIVERS: usize = 4;

/// Flows per driver thread.
const FLOWS_PER_DRIVER: usize = 16;

const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(4);

/// Size of the target's writes, in bytes.
const CHUNK: usize = 64 * 1_024;

const KILOBYTES_PER_MEGABIT: f64 = 125.0;

#[derive(Default)]
struct Meter {
    bytes: AtomicU64,
    is_over: AtomicBool,
}

fn main() {
    let target = target(send_forever);
    let plain = measure("relay", |meter| plain_drivers(target, meter));
    println!("plain TCP splice: {plain}");
    let agent = measure("traffic", |meter| agent_drivers(target, meter));
    println!("agent: {agent}");
    println!("ratio: {:.2}", agent.rate / plain.rate);
    println!(
        "ratio by processor time: {:.2}",
        agent.per_cpu_second / plain.per_cpu_second
    );
}

fn send_forever(mut stream: TcpStream) -> io::Result<()> {
    let chunk = vec![7; CHUNK];
    loop {
        stream.write_all(&chunk)?;
    }
}

/// Throughput of a path.
#[derive(Clone, Copy, Debug, Display)]
#[display("{rate:.0} Mbit/s, {per_cpu_second:.0} Mbit a second of its thread's processor time")]
struct Speed {
    rate: f64,
    per_cpu_second: f64,
}

/// CPU time used by the thread with this name.
fn cpu_time(thread: &str) -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let paths = tasks.map(|task| task.unwrap().path());
    let named = |path: &PathBuf| {
        std::fs::read_to_string(path.join("comm")).is_ok_and(|name| name.trim_end() == thread)
    };
    let path = paths.into_iter().find(named).unwrap();
    let schedstat = std::fs::read_to_string(path.join("schedstat")).unwrap();
    let nanos = schedstat.split_whitespace().next().unwrap();
    Duration::from_nanos(nanos.parse().unwrap())
}

/// Measures the throughput and the CPU time of `thread` while the drivers receive.
fn measure(thread: &str, start: impl FnOnce(&Arc<Meter>) -> Vec<JoinHandle<()>>) -> Speed {
    let meter = Arc::new(Meter::default());
    let drivers = start(&meter);
    thread::sleep(WARM_UP);
    let before = meter.bytes.load(Ordering::Relaxed);
    let cpu_time_before = cpu_time(thread);
    thread::sleep(MEASURED);
    let after = meter.bytes.load(Ordering::Relaxed);
    let cpu_time = cpu_time(thread).saturating_sub(cpu_time_before);
    meter.is_over.store(true, Ordering::Relaxed);
    for driver in drivers {
        driver.join().unwrap();
    }
    let kilobytes = u32::try_from((after - before) / 1_000).unwrap();
    let megabits = f64::from(kilobytes) / KILOBYTES_PER_MEGABIT;
    Speed {
        rate: megabits / MEASURED.as_secs_f64(),
        per_cpu_second: megabits / cpu_time.as_secs_f64(),
    }
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

/// Starts a single-threaded relay of TCP connections.
fn relay(target: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let relay = move || {
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
    };
    let relay = thread::Builder::new()
        .name(String::from("relay"))
        .spawn(relay);
    assert!(relay.is_ok(), "no thread for the relay");
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

/// Callers whose flows hash to the fabric address with this index.
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
            // No packet arrived within the timeout, so timers may be due.
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
