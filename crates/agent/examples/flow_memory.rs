//! Measures the memory per idle flow and the rate of new flows of the traffic thread.
//!
//! The process simulates the callers with hand-made packets. The target's connections stay in the
//! backlog of listeners that never accept, so that all growth of the process is the agent's, and
//! each flow takes only one file descriptor.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use citronhollow_agent::link::TrafficCommand;
use citronhollow_caller::packet::{self, Parsed};
use etherparse::{PacketBuilder, PacketBuilderStep, TcpHeader, TcpOptionElement};
use socket2::{Domain, Socket, Type};

use support::{Agent, Fabric, HANG, eventually, service_addr, settings, settle};

/// Numbers of open flows at which measurements are taken.
const STEPS: [u32; 2] = [2_000, 19_500];

/// Largest number of connections in the backlog of one listener.
const BACKLOG: u32 = 4_000;

/// Largest number of concurrent handshakes.
const HANDSHAKES_MAX: u32 = 64;

/// Size of a page of `/proc/self/statm`, in bytes.
const PAGE: u64 = 4_096;

/// Lowest port of the callers.
const FIRST_PORT: u32 = 1_024;

/// Number of ports used per caller IP address.
const PORTS: u32 = 60_000;

const WINDOW: u16 = 4_096;
const HOP_LIMIT: u8 = 64;
const MSS: u16 = 1_280;

/// Slots of the target, more than the number of flows.
const SLOTS: u16 = u16::MAX;

fn main() {
    let fabric = Fabric::new();
    let mut settings = settings("rink-1", fabric.addr());
    settings.flow_limit = u32::from(SLOTS);
    let agent = Agent::start(&settings);
    let targets: Vec<Socket> = (0..=STEPS[1] / BACKLOG)
        .map(|_| unaccepting_listener())
        .collect();
    agent.serve(address(&targets[0]));
    let before = resident_bytes();
    let mut open = 0;
    for step in STEPS {
        let mut elapsed = Duration::ZERO;
        let first = open;
        while open < step {
            let target = &targets[usize::try_from(open / BACKLOG).unwrap()];
            agent.command(TrafficCommand::Target {
                address: address(target),
                slots: SLOTS,
            });
            let next = step.min((open / BACKLOG + 1) * BACKLOG);
            let begun = Instant::now();
            open_flows(&fabric, &agent, open..next);
            elapsed += begun.elapsed();
            open = next;
        }
        settle();
        assert_eq!(agent.stats.open(), step, "flows were lost");
        let rate = f64::from(step - first) / elapsed.as_secs_f64();
        let bytes = resident_bytes().saturating_sub(before) / u64::from(step);
        println!("{step} idle flows: {bytes} bytes a flow, {rate:.0} new flows/s");
    }
    agent.stop();
}

/// A listener whose connections are never accepted.
fn unaccepting_listener() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    socket.listen(i32::try_from(BACKLOG).unwrap()).unwrap();
    socket
}

fn address(listener: &Socket) -> SocketAddr {
    listener.local_addr().unwrap().as_socket().unwrap()
}

fn open_flows(fabric: &Fabric, agent: &Agent, flows: std::ops::Range<u32>) {
    let begun = Instant::now();
    let end = flows.end;
    let (mut next, mut done) = (flows.start, flows.start);
    while done < end {
        while next < end && next - done < HANDSHAKES_MAX {
            fabric.forward(agent.addr, &initial_syn(next));
            next += 1;
        }
        if let Some(reply) = fabric.recv()
            && let Some(final_ack) = final_ack(&reply)
        {
            fabric.forward(agent.addr, &final_ack);
            done += 1;
        }
        assert!(begun.elapsed() < HANG, "{done} of {end} flows opened");
    }
    eventually("the last flow", || agent.stats.open() == end);
}

fn caller(index: u32) -> SocketAddr {
    let host = u8::try_from(1 + index / PORTS).unwrap();
    let port = u16::try_from(FIRST_PORT + index % PORTS).unwrap();
    SocketAddr::from(([198, 51, 100, host], port))
}

fn initial_syn(index: u32) -> Vec<u8> {
    let options = [
        TcpOptionElement::MaximumSegmentSize(MSS),
        TcpOptionElement::Timestamp(1, 0),
    ];
    let builder = builder(caller(index), 0).syn().options(&options).unwrap();
    let mut packet = Vec::new();
    builder.write(&mut packet, &[]).unwrap();
    packet
}

/// The packet that completes the handshake.
fn final_ack(reply: &[u8]) -> Option<Vec<u8>> {
    let Parsed { flow, segment } = packet::parse(reply).unwrap();
    if !segment.syn {
        return None;
    }
    let options = [TcpOptionElement::Timestamp(1, 0)];
    let builder = builder(flow.service, segment.ack_seq)
        .ack(segment.seq.wrapping_add(1))
        .options(&options)
        .unwrap();
    let mut packet = Vec::new();
    builder.write(&mut packet, &[]).unwrap();
    Some(packet)
}

fn builder(caller: SocketAddr, seq: u32) -> PacketBuilderStep<TcpHeader> {
    let service = service_addr();
    let (std::net::IpAddr::V4(from), std::net::IpAddr::V4(to)) = (caller.ip(), service.ip()) else {
        unreachable!("both are of version 4")
    };
    PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT).tcp(
        caller.port(),
        service.port(),
        seq,
        WINDOW,
    )
}

/// Resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages = statm.split_whitespace().nth(1).unwrap();
    pages.parse::<u64>().unwrap() * PAGE
}
