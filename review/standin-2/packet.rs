//! Packets as PROTOCOL.md describes them: a head of 31 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const FIN: u8 = 1;
pub const SYN: u8 = 4;
pub const BOUNCED: u8 = 32;
pub const ACK: u8 = 64;
pub const RST: u8 = 128;

const HEAD: usize = 31;
const KEY: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
    pub sum: u32,
    /// Whether the keyed sum is right, so that an end of the flow wrote the packet so.
    pub is_genuine: bool,
}

/// Encodes a packet of an end of a flow, with its keyed sum.
pub fn encode(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let mut b = Vec::with_capacity(HEAD + data.len());
    b.extend_from_slice(&[0; 4]);
    b.push(flags);
    b.extend_from_slice(&seq.to_be_bytes());
    b.extend_from_slice(&ack.to_be_bytes());
    b.extend_from_slice(&(data.len() as u16).to_be_bytes());
    b.extend_from_slice(&[0; 4]);
    b.extend_from_slice(&dst.port().to_be_bytes());
    b.extend_from_slice(&src.ip().octets());
    b.extend_from_slice(&src.port().to_be_bytes());
    b.extend_from_slice(&dst.ip().octets());
    b.extend_from_slice(data);
    let sum = sum(&b);
    b[15..19].copy_from_slice(&sum.to_be_bytes());
    b
}

/// Keyed sum over all fields except `echo`, `BOUNCED` and the sum itself. It is never zero.
fn sum(b: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in b.iter().enumerate().skip(4) {
        let byte = match at {
            4 => byte & !BOUNCED,
            15..=18 => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        hash ^= hash >> 29;
    }
    ((hash >> 16) as u32).max(1)
}

pub fn parse(b: &[u8]) -> Option<Packet> {
    if b.len() < HEAD {
        return None;
    }
    let u32_at = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
    let u16_at = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
    if usize::from(u16_at(13)) != b.len() - HEAD {
        return None;
    }
    Some(Packet {
        flags: b[4],
        seq: u32_at(5),
        ack: u32_at(9),
        src: SocketAddrV4::new(Ipv4Addr::from(u32_at(21)), u16_at(25)),
        dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(27)), u16_at(19)),
        data: b[HEAD..].to_vec(),
        sum: u32_at(15),
        is_genuine: u32_at(15) == sum(b),
    })
}

/// The same bytes with BOUNCED set.
pub fn bounced(b: &[u8]) -> Vec<u8> {
    let mut b = b.to_vec();
    b[4] |= BOUNCED;
    b
}
