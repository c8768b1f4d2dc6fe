//! What tells two connections between the same two ends apart.
//!
//! The caller's opening number and this agent's answering number start two sequences, and every
//! later packet of the connection lies close to where both of them are. A packet that does not
//! belongs to another connection of the same flow, perhaps at another agent. The check is coarse
//! and only chooses the endpoint, which then checks every number exactly.

use crate::flow::Segment;
use crate::id::ServiceId;

use super::notice::LastNotice;

/// Distance within one connection between a packet's numbers and the latest seen, in bytes.
/// It is far above any window and far below the space of numbers.
const MAX_DISTANCE: u32 = 1 << 24;

/// One connection of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    /// The service that it was opened for.
    pub(super) service: ServiceId,
    /// The caller's opening sequence number.
    pub(super) caller_isn: u32,
    /// The endpoint's opening sequence number, none until it has answered.
    pub(super) isn: Option<u32>,
    /// Whether a request waits for the target's answer.
    pub(super) is_busy: bool,
    /// Last notice to a peer that the flow is here.
    pub(super) notice: LastNotice,
    /// Latest numbers seen from the caller.
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

    /// Whether the packet opens this connection, perhaps once more.
    pub(super) const fn is_opened_by(&self, segment: &Segment) -> bool {
        segment.is_initial_syn() && segment.seq == self.caller_isn
    }

    /// Whether the caller acknowledges the number that this agent's endpoint chose.
    pub(super) fn is_acknowledged_by(&self, segment: &Segment) -> bool {
        let acknowledges = segment.ack && !segment.syn;
        let expected = self.isn.map(|isn| isn.wrapping_add(1));
        acknowledges && expected == Some(segment.ack_seq) && is_near(segment.seq, self.seq)
    }

    /// Whether the caller gives up the handshake. Many callers acknowledge nothing with it.
    pub(super) fn is_given_up_by(&self, segment: &Segment) -> bool {
        let is_next = segment.seq == self.caller_isn.wrapping_add(1);
        segment.rst && is_next && (!segment.ack || self.is_acknowledged_by(segment))
    }

    /// Whether the packet can belong to this connection.
    pub(super) fn is_continued_by(&self, segment: &Segment) -> bool {
        let is_acknowledgement_near = !segment.ack || is_near(segment.ack_seq, self.ack_seq);
        is_near(segment.seq, self.seq) && is_acknowledgement_near
    }

    /// Remembers the numbers of a packet of this connection.
    pub(super) fn advance(&mut self, segment: &Segment) {
        if is_after(segment.seq, self.seq) {
            self.seq = segment.seq;
        }
        if segment.ack && is_after(segment.ack_seq, self.ack_seq) {
            self.ack_seq = segment.ack_seq;
        }
    }
}

fn is_near(a: u32, b: u32) -> bool {
    let distance = a.wrapping_sub(b).min(b.wrapping_sub(a));
    distance <= MAX_DISTANCE
}

/// Whether the number is later in a sequence that wraps around.
const fn is_after(number: u32, other: u32) -> bool {
    let ahead = number.wrapping_sub(other);
    ahead != 0 && ahead < 1 << 31
}
