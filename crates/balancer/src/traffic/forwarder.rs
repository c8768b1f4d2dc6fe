//! The forwarding decision for one packet, without a socket.

use std::net::SocketAddr;

use bytes::BytesMut;
use citronhollow_caller::packet::{self, Parsed};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::FlowId;
use citronhollow_core::routes::{Choice, Routes, candidate_ids};
use citronhollow_operator::trace::{Hop, HopSpan};
use citronhollow_peer::message::{Forward, Relay};
use citronhollow_peer::{Codec, Keyring, MAX_DATAGRAM};

use super::Event;

/// What to do with a packet.
#[derive(Debug)]
pub enum Verdict<'a> {
    /// Send the frame to an agent.
    Forward {
        /// The sealed envelope.
        frame: &'a [u8],
        /// The agent's address.
        to: SocketAddr,
        /// Whether the caller's hint named the agent.
        hinted: bool,
    },
    /// Send a packet back to the fabric.
    Answer {
        /// An IP packet for the caller.
        packet: Vec<u8>,
    },
    /// Drop the packet and count the event.
    Drop(Event),
}

impl Verdict<'_> {
    /// The event to count.
    #[must_use]
    pub const fn event(&self) -> Event {
        match self {
            Self::Forward { hinted: true, .. } => Event::ByHint,
            Self::Forward { hinted: false, .. } => Event::ByTable,
            Self::Answer { .. } => Event::RefusedNoTarget,
            Self::Drop(event) => *event,
        }
    }
}

/// Turns packets into frames. It reuses its buffers between packets.
#[derive(Debug)]
pub struct Forwarder {
    codec: Codec,
    trace_one_in: u64,
    frame: BytesMut,
    forward: Forward,
}

impl Forwarder {
    /// Creates a forwarder that seals with `keys` and traces one in `trace_one_in` flows, or none
    /// if it is zero.
    #[must_use]
    pub fn new(keys: Keyring, trace_one_in: u32) -> Self {
        Self {
            codec: Codec::new(keys),
            trace_one_in: u64::from(trace_one_in),
            frame: BytesMut::with_capacity(MAX_DATAGRAM),
            forward: Forward {
                relay: Relay::Balancer as i32,
                ..Forward::default()
            },
        }
    }

    /// Decides what to do with a packet.
    pub fn forward(&mut self, routes: &Routes, packet: &[u8]) -> Verdict<'_> {
        let Ok(parsed) = packet::parse(packet) else {
            return Verdict::Drop(Event::Malformed);
        };
        match routes.choose(&parsed.flow, &parsed.segment) {
            Ok(choice) => self.seal(routes, &choice, &parsed, packet),
            Err(ErrorKind::UnknownService) => Verdict::Drop(Event::UnknownService),
            Err(_) if parsed.segment.is_initial_syn() => refuse(&parsed),
            // No RST: the flow may exist at an agent that this balancer does not know yet.
            Err(_) => Verdict::Drop(Event::NoTarget),
        }
    }

    fn seal(
        &mut self,
        routes: &Routes,
        choice: &Choice,
        parsed: &Parsed,
        packet: &[u8],
    ) -> Verdict<'_> {
        let trace = self.trace_of(&parsed.flow);
        let target = routes.target(choice.target);
        if parsed.segment.is_initial_syn() {
            let span = HopSpan::begin(Hop::Balancer, trace);
            span.service(parsed.flow.service);
            span.peer(target.id);
            span.outcome("forwarded");
        }
        self.forward.revision = routes.revision();
        self.forward.trace = trace;
        self.forward.candidates.clear();
        let candidates = candidate_ids(routes, choice).map(|id| id.0);
        self.forward.candidates.extend(candidates);
        self.frame.clear();
        self.codec
            .seal_forward(&self.forward, packet, &mut self.frame);
        if self.frame.len() > MAX_DATAGRAM {
            return Verdict::Drop(Event::TooLong);
        }
        Verdict::Forward {
            frame: &self.frame,
            to: target.agent,
            hinted: choice.hinted,
        }
    }

    /// The trace identity of a flow, zero if it is not traced. It is derived from the flow, so that
    /// every balancer samples the same flows.
    fn trace_of(&self, flow: &FlowId) -> u64 {
        if self.trace_one_in == 0 {
            return 0;
        }
        let hash = flow.hash();
        if hash.is_multiple_of(self.trace_one_in) {
            hash
        } else {
            0
        }
    }
}

fn refuse(parsed: &Parsed) -> Verdict<'static> {
    packet::reset(parsed).map_or(Verdict::Drop(Event::Malformed), |packet| Verdict::Answer {
        packet,
    })
}
