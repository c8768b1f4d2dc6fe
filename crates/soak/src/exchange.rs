//! A caller's flow from its opening packet to its end, without sockets.
//!
//! It repeats packets as the platform's pages say: opening packets after 200 and 600 ms, a request
//! after 200 ms and then after twice as long each time, up to 1.6 s.

use bytes::Bytes;
use citronhollow_adapter::packet::{FromTarget, from_target};
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_standin::packet::{Writer, data, encode, is_balancer_reset, is_genuine};

use crate::target::{Request, answer};

/// Times after the opening packet at which a copy of it is sent.
const SYN_RETRANSMITS: [Millis; 2] = [Millis(200), Millis(600)];

/// Time after which a flow that did not open is given up.
const OPEN_TIMEOUT: Millis = Millis(1_400);

/// First and longest time after which a request is sent again.
const RETRANSMIT_INITIAL: Millis = Millis(200);
const RETRANSMIT_MAX: Millis = Millis(1_600);

/// Time after which a request is given up.
pub const REQUEST_TIMEOUT: Millis = Millis(4_000);

/// Distance from the last acknowledgement within which a caller accepts a reset.
const RESET_WINDOW: u32 = 76_800;

/// What a flow has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeEvent {
    /// The target's answer to the opening packet has come.
    Accepted,
    /// A request was answered.
    Answered(Request),
    /// The answer to a request is not the one that belongs to it, or a packet was changed.
    Wrong,
    /// The load balancer has reset the flow, which was open if the value says so.
    Reset(bool),
    /// Nothing came in time.
    TimedOut,
    /// Every request was answered and the flow closed.
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
    /// Both ends.
    pub flow: FlowId,
    /// When the opening packet was sent for the first time.
    pub opened: Millis,
    /// Copies of it that were sent.
    pub syn_retransmits: u32,
    is_open: bool,
    seq: u32,
    ack: u32,
    pending: Option<Pending>,
    /// Whether no packet of this flow is to be sent any more.
    pub is_over: bool,
}

impl Exchange {
    /// A flow whose opening packet is the first to be sent.
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

    /// Whether it is open and waits for no answer.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.is_open && self.pending.is_none() && !self.is_over
    }

    /// The opening packet, with the count of its copies.
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

    /// Sends the next request.
    pub fn send_request(&mut self, now: Millis, request: Request) -> Bytes {
        self.pending = Some(Pending {
            request,
            since: now,
            next: now.after(RETRANSMIT_INITIAL),
            wait: RETRANSMIT_INITIAL,
        });
        self.request(request)
    }

    /// Closes the flow.
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

    /// What is to be sent again now, or that the flow is given up.
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

    /// A packet arrives.
    pub fn on_packet(&mut self, bytes: &Bytes) -> Option<ExchangeEvent> {
        let Ok(FromTarget::ToCaller(packet)) = from_target(bytes.clone()) else {
            return Some(ExchangeEvent::Wrong);
        };
        if self.is_over {
            return None;
        }
        if is_balancer_reset(bytes) {
            let distance = packet.segment.seq.wrapping_sub(self.ack);
            let is_in_window = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            if self.is_open && !is_in_window {
                return None;
            }
            self.is_over = true;
            return Some(ExchangeEvent::Reset(self.is_open));
        }
        if !is_genuine(bytes) {
            return Some(ExchangeEvent::Wrong);
        }
        let segment = packet.segment;
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
            Some(ExchangeEvent::Wrong)
        }
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
