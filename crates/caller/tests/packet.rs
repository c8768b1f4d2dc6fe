//! Parsing of callers' packets, and the resets and acknowledgements that answer them.
//!
//! Guards against malformed packets that panic the parser or pass as intact, and against replies
//! with sequence numbers that the caller would ignore.

use citronhollow_caller::packet::{PacketError, acknowledgement, parse, parse_verified, reset};
use etherparse::{PacketBuilder, TcpOptionElement};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALLER: [u8; 4] = [198, 51, 100, 7];
const SERVICE: [u8; 4] = [192, 0, 2, 10];

/// Bytes of an IPv4 header without options.
const IPV4_LEN: usize = 20;

fn v4(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(CALLER, SERVICE, 64)
        .tcp(40_000, 80, 1_000, 512)
        .ack(2_000)
        .options(&[TcpOptionElement::Timestamp(5, 77)])
        .unwrap();
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).unwrap();
    packet
}

fn v6(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv6([0x20; 16], [0x21; 16], 64)
        .tcp(40_000, 80, 1_000, 512)
        .syn();
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).unwrap();
    packet
}

fn udp() -> Vec<u8> {
    let builder = PacketBuilder::ipv4(CALLER, SERVICE, 64).udp(40_000, 80);
    let mut packet = Vec::new();
    builder.write(&mut packet, b"board").unwrap();
    packet
}

fn changed(mut packet: Vec<u8>, at: usize, value: u8) -> Vec<u8> {
    packet[at] = value;
    packet
}

fn cut(mut packet: Vec<u8>, len: usize) -> Vec<u8> {
    packet.truncate(len);
    packet
}

fn padded(mut packet: Vec<u8>) -> Vec<u8> {
    packet.push(0);
    packet
}

macro_rules! refuses {
    ($($name:ident: $packet:expr => $error:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(parse_verified(&$packet), Err($error));
            }
        )*
    };
}

refuses! {
    refuses_an_empty_packet: [] => PacketError::Truncated;
    refuses_a_cut_header: cut(v4(b""), IPV4_LEN - 1) => PacketError::Truncated;
    refuses_a_cut_payload: cut(v4(b"card"), 50) => PacketError::Truncated;
    refuses_padding: padded(v4(b"card")) => PacketError::Length;
    refuses_padding_of_version_6: padded(v6(b"card")) => PacketError::Length;
    refuses_another_version: changed(v4(b""), 0, 0x55) => PacketError::Ip;
    refuses_a_first_fragment: changed(v4(b""), 6, 0x20) => PacketError::Fragment;
    refuses_a_later_fragment: changed(v4(b""), 7, 0x08) => PacketError::Fragment;
    refuses_udp: udp() => PacketError::Protocol(17);
    refuses_a_short_tcp_header: changed(v4(b""), IPV4_LEN + 12, 0x40) => PacketError::Tcp;
    refuses_a_long_tcp_header: changed(v4(b""), IPV4_LEN + 12, 0xf0) => PacketError::Tcp;
    refuses_a_changed_payload: changed(v4(b"card"), 52, b'C') => PacketError::Checksum;
    refuses_a_changed_hop_limit: changed(v4(b"card"), 8, 63) => PacketError::Checksum;
    refuses_a_changed_payload_of_version_6: changed(v6(b"card"), 60, b'C') => PacketError::Checksum;
}

macro_rules! refuses_addresses {
    ($($name:ident: $at:expr, $octet:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut packet = v4(b"");
                packet[$at..$at + 4].fill($octet);
                assert_eq!(parse(&packet), Err(PacketError::Address));
            }
        )*
    };
}

refuses_addresses! {
    refuses_an_unspecified_caller: 12, 0;
    refuses_a_multicast_caller: 12, 224;
    refuses_a_broadcast_service: 16, 255;
}

#[test]
fn reads_version_4() {
    let parsed = parse_verified(&v4(b"card")).unwrap();
    assert_eq!(parsed.flow.caller, "198.51.100.7:40000".parse().unwrap());
    assert_eq!(parsed.flow.service, "192.0.2.10:80".parse().unwrap());
    let segment = parsed.segment;
    assert!(segment.ack && !segment.syn && !segment.rst && !segment.fin);
    assert_eq!((segment.seq, segment.ack_seq), (1_000, 2_000));
    assert_eq!((segment.payload, segment.echo), (4, 77));
}

#[test]
fn reads_version_6() {
    let parsed = parse_verified(&v6(b"card")).unwrap();
    assert!(parsed.flow.caller.is_ipv6());
    assert!(parsed.segment.is_initial_syn());
    assert_eq!((parsed.segment.payload, parsed.segment.echo), (4, 0));
}

#[test]
fn a_reset_has_the_sequence_number_the_caller_expects() {
    let parsed = parse(&v4(b"card")).unwrap();
    let reset = parse_verified(&reset(&parsed).unwrap()).unwrap();
    assert_eq!(reset.flow.caller, parsed.flow.service);
    assert_eq!(reset.flow.service, parsed.flow.caller);
    assert!(reset.segment.rst && !reset.segment.ack);
    assert_eq!(reset.segment.seq, 2_000);
}

#[test]
fn a_reset_of_an_initial_syn_acknowledges_it() {
    let parsed = parse(&v6(b"card")).unwrap();
    let reset = parse_verified(&reset(&parsed).unwrap()).unwrap();
    assert!(reset.segment.rst && reset.segment.ack);
    assert_eq!((reset.segment.seq, reset.segment.ack_seq), (0, 1_005));
}

#[test]
fn a_reset_is_not_answered() {
    let mut parsed = parse(&v4(b"")).unwrap();
    parsed.segment.rst = true;
    assert_eq!(reset(&parsed), None);
    assert_eq!(acknowledgement(&parsed), None);
}

#[test]
fn a_repeated_end_is_acknowledged() {
    let mut parsed = parse(&v4(b"card")).unwrap();
    parsed.segment.fin = true;
    let answer = parse_verified(&acknowledgement(&parsed).unwrap()).unwrap();
    assert!(answer.segment.ack && !answer.segment.rst);
    assert_eq!((answer.segment.seq, answer.segment.ack_seq), (2_000, 1_005));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(
        version in prop_oneof![Just(0x45_u8), Just(0x60), any::<u8>()],
        rest in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let packet: Vec<u8> = std::iter::once(version).chain(rest).collect();
        let _ = parse(&packet);
        let _ = parse_verified(&packet);
    }

    #[test]
    fn mutated_packets_never_panic(
        is_v6: bool,
        payload in proptest::collection::vec(any::<u8>(), 0..100),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
        len in any::<prop::sample::Index>(),
        is_cut: bool,
    ) {
        let mut packet = if is_v6 { v6(&payload) } else { v4(&payload) };
        for (at, value) in changes {
            let at = at.index(packet.len());
            packet[at] = value;
        }
        if is_cut {
            packet.truncate(len.index(packet.len()));
        }
        if let Ok(parsed) = parse(&packet) {
            let _ = reset(&parsed);
            let _ = acknowledgement(&parsed);
        }
    }

    #[test]
    fn one_changed_bit_is_noticed(
        payload in proptest::collection::vec(any::<u8>(), 0..100),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let mut packet = v4(&payload);
        let at = at.index(packet.len());
        packet[at] ^= 1 << bit;
        prop_assert!(parse_verified(&packet).is_err());
    }
}
