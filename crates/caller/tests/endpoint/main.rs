//! The endpoint against a caller's TCP stack over a lossy link.
//!
//! Guards against lost or duplicated bytes, flows that end although the caller is alive, and flows
//! that stay open although it is gone. These come about through packet loss, reordering, closed
//! windows, half-closed connections and packets of another handshake.

mod sim;

#[path = "../support/mod.rs"]
mod support;

use citronhollow_caller::endpoint::{BUFFER_LEN, Endpoint, Stage};
use citronhollow_caller::packet::{self, Parsed};
use citronhollow_core::clock::Millis;
use etherparse::PacketBuilder;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smoltcp::socket::tcp;

use sim::{Faults, HINT, KEEPALIVE, Sim, TIMEOUT, flow, flow_v6, settings};
use support::{Client, ClientSettings};

const GOOD: Faults = Faults {
    loss: 0,
    repeats: 0,
    jitter: 0,
};

const BAD: Faults = Faults {
    loss: 10,
    repeats: 10,
    jitter: 40,
};

fn body(len: usize) -> Vec<u8> {
    (0..=250).cycle().take(len).collect()
}

/// Sends `up` and `down` concurrently, closes both directions and compares the received bytes.
fn exchange(sim: &mut Sim, up: &[u8], down: &[u8]) {
    let (mut sent_up, mut sent_down) = (0, 0);
    let (mut got_up, mut got_down) = (Vec::new(), Vec::new());
    let mut is_read_finished = false;
    sim.run(|sim| {
        if sim.client.socket().may_send() {
            sent_up += sim.client.send(&up[sent_up..]);
            if sent_up == up.len() {
                sim.client.socket().close();
            }
        }
        if sim.endpoint.stage() == Stage::Established && sent_down < down.len() {
            sent_down += sim.endpoint.write(&down[sent_down..]);
        }
        if sim.endpoint.stage() == Stage::Established && sent_down == down.len() {
            sim.endpoint.finish();
        }
        sim.endpoint.read_with(|bytes| {
            got_up.extend_from_slice(bytes);
            bytes.len()
        });
        got_down.extend(sim.client.recv());
        is_read_finished |= sim.endpoint.is_read_finished();
        is_read_finished && sim.client.is_finished()
    });
    assert!(got_up == up, "bytes to the service differ");
    assert!(got_down == down, "bytes to the caller differ");
}

/// Runs until both directions are closed, and fails on a reset.
fn assert_ends_in_order(sim: &mut Sim) {
    sim.run(|sim| {
        assert_ne!(sim.endpoint.stage(), Stage::Reset);
        matches!(sim.endpoint.stage(), Stage::Lingering | Stage::Closed)
    });
}

macro_rules! exchanges {
    ($($name:ident: $faults:expr, $up:expr, $down:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut sim = Sim::new(7, $faults);
                exchange(&mut sim, &body($up), &body($down));
                assert_ends_in_order(&mut sim);
            }
        )*
    };
}

exchanges! {
    a_good_link_carries_both_ways: GOOD, 100_000, 100_000;
    a_bad_link_carries_up: BAD, 30_000, 0;
    a_bad_link_carries_down: BAD, 0, 30_000;
    a_bad_link_carries_both_ways: BAD, 30_000, 30_000;
    nothing_is_carried_in_order: BAD, 0, 0;
    a_link_that_only_reorders: Faults { jitter: 100, ..GOOD }, 30_000, 30_000;
    a_link_that_repeats_everything: Faults { repeats: 100, ..GOOD }, 30_000, 30_000;
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_link_carries_every_byte_once(
        seed: u64,
        loss in 0_u32..20,
        repeats in 0_u32..30,
        jitter in 0_u64..60,
        up in 0_usize..12_000,
        down in 0_usize..12_000,
        timestamps: bool,
    ) {
        let faults = Faults { loss, repeats, jitter };
        let client = ClientSettings { timestamps, ..ClientSettings::default() };
        let mut sim = Sim::with(flow(), seed, faults, client);
        exchange(&mut sim, &body(up), &body(down));
    }

    #[test]
    fn no_segment_makes_the_endpoint_panic(
        seed: u64,
        segments in proptest::collection::vec(any_segment(), 1..60),
    ) {
        let (mut endpoint, isn, next) = open(seed);
        let mut out = Vec::new();
        for (step, segment) in (1..).zip(segments) {
            let now = Millis(step * 20);
            let packet = segment.build(isn, next);
            let parsed = packet::parse_verified(&packet).unwrap();
            endpoint.on_packet(now, &parsed, &packet, &mut out);
            endpoint.write(&body(100));
            endpoint.read_with(|bytes| bytes.len() / 2);
            endpoint.poll(now, &mut out);
        }
    }
}

