//! Datagram frames: authentic frames are read, all others are refused, and no input panics.

use bytes::{Bytes, BytesMut};
use citronhollow_peer::message::{Forward, Relay};
use citronhollow_peer::{Body, Codec, CodecError, Envelope, Key, Keyring, MAX_DATAGRAM};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Largest packet that must fit into a datagram, in bytes.
const PACKET_MAX: usize = 1_320;

/// Largest number of candidates that a forwarded packet may name.
const CANDIDATES_MAX: usize = 8;

fn key(id: u8) -> Key {
    Key {
        id,
        secret: format!("{id:02x}").repeat(32),
    }
}

fn codec(ids: &[u8]) -> Codec {
    let keys: Vec<Key> = ids.iter().copied().map(key).collect();
    Codec::new(Keyring::new(&keys).unwrap())
}

fn envelope(packet: &[u8]) -> Envelope {
    Envelope::from(Body::Forward(Forward {
        packet: Bytes::copy_from_slice(packet),
        revision: u64::MAX,
        candidates: vec![u64::MAX; CANDIDATES_MAX],
        hops: 3,
        trace: u64::MAX,
        relay: Relay::Pass.into(),
        sender: u64::MAX,
        offer: 0,
        group: 0,
        request_class: None,
        age_ms: 0,
    }))
}

fn sealed(codec: &Codec, packet: &[u8]) -> Vec<u8> {
    let mut frame = BytesMut::new();
    codec.seal(&envelope(packet), &mut frame);
    frame.to_vec()
}

macro_rules! key_changes {
    ($($name:ident: $signer:expr, $reader:expr => $is_read:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let frame = sealed(&codec(&$signer), b"card");
                assert_eq!(codec(&$reader).open(&frame).is_ok(), $is_read);
            }
        )*
    };
}

key_changes! {
    shared_key_is_accepted: [1], [1] => true;
    new_key_is_accepted_before_it_signs: [1], [1, 2] => true;
    old_key_is_accepted_after_the_new_one_signs: [1], [2, 1] => true;
    removed_key_is_refused: [1], [2] => false;
}

#[test]
fn largest_packet_fits_into_a_datagram() {
    let frame = sealed(&codec(&[1]), &[7; PACKET_MAX]);
    assert!(frame.len() <= MAX_DATAGRAM, "{} bytes", frame.len());
}

#[test]
fn unknown_version_is_refused() {
    let codec = codec(&[1]);
    let mut frame = sealed(&codec, b"card");
    frame[0] = 9;
    assert!(matches!(codec.open(&frame), Err(CodecError::Version(9))));
}

#[test]
fn short_frame_is_refused() {
    let codec = codec(&[1]);
    for len in 0..18 {
        assert!(matches!(
            codec.open(&vec![1; len]),
            Err(CodecError::Short(_))
        ));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn frame_round_trips(packet in proptest::collection::vec(any::<u8>(), 0..PACKET_MAX)) {
        let codec = codec(&[1, 2]);
        let frame = sealed(&codec, &packet);
        prop_assert_eq!(codec.open(&frame).unwrap(), envelope(&packet));
    }

    #[test]
    fn arbitrary_bytes_are_refused(frame in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(codec(&[1]).open(&frame).is_err());
    }

    #[test]
    fn any_changed_bit_is_refused_or_changes_payload_in_place(
        packet in proptest::collection::vec(any::<u8>(), 0..300),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let codec = codec(&[1]);
        let mut frame = sealed(&codec, &packet);
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        // The tail of the packet, right before the tag, is the only part not covered by the tag.
        let tail = packet.len().saturating_sub(120);
        let end = frame.len() - 16;
        if (end - tail..end).contains(&at) {
            let mut expected = packet;
            let in_packet = expected.len() - (end - at);
            expected[in_packet] ^= 1 << bit;
            prop_assert_eq!(codec.open(&frame).ok(), Some(envelope(&expected)));
        } else {
            prop_assert!(codec.open(&frame).is_err());
        }
    }

    #[test]
    fn any_cut_or_longer_frame_is_refused(
        packet in proptest::collection::vec(any::<u8>(), 0..300),
        len in any::<prop::sample::Index>(),
        more in proptest::collection::vec(any::<u8>(), 1..20),
    ) {
        let codec = codec(&[1]);
        let frame = sealed(&codec, &packet);
        prop_assert!(codec.open(&frame[..len.index(frame.len())]).is_err());
        prop_assert!(codec.open(&[frame, more].concat()).is_err());
    }

    /// Only a holder of a key can produce such a frame, but the bytes of another version must not
    /// cause a panic either.
    #[test]
    fn an_authentic_frame_with_any_envelope_never_panics(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut frame = vec![1, 1];
        frame.extend(&bytes);
        let secret = [1_u8; 32];
        let tag = blake3::keyed_hash(&secret, &frame);
        frame.extend(&tag.as_bytes()[..16]);
        let result = codec(&[1]).open(&frame);
        let is_authentic = !matches!(result, Err(CodecError::Tag(_)));
        prop_assert!(is_authentic);
    }
}
