//! Messages of the traffic path as the decisions know them, and back.

use bytes::Bytes;
use citronhollow_caller::packet::{self, PacketError};
use citronhollow_core::flow::FlowId;
use citronhollow_core::flows::{Arrival, Holding, LoadReport, Packet, Relay};
use citronhollow_core::id::TargetId;
use citronhollow_peer::message::{self, Forward, Load, Question, Reply};
use citronhollow_peer::{AddrError, addr_from_bytes, addr_to_bytes};
use thiserror::Error;

/// Targets of a chain that are kept, so that the largest packet and its chain fit into a datagram.
const CHAIN_MAX: usize = 8;

/// An authentic message that makes no sense.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum WireError {
    /// The packet in it is not taken.
    #[error("packet refused: {0}")]
    Packet(#[from] PacketError),
    /// An address in it is malformed.
    #[error("address malformed: {0}")]
    Addr(#[from] AddrError),
    /// A value of an enumeration is unknown.
    #[error("value {0} is unknown")]
    Value(i32),
}

/// The packet in a message.
pub(super) fn packet_from(forward: Forward) -> Result<Packet<Bytes>, WireError> {
    let parsed = packet::parse_verified(&forward.packet)?;
    let sender = TargetId(forward.sender);
    let arrival = match message::Relay::try_from(forward.relay) {
        Ok(message::Relay::Balancer) => Arrival::Balancer,
        Ok(message::Relay::Redirect) => Arrival::Redirected(sender),
        Ok(message::Relay::Pass) => Arrival::Passed(sender),
        Err(_) => return Err(WireError::Value(forward.relay)),
    };
    let chain = forward.candidates.into_iter().take(CHAIN_MAX);
    Ok(Packet {
        flow: parsed.flow,
        segment: parsed.segment,
        arrival,
        candidates: chain.map(TargetId).collect(),
        hops: forward.hops,
        trace: forward.trace,
        bytes: forward.packet,
    })
}

/// The message that carries a packet to a peer.
pub(super) fn forward(me: TargetId, relay: Relay, packet: Packet<Bytes>) -> Forward {
    let relay = match relay {
        Relay::Redirect => message::Relay::Redirect,
        Relay::Pass => message::Relay::Pass,
    };
    let chain = packet.candidates.into_iter().take(CHAIN_MAX);
    Forward {
        packet: packet.bytes,
        revision: 0,
        candidates: chain.map(|target| target.0).collect(),
        hops: packet.hops + 1,
        trace: packet.trace,
        relay: relay.into(),
        sender: me.0,
        request_class: None,
        age_ms: 0,
        offer: 0,
        group: 0,
    }
}

/// The message that asks for a flow.
pub(super) fn question(me: TargetId, flow: &FlowId) -> Question {
    Question {
        sender: me.0,
        caller: addr_to_bytes(flow.caller),
        service: addr_to_bytes(flow.service),
    }
}

/// The flow that is asked for.
pub(super) fn asked(question: &Question) -> Result<FlowId, WireError> {
    flow(&question.caller, &question.service)
}

/// The message that answers a question.
pub(super) fn reply(me: TargetId, flow: &FlowId, holding: Holding) -> Reply {
    let (holding, at) = match holding {
        Holding::No => (message::Holding::No, 0),
        Holding::Here => (message::Holding::Here, 0),
        Holding::At(target) => (message::Holding::At, target.0),
    };
    Reply {
        sender: me.0,
        caller: addr_to_bytes(flow.caller),
        service: addr_to_bytes(flow.service),
        holding: holding.into(),
        at,
    }
}

/// The flow that is answered for, and what is known of it.
pub(super) fn answered(reply: &Reply) -> Result<(FlowId, Holding), WireError> {
    let flow = flow(&reply.caller, &reply.service)?;
    let holding = match message::Holding::try_from(reply.holding) {
        Ok(message::Holding::No) => Holding::No,
        Ok(message::Holding::Here) => Holding::Here,
        Ok(message::Holding::At) => Holding::At(TargetId(reply.at)),
        Ok(message::Holding::Maybe | message::Holding::Waiting) | Err(_) => {
            return Err(WireError::Value(reply.holding));
        }
    };
    Ok((flow, holding))
}

/// The message that tells a load.
pub(super) const fn load(report: &LoadReport) -> Load {
    Load {
        sender: report.sender.0,
        incarnation: report.incarnation,
        sequence: report.sequence,
        open: report.open,
        busy: report.busy,
        queued: report.queued,
        milli_slots: report.milli_slots,
        takes_new: report.takes_new,
        milli_failures: report.milli_failures,
    }
}

/// The load in a message.
pub(super) const fn report(load: &Load) -> LoadReport {
    LoadReport {
        sender: TargetId(load.sender),
        incarnation: load.incarnation,
        sequence: load.sequence,
        open: load.open,
        busy: load.busy,
        queued: load.queued,
        milli_slots: load.milli_slots,
        takes_new: load.takes_new,
        milli_failures: load.milli_failures,
    }
}

fn flow(caller: &[u8], service: &[u8]) -> Result<FlowId, WireError> {
    Ok(FlowId {
        caller: addr_from_bytes(caller)?,
        service: addr_from_bytes(service)?,
    })
}