/// A random segment with sequence numbers near those that the endpoint expects.
#[derive(Clone, Debug)]
struct RandomSegment {
    flags: u8,
    seq: i32,
    ack: i32,
    window: u16,
    payload: usize,
}

fn any_segment() -> impl Strategy<Value = RandomSegment> {
    let near = || prop_oneof![6 => -3_000_i32..3_000, 1 => any::<i32>()];
    (any::<u8>(), near(), near(), any::<u16>(), 0_usize..1_200).prop_map(
        |(flags, seq, ack, window, payload)| RandomSegment {
            flags,
            seq,
            ack,
            window,
            payload,
        },
    )
}

impl RandomSegment {
    fn build(&self, isn: u32, next: u32) -> Vec<u8> {
        let flow = flow();
        let (std::net::IpAddr::V4(from), std::net::IpAddr::V4(to)) =
            (flow.caller.ip(), flow.service.ip())
        else {
            unreachable!("the flow is IPv4")
        };
        let mut builder = PacketBuilder::ipv4(from.octets(), to.octets(), 64).tcp(
            flow.caller.port(),
            flow.service.port(),
            next.wrapping_add_signed(self.seq),
            self.window,
        );
        // Most segments of a connection carry an acknowledgement.
        if self.flags & 0b11 != 0 {
            builder = builder.ack(isn.wrapping_add_signed(self.ack));
        }
        if self.flags & 0b1_1100 == 0 {
            builder = builder.syn();
        }
        if self.flags & 0b1110_0000 == 0 {
            builder = builder.rst();
        }
        if self.flags & 0b1_1000 == 0b1_1000 {
            builder = builder.fin();
        }
        let mut packet = Vec::new();
        builder.write(&mut packet, &body(self.payload)).unwrap();
        packet
    }
}

/// Creates an endpoint that has answered a SYN. Returns it with its initial sequence number and the
/// caller's next sequence number.
fn open(seed: u64) -> (Endpoint, u32, u32) {
    let (mut endpoint, syn) = (
        Endpoint::new(Millis::ZERO, flow(), seed, settings()),
        initial_syn(),
    );
    let mut out = Vec::new();
    let parsed = packet::parse_verified(&syn).unwrap();
    assert!(endpoint.on_packet(Millis::ZERO, &parsed, &syn, &mut out));
    endpoint.poll(Millis::ZERO, &mut out);
    let isn = endpoint.isn().unwrap();
    (endpoint, isn, parsed.segment.seq.wrapping_add(1))
}

fn initial_syn() -> Vec<u8> {
    let flow = flow();
    let mut client = Client::connect(flow.caller, flow.service, 1, ClientSettings::default());
    let mut out = Vec::new();
    client.poll(Millis::ZERO, &mut out);
    out.remove(0)
}

#[test]
fn ipv6_is_carried() {
    let mut sim = Sim::with(flow_v6(), 7, BAD, ClientSettings::default());
    exchange(&mut sim, &body(20_000), &body(20_000));
}

#[test]
fn the_caller_echoes_the_hint() {
    let mut sim = Sim::established(7, GOOD);
    sim.client.send(b"end 1");
    let mut out = Vec::new();
    sim.client.poll(sim.now, &mut out);
    let parsed = packet::parse(&out[0]).unwrap();
    assert_eq!(parsed.segment.echo, HINT);
}

