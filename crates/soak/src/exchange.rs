//! A caller's flow from its initial SYN to its end, without sockets.
//!
//! Retransmission follows the platform's documentation: a SYN is retransmitted after 200 and 600
//! ms; a request after 200 ms and then with an interval that doubles up to 1.6 s.

use bytes::Bytes;
use citronhollow_adapter::packet::{FromTarget, from_target};
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_standin::packet::{Writer, data, encode, is_balancer_reset, is_genuine};

use crate::target::{Request, answer};

/// Times after the initial SYN at which it is retransmitted.
const SYN_RETRANSMITS: [Millis; 2] = [Millis(200), Millis(600)];

/// Time after which a flow that was not established is abandoned.
const OPEN_TIMEOUT: Millis = Millis(1_400);

/// Initial and maximum retransmission interval of a request.
const RETRANSMIT_INITIAL: Millis = Millis(200);
const RETRANSMIT_MAX: Millis = Millis(1_600);

/// Time after which an unanswered request is abandoned.
pub const REQUEST_TIMEOUT: Millis = Millis(4_000);

/// Maximum distance between the last acknowledgement and the sequence number of a RST that a caller
/// accepts, in bytes.
const RESET_WINDOW: u32 = 76_800;

/// An event of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeEvent {
    /// The target's SYN-ACK arrived.
    Accepted,
    /// A request was answered.
    Answered(Request),
    /// The response does not belong to the request, or a packet was altered.
    Invalid,
    /// The load balancer or a target reset the flow. The value is whether the flow was established.
    Reset(bool),
    /// No SYN-ACK or response arrived in time.
    TimedOut,
    /// Every request was answered and the flow was closed.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    request: Request,
    since: Millis,
    next: Millis,
    wait: Millis,
}

/// One flow of a caller.
#[derive(Debug)]
pub struct Exchange {
    /// Addresses of caller and service.
    pub flow: FlowId,
    /// Time at which the SYN was first sent.
    pub opened: Millis,
    /// Number of SYN retransmissions.
    pub syn_retransmits: u32,
    is_open: bool,
    seq: u32,
    ack: u32,
    pending: Option<Pending>,
    /// Whether the flow is finished, so that no further packet is sent.
    pub is_over: bool,
}

impl Exchange {
    /// Creates a flow whose SYN is still to be sent.
    #[must_use]
    pub const fn new(now: Millis, flow: FlowId, isn: u32) -> Self {
        Self {
            flow,
            opened: now,
            syn_retransmits: 0,
            is_open: false,
            seq: isn,
            ack: 0,
            pending: None,
            is_over: false,
        }
    }

    /// Whether the flow is established and no request is pending.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.is_open && self.pending.is_none() && !self.is_over
    }

    /// Builds the SYN, which carries the number of retransmissions.
    #[must_use]
    pub fn syn_packet(&self) -> Bytes {
        let segment = Segment {
            syn: true,
            seq: self.seq,
            ack_seq: self.syn_retransmits,
            ..Segment::default()
        };
        encode(Writer::Caller, self.flow, &segment, b"")
    }

    /// Starts the next request and returns its packet.
    pub fn send_request(&mut self, now: Millis, request: Request) -> Bytes {
        self.pending = Some(Pending {
            request,
            since: now,
            next: now.after(RETRANSMIT_INITIAL),
            wait: RETRANSMIT_INITIAL,
        });
        self.request(request)
    }

    /// Closes the flow and returns its FIN.
    pub fn close(&mut self) -> Bytes {
        self.is_over = true;
        let segment = Segment {
            ack: true,
            fin: true,
            seq: self.seq,
            ack_seq: self.ack,
            ..Segment::default()
        };
        encode(Writer::Caller, self.flow, &segment, b"")
    }

    /// Returns a packet to retransmit, or a timeout of the flow.
    pub fn on_tick(&mut self, now: Millis) -> (Option<Bytes>, Option<ExchangeEvent>) {
        if self.is_over {
            return (None, None);
        }
        let age = now.since(self.opened);
        if !self.is_open {
            if age >= OPEN_TIMEOUT {
                self.is_over = true;
                return (None, Some(ExchangeEvent::TimedOut));
            }
            let syn_retransmits = self.syn_retransmits as usize;
            if SYN_RETRANSMITS
                .get(syn_retransmits)
                .is_some_and(|after| age >= *after)
            {
                self.syn_retransmits += 1;
                return (Some(self.syn_packet()), None);
            }
            return (None, None);
        }
        let Some(pending) = &mut self.pending else {
            return (None, None);
        };
        if now.since(pending.since) >= REQUEST_TIMEOUT {
            self.is_over = true;
            return (None, Some(ExchangeEvent::TimedOut));
        }
        if now < pending.next {
            return (None, None);
        }
        pending.wait = Millis(pending.wait.0 * 2).min(RETRANSMIT_MAX);
        pending.next = now.after(pending.wait);
        let request = pending.request;
        (Some(self.request(request)), None)
    }

    /// Handles a packet from the load balancer.
    pub fn on_packet(&mut self, bytes: &Bytes) -> Option<ExchangeEvent> {
        let Ok(FromTarget::ToCaller(packet)) = from_target(bytes.clone()) else {
            return Some(ExchangeEvent::Invalid);
        };
        if self.is_over {
            return None;
        }
        if is_balancer_reset(bytes) {
            if self.is_open && !self.is_in_window(packet.segment.seq) {
                return None;
            }
            self.is_over = true;
            return Some(ExchangeEvent::Reset(self.is_open));
        }
        if !is_genuine(bytes) {
            return Some(ExchangeEvent::Invalid);
        }
        let segment = packet.segment;
        if segment.rst && self.is_open && self.is_in_window(segment.seq) {
            self.is_over = true;
            return Some(ExchangeEvent::Reset(true));
        }
        if segment.syn {
            if self.is_open {
                return None;
            }
            self.is_open = true;
            self.seq = self.seq.wrapping_add(1);
            self.ack = segment.seq.wrapping_add(1);
            return Some(ExchangeEvent::Accepted);
        }
        if !self.is_open || segment.payload == 0 || segment.seq != self.ack {
            return None;
        }
        self.ack = self.ack.wrapping_add(segment.payload);
        let request = self.pending.take()?.request;
        self.seq = segment.ack_seq;
        if data(bytes) == answer(request.id) {
            Some(ExchangeEvent::Answered(request))
        } else {
            Some(ExchangeEvent::Invalid)
        }
    }

    /// Whether a RST with this sequence number is accepted on the open flow.
    fn is_in_window(&self, seq: u32) -> bool {
        let distance = seq.wrapping_sub(self.ack);
        distance.min(distance.wrapping_neg()) <= RESET_WINDOW
    }

    fn request(&self, request: Request) -> Bytes {
        let segment = Segment {
            ack: true,
            seq: self.seq,
            ack_seq: self.ack,
            ..Segment::default()
        };
        encode(Writer::Caller, self.flow, &segment, &request.to_bytes())
    }
}
