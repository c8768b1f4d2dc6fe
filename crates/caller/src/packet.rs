//! Parsing of callers' IP packets, and the replies that are built without a TCP endpoint.
//!
//! Only complete TCP segments between unicast addresses are accepted. A fragment may lack the
//! ports that routing needs, and a length field that disagrees with the datagram means that the
//! packet was truncated or padded on the way, so both are rejected before any routing decision.

use std::net::{IpAddr, SocketAddr};

use citronhollow_core::flow::{FlowId, Segment};
use etherparse::err::ip::SliceError;
use etherparse::{
    IpHeaders, IpNumber, IpSlice, PacketBuilder, PacketBuilderStep, TcpHeader, TcpOptionElement,
    TcpSlice,
};
use thiserror::Error;

/// Largest packet to a caller, in bytes. Leaves space in an Ethernet frame for the encapsulation,
/// UDP and IP headers.
pub const MTU: usize = 1_320;

/// Hop limit of packets built here.
const HOP_LIMIT: u8 = 64;

/// Reason why a packet is rejected before any routing decision.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PacketError {
    /// Shorter than its header fields state.
    #[error("the packet is truncated")]
    Truncated,
    /// Longer than its header fields state, or an impossible length.
    #[error("the packet's lengths disagree")]
    Length,
    /// Neither IPv4 nor IPv6, or a malformed header.
    #[error("the IP header is malformed")]
    Ip,
    /// A fragment.
    #[error("the packet is a fragment")]
    Fragment,
    /// Not TCP.
    #[error("IP protocol {0} is not TCP")]
    Protocol(u8),
    /// A malformed TCP header.
    #[error("the TCP header is malformed")]
    Tcp,
    /// Source or destination is not a unicast address with a nonzero port.
    #[error("an address is not unicast")]
    Address,
    /// A checksum does not match.
    #[error("a checksum is wrong")]
    Checksum,
}

/// A parsed packet from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parsed {
    /// Flow of the packet.
    pub flow: FlowId,
    /// Fields of the TCP header.
    pub segment: Segment,
}

/// Parses a packet without verifying its checksums.
///
/// # Errors
///
/// [`PacketError`] if it is not one complete TCP segment between unicast addresses.
pub fn parse(packet: &[u8]) -> Result<Parsed, PacketError> {
    let ip = parse_ip(packet)?;
    let tcp = parse_tcp(&ip)?;
    describe(&ip, &tcp)
}

/// Parses a packet and verifies its checksums.
///
/// # Errors
///
/// [`PacketError`] if it is not one complete, intact TCP segment between unicast addresses.
pub fn parse_verified(packet: &[u8]) -> Result<Parsed, PacketError> {
    let ip = parse_ip(packet)?;
    let tcp = parse_tcp(&ip)?;
    if !is_intact(&ip, &tcp) {
        return Err(PacketError::Checksum);
    }
    describe(&ip, &tcp)
}

/// Unscaled window advertised by a packet, or `None` if it does not parse.
pub(crate) fn window(packet: &[u8]) -> Option<u16> {
    let ip = parse_ip(packet).ok()?;
    let tcp = parse_tcp(&ip).ok()?;
    Some(tcp.window_size())
}

/// Builds the RST that answers a segment, or `None` if the segment is an RST itself.
#[must_use]
pub fn reset(parsed: &Parsed) -> Option<Vec<u8>> {
    let Parsed { flow, segment } = parsed;
    if segment.rst {
        return None;
    }
    let builder = reply_builder(flow)?;
    // The caller accepts an RST only at the sequence number it expects next. That is the segment's
    // acknowledgement number; without one, the RST has to acknowledge the whole segment.
    let seq = if segment.ack { segment.ack_seq } else { 0 };
    let builder = builder
        .tcp(flow.service.port(), flow.caller.port(), seq, 0)
        .rst();
    let builder = if segment.ack {
        builder
    } else {
        builder.ack(next_seq(segment))
    };
    finish(builder)
}

/// Builds the acknowledgement of a segment of a flow that was closed in order. Returns `None` for
/// an RST or a segment without an acknowledgement.
#[must_use]
pub fn acknowledgement(parsed: &Parsed) -> Option<Vec<u8>> {
    let Parsed { flow, segment } = parsed;
    if segment.rst || !segment.ack {
        return None;
    }
    let builder = reply_builder(flow)?
        .tcp(flow.service.port(), flow.caller.port(), segment.ack_seq, 0)
        .ack(next_seq(segment));
    finish(builder)
}