#[test]
fn a_new_flow_is_not_probed_at_once() {
    let (mut endpoint, isn, next) = open(1);
    let answer = RandomSegment {
        flags: 0b0010_0101,
        seq: 0,
        ack: 1,
        window: 100,
        payload: 0,
    };
    let packet = answer.build(isn, next);
    let parsed = packet::parse_verified(&packet).unwrap();
    let mut out = Vec::new();
    assert!(endpoint.on_packet(Millis(10), &parsed, &packet, &mut out));
    assert_eq!(endpoint.stage(), Stage::Established);
    let due = endpoint.poll(Millis(10), &mut out);
    assert!(out.is_empty());
    assert_eq!(due, Some(Millis(10).after(KEEPALIVE)));
}

#[test]
fn sequence_numbers_differ_between_seeds() {
    let (_, first, _) = open(1);
    let (_, second, _) = open(2);
    assert_ne!(first, second);
}

#[test]
fn the_service_answers_after_the_callers_end() {
    let mut sim = Sim::established(7, BAD);
    sim.client.socket().close();
    sim.run(|sim| sim.endpoint.is_read_finished());
    sim.run_for(Millis::from_secs(60));
    let sheet = body(30_000);
    let mut sent = 0;
    let mut got = Vec::new();
    sim.run(|sim| {
        sent += sim.endpoint.write(&sheet[sent..]);
        if sent == sheet.len() {
            sim.endpoint.finish();
        }
        got.extend(sim.client.recv());
        sim.client.is_finished()
    });
    assert!(got == sheet, "bytes differ");
    assert_ends_in_order(&mut sim);
}

#[test]
fn the_caller_sends_on_after_the_services_end() {
    let mut sim = Sim::established(7, BAD);
    sim.endpoint.finish();
    sim.run(|sim| sim.client.is_finished());
    sim.run_for(Millis::from_secs(60));
    let card = body(30_000);
    let mut sent = 0;
    let mut got = Vec::new();
    sim.run(|sim| {
        if sim.client.socket().may_send() {
            sent += sim.client.send(&card[sent..]);
            if sent == card.len() {
                sim.client.socket().close();
            }
        }
        sim.endpoint.read_with(|bytes| {
            got.extend_from_slice(bytes);
            bytes.len()
        });
        sim.endpoint.is_read_finished()
    });
    assert!(got == card, "bytes differ");
    assert_ends_in_order(&mut sim);
}

#[test]
fn a_service_that_reads_late_loses_nothing() {
    let mut sim = Sim::established(7, BAD);
    let card = body(20_000);
    let mut sent = 0;
    sim.run(|sim| {
        sent += sim.client.send(&card[sent..]);
        sent == card.len()
    });
    // The window stays closed for far longer than the idle timeout.
    sim.run_for(Millis(TIMEOUT.0 * 20));
    assert_eq!(sim.endpoint.stage(), Stage::Established);
    let mut got = Vec::new();
    sim.run(|sim| {
        sim.endpoint.read_with(|bytes| {
            got.extend_from_slice(bytes);
            bytes.len()
        });
        got.len() == card.len()
    });
    assert!(got == card, "bytes differ");
}

#[test]
fn a_caller_that_reads_late_loses_nothing() {
    let client = ClientSettings {
        buffer: 1_024,
        ..ClientSettings::default()
    };
    let mut sim = Sim::with(flow(), 7, BAD, client);
    sim.run(|sim| sim.endpoint.stage() == Stage::Established);
    let sheet = body(BUFFER_LEN);
    let mut sent = 0;
    sim.run(|sim| {
        sent += sim.endpoint.write(&sheet[sent..]);
        sent == sheet.len()
    });
    sim.run_for(Millis(TIMEOUT.0 * 20));
    assert_eq!(sim.endpoint.stage(), Stage::Established);
    let mut got = Vec::new();
    sim.run(|sim| {
        got.extend(sim.client.recv());
        got.len() == sheet.len()
    });
    assert!(got == sheet, "bytes differ");
}

