//! Packets as PROTOCOL.md has them: a header of 31 bytes, big-endian, then up to 1,200 bytes.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const FIN: u8 = 1;
pub const SYN: u8 = 4;
pub const BOUNCED: u8 = 32;
pub const ACK: u8 = 64;
pub const RST: u8 = 128;

const HEAD: usize = 31;
/// Key of the sum, which only the two ends know.
const KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        let data = Vec::new();
        Self { flags, seq, ack, sum: 0, src, dst, data }
    }

    pub fn with(mut self, data: &[u8]) -> Self {
        self.data = data.to_vec();
        self
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    fn keyed_sum(&self) -> u32 {
        let mut sum = KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&[self.flags & !BOUNCED]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.src.ip().octets());
        add(&self.src.port().to_be_bytes());
        add(&self.dst.ip().octets());
        add(&self.dst.port().to_be_bytes());
        add(&self.data);
        sum | 1
    }

    /// The datagram of an end's own packet, with its sum.
    pub fn sealed(&self) -> Vec<u8> {
        let mut out = vec![0; 4];
        out.push(self.flags);
        out.extend_from_slice(&self.seq.to_be_bytes());
        out.extend_from_slice(&self.ack.to_be_bytes());
        out.extend_from_slice(&u16::try_from(self.data.len()).unwrap().to_be_bytes());
        out.extend_from_slice(&self.keyed_sum().to_be_bytes());
        out.extend_from_slice(&self.dst.port().to_be_bytes());
        out.extend_from_slice(&self.src.ip().octets());
        out.extend_from_slice(&self.src.port().to_be_bytes());
        out.extend_from_slice(&self.dst.ip().octets());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let head = bytes.get(..HEAD)?;
        let word = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(head[at..at + 2].try_into().unwrap());
        let addr = |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from(word(ip)), half(port));
        let data = bytes[HEAD..].to_vec();
        (usize::from(half(13)) == data.len()).then_some(Self {
            flags: head[4],
            seq: word(5),
            ack: word(9),
            sum: word(15),
            src: addr(21, 25),
            dst: addr(27, 19),
            data,
        })
    }

    /// Whether the other end wrote the packet so.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Whether it is a reset of the system's own.
    pub fn is_reset_of_the_system(&self) -> bool {
        self.flags == RST && self.sum == 0 && self.data.is_empty()
    }
}

/// The datagram as a server returns it: BOUNCED set, the rest as it arrived.
pub fn bounced(bytes: &[u8]) -> Vec<u8> {
    let mut out = bytes.to_vec();
    out[4] |= BOUNCED;
    out
}
