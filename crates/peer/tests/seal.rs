//! Frames that are encoded without a copy of the packet equal those of the plain encoding, and only
//! the tail of the packet is left unauthenticated.

use bytes::{Bytes, BytesMut};
use citronhollow_peer::message::{Body, Envelope, Forward, Relay};
use citronhollow_peer::{Codec, CodecError, Key, Keyring};

fn codec() -> Codec {
    let key = Key {
        id: 1,
        secret: "5a".repeat(32),
    };
    Codec::new(Keyring::new(&[key]).expect("a key of the right length"))
}

fn forward(packet: &[u8]) -> Forward {
    Forward {
        revision: 7,
        candidates: vec![1, 2],
        hops: 1,
        trace: 9,
        relay: Relay::Pass as i32,
        sender: 3,
        offer: 0,
        group: 0,
        request_class: None,
        age_ms: 0,
        packet: Bytes::copy_from_slice(packet),
    }
}

fn sealed(packet: &[u8]) -> BytesMut {
    let mut frame = BytesMut::new();
    let body = Body::Forward(forward(packet));
    codec().seal(&Envelope::from(body), &mut frame);
    frame
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    both_encodings_give_the_same_bytes => {
        for len in [0, 1, 40, 119, 120, 121, 127, 128, 1_300] {
            let packet = vec![0x5a; len];
            let mut frame = BytesMut::new();
            let without = Forward { packet: Bytes::new(), ..forward(&packet) };
            codec().seal_forward(&without, &packet, &mut frame);
            if len > 0 {
                assert_eq!(frame, sealed(&packet), "packet of {len} bytes");
            }
            let body = codec().open(&frame).expect("an authentic frame").body;
            assert_eq!(body, Some(Body::Forward(forward(&packet))));
        }
    };

    modified_byte_before_the_tail_is_refused => {
        let packet = [0x5a; 400];
        let frame = sealed(&packet);
        let tail = packet.len() - 120;
        let covered = frame.len() - 16 - tail;
        for at in (0..covered).chain(frame.len() - 16..frame.len()) {
            let mut altered = frame.clone();
            altered[at] ^= 1;
            assert!(codec().open(&altered).is_err(), "byte {at}");
        }
    };

    modified_tail_changes_only_payload_in_place => {
        let packet = [0x5a; 400];
        let mut frame = sealed(&packet);
        let at = frame.len() - 17;
        frame[at] ^= 1;
        let Some(Body::Forward(opened)) = codec().open(&frame).expect("a covered frame").body else {
            panic!("another message");
        };
        assert_eq!(opened.candidates, [1, 2]);
        assert_eq!(opened.packet.len(), packet.len());
        assert_eq!(opened.packet[..399], packet[..399]);
    };

    appended_fields_are_refused => {
        let mut frame = sealed(&[0x5a; 400]);
        let tag = frame.split_off(frame.len() - 16);
        // Protobuf merges repeated messages: a second forward message would override the fields of
        // the first one.
        frame.extend_from_slice(&[0x0a, 0x02, 0x20, 0x07]);
        frame.extend_from_slice(&tag);
        assert!(matches!(codec().open(&frame), Err(CodecError::Length(_))));
    };
}
