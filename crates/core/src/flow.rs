//! Identity of a flow, and the TCP header fields of its packets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;

/// The two endpoints of a caller's TCP connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service that the caller connects to.
    pub service: SocketAddr,
}

impl FlowId {
    /// Returns a hash of the five-tuple, the same in every process.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let service = hash::socket_addr(self.service, 0);
        hash::socket_addr(self.caller, service)
    }
}

/// TCP header fields that decisions depend on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "these are the bits of the TCP header"
)]
pub struct Segment {
    /// SYN flag: opens a connection.
    pub syn: bool,
    /// ACK flag: the acknowledgement number is valid.
    pub ack: bool,
    /// RST flag: aborts the connection.
    pub rst: bool,
    /// FIN flag: the sender has no more data.
    pub fin: bool,
    /// Sequence number of the first payload byte.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack_seq: u32,
    /// Payload length, in bytes.
    pub payload: u32,
    /// Echoed timestamp value, zero if none. An agent sends a hint derived from its identity as
    /// the timestamp, so the echo identifies the agent that holds the flow.
    pub echo: u32,
}

impl Segment {
    /// Returns whether the segment is the initial SYN of a new connection.
    #[must_use]
    pub const fn is_initial_syn(&self) -> bool {
        self.syn && !self.ack && !self.rst
    }

    /// Returns whether the segment carries data or a FIN, which an endpoint sends only on a
    /// connection that is open.
    #[must_use]
    pub const fn carries_data_or_fin(&self) -> bool {
        !self.syn && !self.rst && (self.payload > 0 || self.fin)
    }
}