fn reply_builder(flow: &FlowId) -> Option<PacketBuilderStep<IpHeaders>> {
    match (flow.service.ip(), flow.caller.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Some(PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Some(PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT))
        }
        _ => None,
    }
}

fn finish(builder: PacketBuilderStep<TcpHeader>) -> Option<Vec<u8>> {
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf)
}

/// Sequence number after the segment.
fn next_seq(segment: &Segment) -> u32 {
    segment
        .seq
        .wrapping_add(segment.payload)
        .wrapping_add(u32::from(segment.syn))
        .wrapping_add(u32::from(segment.fin))
}

fn parse_ip(packet: &[u8]) -> Result<IpSlice<'_>, PacketError> {
    let ip = IpSlice::from_slice(packet).map_err(|err| match err {
        SliceError::Len(_) => PacketError::Truncated,
        SliceError::IpHeaders(_) => PacketError::Ip,
    })?;
    let len = match &ip {
        IpSlice::Ipv4(v4) => usize::from(v4.header().total_len()),
        IpSlice::Ipv6(v6) => {
            usize::from(v6.header().payload_length()) + etherparse::Ipv6Header::LEN
        }
    };
    if len != packet.len() {
        return Err(PacketError::Length);
    }
    if ip.is_fragmenting_payload() {
        return Err(PacketError::Fragment);
    }
    Ok(ip)
}

fn parse_tcp<'a>(ip: &IpSlice<'a>) -> Result<TcpSlice<'a>, PacketError> {
    let payload = ip.payload();
    if payload.ip_number != IpNumber::TCP {
        return Err(PacketError::Protocol(payload.ip_number.0));
    }
    TcpSlice::from_slice(payload.payload).map_err(|_| PacketError::Tcp)
}

fn is_intact(ip: &IpSlice<'_>, tcp: &TcpSlice<'_>) -> bool {
    let (expected, is_header_intact) = match ip {
        IpSlice::Ipv4(v4) => {
            let header = v4.header();
            let expected = tcp.calc_checksum_ipv4(header.source(), header.destination());
            let is_header_intact = is_ipv4_header_intact(header.slice());
            (expected, is_header_intact)
        }
        IpSlice::Ipv6(v6) => {
            let header = v6.header();
            let expected = tcp.calc_checksum_ipv6(header.source(), header.destination());
            (expected, true)
        }
    };
    is_header_intact && expected.is_ok_and(|sum| sum == tcp.checksum())
}

/// Whether the header's one's complement sum, checksum included, is all ones.
fn is_ipv4_header_intact(header: &[u8]) -> bool {
    let words = header.as_chunks::<2>().0;
    let sum: u32 = words
        .iter()
        .map(|word| u32::from(u16::from_be_bytes(*word)))
        .sum();
    let folded = (sum & 0xffff) + (sum >> 16);
    folded == 0xffff
}

fn describe(ip: &IpSlice<'_>, tcp: &TcpSlice<'_>) -> Result<Parsed, PacketError> {
    let flow = FlowId {
        caller: SocketAddr::new(ip.source_addr(), tcp.source_port()),
        service: SocketAddr::new(ip.destination_addr(), tcp.destination_port()),
    };
    if !is_unicast(flow.caller) || !is_unicast(flow.service) {
        return Err(PacketError::Address);
    }
    let payload = u32::try_from(tcp.payload().len()).map_err(|_| PacketError::Length)?;
    let segment = Segment {
        syn: tcp.syn(),
        ack: tcp.ack(),
        rst: tcp.rst(),
        fin: tcp.fin(),
        seq: tcp.sequence_number(),
        ack_seq: tcp.acknowledgment_number(),
        payload,
        echo: echo(tcp),
    };
    Ok(Parsed { flow, segment })
}

/// Echoed timestamp value, or zero if there is none.
fn echo(tcp: &TcpSlice<'_>) -> u32 {
    if !tcp.ack() {
        return 0;
    }
    tcp.options_iterator()
        .find_map(|option| match option {
            Ok(TcpOptionElement::Timestamp(_, echo)) => Some(echo),
            _ => None,
        })
        .unwrap_or(0)
}

fn is_unicast(addr: SocketAddr) -> bool {
    let is_unicast = match addr.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    is_unicast && addr.port() != 0
}
