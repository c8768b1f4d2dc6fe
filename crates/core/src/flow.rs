//! What identifies a flow, and what a packet of it says.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;

/// The two ends of a caller's TCP connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowId {
    /// The caller's end.
    pub caller: SocketAddr,
    /// The service's address that the caller uses.
    pub service: SocketAddr,
}

impl FlowId {
    /// Hash of the five-tuple, alike in every process.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let service = hash::socket_addr(self.service, 0);
        hash::socket_addr(self.caller, service)
    }
}

/// TCP header fields that decisions look at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "these are the bits of the TCP header"
)]
pub struct Segment {
    /// Opens a connection.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// Ends the connection at once.
    pub rst: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack_seq: u32,
    /// Payload, in bytes.
    pub payload: u32,
    /// Echoed timestamp value: the hint of the agent that holds the flow, zero if none.
    pub echo: u32,
}

impl Segment {
    /// Whether the segment asks for a new connection.
    #[must_use]
    pub const fn is_initial_syn(&self) -> bool {
        self.syn && !self.ack && !self.rst
    }
}