#[test]
fn a_reset_of_the_caller_ends_the_endpoint() {
    let mut sim = Sim::established(7, GOOD);
    sim.client.socket().abort();
    sim.run(|sim| sim.endpoint.stage() == Stage::Reset);
}

#[test]
fn a_reset_after_the_callers_end_is_a_reset() {
    let mut sim = Sim::established(7, GOOD);
    sim.client.socket().close();
    sim.run(|sim| sim.endpoint.is_read_finished());
    sim.client.socket().abort();
    sim.run(|sim| sim.endpoint.stage() == Stage::Reset);
}

#[test]
fn an_abort_resets_the_caller() {
    let mut sim = Sim::established(7, GOOD);
    sim.endpoint.abort();
    sim.run(|sim| sim.client.state() == tcp::State::Closed);
    assert_eq!(sim.endpoint.stage(), Stage::Reset);
}

#[test]
fn a_reset_of_the_handshake_admits_no_second_one() {
    let (mut endpoint, isn, next) = open(1);
    let mut out = Vec::new();
    let reset = RandomSegment {
        flags: 0b0000_0101,
        seq: 0,
        ack: 1,
        window: 0,
        payload: 0,
    };
    let packet = reset.build(isn, next);
    let parsed = packet::parse_verified(&packet).unwrap();
    assert!(parsed.segment.rst && parsed.segment.ack && !parsed.segment.syn);
    endpoint.on_packet(Millis(10), &parsed, &packet, &mut out);
    assert_eq!(endpoint.stage(), Stage::Reset);
    let syn = initial_syn();
    let parsed = packet::parse_verified(&syn).unwrap();
    assert!(!endpoint.on_packet(Millis(20), &parsed, &syn, &mut out));
}

#[test]
fn an_idle_caller_that_is_alive_stays() {
    let mut sim = Sim::established(7, BAD);
    sim.run_for(Millis(TIMEOUT.0 * 100));
    assert_eq!(sim.endpoint.stage(), Stage::Established);
}

macro_rules! silences {
    ($($name:ident: $before:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut sim = Sim::established(7, GOOD);
                let before: fn(&mut Sim) = $before;
                before(&mut sim);
                sim.is_up = false;
                sim.run_for(Millis(TIMEOUT.0 + KEEPALIVE.0));
                assert_eq!(sim.endpoint.stage(), Stage::Reset);
            }
        )*
    };
}

silences! {
    a_silent_idle_caller_is_given_up: |_| {};
    a_silent_caller_with_bytes_to_come_is_given_up: |sim| {
        sim.endpoint.write(&body(1_000));
    };
    a_silent_caller_after_its_end_is_given_up: |sim| {
        sim.client.socket().close();
        sim.run(|sim| sim.endpoint.is_read_finished());
    };
    a_silent_caller_after_the_services_end_is_given_up: |sim| {
        sim.endpoint.finish();
        sim.run(|sim| sim.client.is_finished());
    };
}

#[test]
fn an_acknowledgement_of_another_handshake_is_left_alone() {
    let (mut endpoint, isn, next) = open(1);
    let foreign = RandomSegment {
        flags: 0b0010_0101,
        seq: 0,
        ack: 2,
        window: 100,
        payload: 0,
    };
    let packet = foreign.build(isn, next);
    let parsed = packet::parse_verified(&packet).unwrap();
    let mut out = Vec::new();
    assert!(!endpoint.on_packet(Millis(10), &parsed, &packet, &mut out));
    assert!(out.is_empty());
    assert_eq!(endpoint.stage(), Stage::HalfOpen);
}

#[test]
fn a_packet_of_another_flow_is_left_alone() {
    let (mut endpoint, isn, next) = open(1);
    let packet = RandomSegment {
        flags: 0b0010_0101,
        seq: 0,
        ack: 1,
        window: 100,
        payload: 0,
    }
    .build(isn, next);
    let parsed = packet::parse_verified(&packet).unwrap();
    let other = Parsed {
        flow: flow_v6(),
        ..parsed
    };
    let mut out = Vec::new();
    assert!(!endpoint.on_packet(Millis(10), &other, &packet, &mut out));
    assert!(out.is_empty());
}
