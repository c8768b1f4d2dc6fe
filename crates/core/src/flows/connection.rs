//! Distinguishes connections between the same two addresses.
//!
//! The caller's and the endpoint's initial sequence numbers start two sequences, and every later
//! packet of the connection has numbers close to the current position of both. A packet with other
//! numbers belongs to another connection of the same flow, perhaps at another agent. The check is
//! coarse and only selects the endpoint, which then checks every number exactly.

use crate::flow::Segment;
use crate::id::ServiceId;

use super::notice::LastNotice;

/// Maximum distance between a packet's numbers and the latest ones seen, in bytes. Far larger than
/// any window and far smaller than the sequence space.
const MAX_DISTANCE: u32 = 1 << 24;

/// One connection of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    /// The service for which it was opened.
    pub(super) service: ServiceId,
    /// The caller's initial sequence number.
    pub(super) caller_isn: u32,
    /// The endpoint's initial sequence number, `None` until it has answered.
    pub(super) isn: Option<u32>,
    /// Whether a request waits for the target's answer.
    pub(super) is_busy: bool,
    /// Last notice to a peer that the flow is here.
    pub(super) notice: LastNotice,
    /// Latest sequence and acknowledgement numbers seen from the caller.
    seq: u32,
    ack_seq: u32,
}

impl Connection {
    pub(super) fn new(service: ServiceId, caller_isn: u32) -> Self {
        Self {
            service,
            caller_isn,
            isn: None,
            is_busy: false,
            notice: LastNotice::default(),
            seq: caller_isn.wrapping_add(1),
            ack_seq: 0,
        }
    }

    pub(super) fn set_isn(&mut self, isn: u32) {
        self.isn = Some(isn);
        self.ack_seq = isn.wrapping_add(1);
    }

    /// Whether the packet is this connection's SYN or a retransmission of it.
    pub(super) const fn is_opened_by(&self, segment: &Segment) -> bool {
        segment.is_initial_syn() && segment.seq == self.caller_isn
    }

    /// Whether the caller acknowledges the initial sequence number of this agent's endpoint.
    pub(super) fn is_acknowledged_by(&self, segment: &Segment) -> bool {
        let acknowledges = segment.ack && !segment.syn;
        let expected = self.isn.map(|isn| isn.wrapping_add(1));
        acknowledges && expected == Some(segment.ack_seq) && is_close(segment.seq, self.seq)
    }

    /// Whether the caller aborts the handshake. Many callers send this RST without an
    /// acknowledgement number.
    pub(super) fn is_aborted_by(&self, segment: &Segment) -> bool {
        let is_next = segment.seq == self.caller_isn.wrapping_add(1);
        segment.rst && is_next && (!segment.ack || self.is_acknowledged_by(segment))
    }

    /// Whether the packet can belong to this connection.
    pub(super) fn is_continued_by(&self, segment: &Segment) -> bool {
        let is_ack_close = !segment.ack || is_close(segment.ack_seq, self.ack_seq);
        is_close(segment.seq, self.seq) && is_ack_close
    }

    /// Records the sequence numbers of a packet of this connection.
    pub(super) fn advance(&mut self, segment: &Segment) {
        if is_after(segment.seq, self.seq) {
            self.seq = segment.seq;
        }
        if segment.ack && is_after(segment.ack_seq, self.ack_seq) {
            self.ack_seq = segment.ack_seq;
        }
    }
}

fn is_close(a: u32, b: u32) -> bool {
    let distance = a.wrapping_sub(b).min(b.wrapping_sub(a));
    distance <= MAX_DISTANCE
}

/// Whether `number` comes after `other` in the wrapping sequence space.
const fn is_after(number: u32, other: u32) -> bool {
    let ahead = number.wrapping_sub(other);
    ahead != 0 && ahead < 1 << 31
}
