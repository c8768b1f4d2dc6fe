//! What becomes of one packet, without a socket.

use std::net::SocketAddr;

use bytes::BytesMut;
use citronhollow_caller::packet::{self, Parsed};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::FlowId;
use citronhollow_core::routes::{Choice, Routes, candidate_ids};
use citronhollow_operator::trace::{Hop, HopSpan};
use citronhollow_peer::message::{Forward, Relay};
use citronhollow_peer::{Codec, Keyring, MAX_DATAGRAM};

use super::Figure;

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
    /// Send the packet back to the fabric.
    Answer {
        /// An IP packet for the caller.
        packet: Vec<u8>,
    },
    /// Only count it.
    Drop(Figure),
}

impl Verdict<'_> {
    /// What is counted.
    #[must_use]
    pub const fn figure(&self) -> Figure {
        match self {
            Self::Forward { hinted: true, .. } => Figure::ByHint,
            Self::Forward { hinted: false, .. } => Figure::ByTable,
            Self::Answer { .. } => Figure::RefusedNoTarget,
            Self::Drop(figure) => *figure,
        }
    }
}

/// Turns packets into frames. Its buffers are kept from packet to packet.
#[derive(Debug)]
pub struct Forwarder {
    codec: Codec,
    trace_one_in: u64,
    frame: BytesMut,
    forward: Forward,
}

impl Forwarder {
    /// A forwarder that seals with `keys` and traces one flow in `trace_one_in`, zero for none.
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

    /// Decides about a packet.
    pub fn forward(&mut self, routes: &Routes, packet: &[u8]) -> Verdict<'_> {
        let Ok(parsed) = packet::parse(packet) else {
            return Verdict::Drop(Figure::Malformed);
        };
        match routes.choose(&parsed.flow, &parsed.segment) {
            Ok(choice) => self.seal(routes, &choice, &parsed, packet),
            Err(ErrorKind::UnknownService) => Verdict::Drop(Figure::UnknownService),
            Err(_) if parsed.segment.is_initial_syn() => refuse(&parsed),
            // The flow may live on at an agent that this balancer has not heard of.
            Err(_) => Verdict::Drop(Figure::NoTarget),
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
        let chain = candidate_ids(routes, choice).map(|id| id.0);
        self.forward.candidates.extend(chain);
        self.frame.clear();
        self.codec
            .seal_forward(&self.forward, packet, &mut self.frame);
        if self.frame.len() > MAX_DATAGRAM {
            return Verdict::Drop(Figure::TooLong);
        }
        Verdict::Forward {
            frame: &self.frame,
            to: target.agent,
            hinted: choice.hinted,
        }
    }

    /// The trace identity comes from the flow, so that every balancer samples the same flows.
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
    packet::reset(parsed).map_or(Verdict::Drop(Figure::Malformed), |packet| Verdict::Answer {
        packet,
    })
}
