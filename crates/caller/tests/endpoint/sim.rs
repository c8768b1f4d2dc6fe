//! Simulation of a caller and an endpoint, on simulated time, over a link that loses, duplicates
//! and reorders packets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use citronhollow_caller::endpoint::{Endpoint, Settings, Stage};
use citronhollow_caller::packet::{self, MTU};
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{Client, ClientSettings};

pub const HINT: u32 = 0x00c0_ffee;
pub const KEEPALIVE: Millis = Millis::from_secs(30);
pub const PROBE_INTERVAL: Millis = Millis::from_secs(6);
pub const TIMEOUT: Millis = Millis::from_secs(90);

/// Events after which a run is treated as hung.
const EVENTS_MAX: u32 = 50_000;

/// Minimum delay of the link, in milliseconds.
const DELAY_MIN: u64 = 3;

/// Faults of the link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Packets lost, in percent.
    pub loss: u32,
    /// Packets duplicated, in percent.
    pub repeats: u32,
    /// Maximum extra delay of a packet, in milliseconds.
    pub jitter: u64,
}

/// Direction of a packet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Direction {
    ToCaller,
    ToEndpoint,
}

type InFlight = Reverse<(Millis, u64, Direction, Vec<u8>)>;

pub struct Sim {
    pub now: Millis,
    pub client: Client,
    pub endpoint: Endpoint,
    /// Whether the link delivers packets.
    pub is_up: bool,
    faults: Faults,
    rng: SmallRng,
    sent: u64,
    in_flight: BinaryHeap<InFlight>,
}

pub fn flow() -> FlowId {
    FlowId {
        caller: "198.51.100.7:40000".parse().unwrap(),
        service: "192.0.2.10:80".parse().unwrap(),
    }
}

pub fn flow_v6() -> FlowId {
    FlowId {
        caller: "[2001:db8::7]:40000".parse().unwrap(),
        service: "[2001:db8:1::10]:80".parse().unwrap(),
    }
}

pub const fn settings() -> Settings {
    Settings {
        hint: HINT,
        keepalive: KEEPALIVE,
        probe_interval: PROBE_INTERVAL,
        timeout: TIMEOUT,
    }
}

impl Sim {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self::with(flow(), seed, faults, ClientSettings::default())
    }

    pub fn with(flow: FlowId, seed: u64, faults: Faults, client: ClientSettings) -> Self {
        let (from, to): (SocketAddr, SocketAddr) = (flow.caller, flow.service);
        Self {
            now: Millis::ZERO,
            client: Client::connect(from, to, seed, client),
            endpoint: Endpoint::new(Millis::ZERO, flow, !seed, settings()),
            is_up: true,
            faults,
            rng: SmallRng::seed_from_u64(seed),
            sent: 0,
            in_flight: BinaryHeap::new(),
        }
    }

    /// Creates a simulation and runs it until the handshake is complete.
    pub fn established(seed: u64, faults: Faults) -> Self {
        let mut sim = Self::new(seed, faults);
        sim.run(|sim| sim.endpoint.stage() == Stage::Established);
        sim
    }

    /// Runs until `is_done` returns true.
    ///
    /// Panics if no event is left or after `EVENTS_MAX` events.
    pub fn run(&mut self, mut is_done: impl FnMut(&mut Self) -> bool) {
        for _ in 0..EVENTS_MAX {
            let due = self.poll();
            if is_done(self) {
                return;
            }
            // `is_done` may have written bytes, which are due now.
            let due = self.poll().or(due);
            let Some(next) = self.next_event(due) else {
                panic!("nothing is left to happen at {}", self.now);
            };
            self.now = next;
            self.deliver();
        }
        panic!("not done at {}", self.now);
    }

    /// Runs for a span of simulated time.
    pub fn run_for(&mut self, span: Millis) {
        let end = self.now.after(span);
        loop {
            let due = self.poll();
            match self.next_event(due) {
                Some(next) if next <= end => {
                    self.now = next;
                    self.deliver();
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn next_event(&self, due: Option<Millis>) -> Option<Millis> {
        let arrival = self.in_flight.peek().map(|Reverse((at, ..))| *at);
        let next = due.into_iter().chain(arrival).min()?;
        // Time advances even if a stack always asks for an immediate call.
        Some(next.max(Millis(self.now.0 + u64::from(arrival != Some(self.now)))))
    }

    fn poll(&mut self) -> Option<Millis> {
        let mut out = Vec::new();
        let client = self.client.poll(self.now, &mut out);
        self.send(Direction::ToEndpoint, &mut out);
        let endpoint = self.endpoint.poll(self.now, &mut out);
        self.send(Direction::ToCaller, &mut out);
        client.into_iter().chain(endpoint).min()
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, ..))) = self.in_flight.peek() {
            if *at > self.now {
                return;
            }
            let Some(Reverse((_, _, direction, packet))) = self.in_flight.pop() else {
                return;
            };
            self.receive(direction, &packet);
        }
    }

    fn receive(&mut self, direction: Direction, packet: &[u8]) {
        let mut out = Vec::new();
        match direction {
            Direction::ToCaller => {
                self.client.on_packet(self.now, packet, &mut out);
                self.send(Direction::ToEndpoint, &mut out);
            }
            Direction::ToEndpoint => {
                let parsed = packet::parse_verified(packet).unwrap();
                self.endpoint.on_packet(self.now, &parsed, packet, &mut out);
                self.send(Direction::ToCaller, &mut out);
            }
        }
    }

    fn send(&mut self, direction: Direction, packets: &mut Vec<Vec<u8>>) {
        for packet in packets.drain(..) {
            match direction {
                Direction::ToCaller => assert!(packet.len() <= MTU),
                Direction::ToEndpoint => assert_hint(&packet),
            }
            if !self.is_up || self.rng.random_ratio(self.faults.loss, 100) {
                continue;
            }
            if self.rng.random_ratio(self.faults.repeats, 100) {
                self.put(direction, packet.clone());
            }
            self.put(direction, packet);
        }
    }

    fn put(&mut self, direction: Direction, packet: Vec<u8>) {
        let late = self.rng.random_range(0..=self.faults.jitter);
        let at = self.now.after(Millis(DELAY_MIN + late));
        self.sent += 1;
        self.in_flight
            .push(Reverse((at, self.sent, direction, packet)));
    }
}

/// Checks that a packet after the initial SYN echoes the hint, or zero without timestamps.
fn assert_hint(packet: &[u8]) {
    let parsed = packet::parse_verified(packet).unwrap();
    if parsed.segment.ack && !parsed.segment.rst {
        assert!([HINT, 0].contains(&parsed.segment.echo));
    }
}
