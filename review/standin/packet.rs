//! Packets of the platform, as PROTOCOL.md lays them out.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const FIN: u8 = 1;
pub const SYN: u8 = 4;
pub const BOUNCED: u8 = 32;
pub const ACK: u8 = 64;
pub const RST: u8 = 128;

pub const HEAD: usize = 31;
const FLAGS_AT: usize = 4;
const SUM_AT: usize = 15;

/// Key of `sum`, which only clients and servers have.
const KEY: u64 = 0x7c3a_91e5_0b64_d21f;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn is(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    pub fn is_initial_syn(&self) -> bool {
        self.is(SYN) && !self.is(ACK)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![0; 4];
        buf.push(self.flags);
        buf.extend(self.seq.to_be_bytes());
        buf.extend(self.ack.to_be_bytes());
        let len = u16::try_from(self.data.len()).expect("data of one packet");
        buf.extend(len.to_be_bytes());
        buf.extend([0; 4]);
        buf.extend(self.dst.port().to_be_bytes());
        buf.extend(self.src.ip().octets());
        buf.extend(self.src.port().to_be_bytes());
        buf.extend(self.dst.ip().octets());
        buf.extend(&self.data);
        let sum = sum(&buf);
        buf[SUM_AT..SUM_AT + 4].copy_from_slice(&sum.to_be_bytes());
        buf
    }

    pub fn decode(buf: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_be_bytes(buf.get(at..at + 4)?.try_into().ok()?));
        let half = |at: usize| Some(u16::from_be_bytes(buf.get(at..at + 2)?.try_into().ok()?));
        Some(Self {
            flags: *buf.get(FLAGS_AT)?,
            seq: word(5)?,
            ack: word(9)?,
            src: SocketAddrV4::new(Ipv4Addr::from(word(21)?), half(25)?),
            dst: SocketAddrV4::new(Ipv4Addr::from(word(27)?), half(19)?),
            data: buf.get(HEAD..)?.to_vec(),
        })
    }
}

/// Whether one end of a flow wrote these bytes.
pub fn is_genuine(buf: &[u8]) -> bool {
    buf.len() >= HEAD && buf[SUM_AT..SUM_AT + 4] == sum(buf).to_be_bytes()
}

/// Whether these bytes are a reset of the system's own: no data and `sum` 0.
pub fn is_system_reset(buf: &[u8]) -> bool {
    buf.len() == HEAD && buf[FLAGS_AT] & RST != 0 && buf[SUM_AT..SUM_AT + 4] == [0; 4]
}

/// Copy with BOUNCED set.
pub fn bounced(buf: &[u8]) -> Vec<u8> {
    let mut buf = buf.to_vec();
    buf[FLAGS_AT] |= BOUNCED;
    buf
}

/// Keyed sum over all fields except `echo` and BOUNCED. Never 0.
fn sum(buf: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in buf.iter().enumerate().skip(FLAGS_AT) {
        let byte = match at {
            FLAGS_AT => byte & !BOUNCED,
            at if (SUM_AT..SUM_AT + 4).contains(&at) => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        hash ^= hash >> 29;
    }
    ((hash ^ (hash >> 32)) as u32).max(1)
}
