//! The agent's decisions about flows.
//!
//! The truth about a flow is beside the target that serves it, so the agent and not the balancer
//! decides what becomes of a packet. It owns the flows it opened, remembers which flows it handed
//! to a peer, and searches for the holder of a flow it does not know before it resets it.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::config::Revision;
use crate::error::ErrorKind;
use crate::flow::FlowId;
use crate::id::{GroupId, TargetId};
use crate::members::{TargetRecord, TargetState};

mod limits;
mod load;
mod packet;

pub use limits::FlowLimits;
pub use load::LoadReport;
pub use packet::{Action, Arrival, CloseReason, DropReason, Holding, Packet, Relay};

/// Life of a flow that this agent opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    HalfOpen,
    Established,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Flows opened here.
    pub opened: u64,
    /// Packets given to endpoints.
    pub delivered: u64,
}

/// The agent's table of flows. `B` is a packet's bytes, opaque here.
#[derive(Debug)]
pub struct Flows<B> {
    me: TargetId,
    group: Option<GroupId>,
    limits: FlowLimits,
    state: TargetState,
    slots: u16,
    incarnation: u64,
    sequence: u64,
    held: HashMap<FlowId, Stage>,
    counters: Counters,
    packets: std::marker::PhantomData<B>,
}

impl<B> Flows<B> {
    /// A table without flows for the agent of target `me`. The seed makes its random choices.
    #[must_use]
    pub fn new(me: TargetId, limits: FlowLimits, _seed: u64) -> Self {
        Self {
            me,
            group: None,
            limits,
            state: TargetState::Starting,
            slots: 1,
            incarnation: 0,
            sequence: 0,
            held: HashMap::new(),
            counters: Counters::default(),
            packets: std::marker::PhantomData,
        }
    }

    /// Decides about a packet.
    pub fn on_packet(&mut self, _now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if self.held.contains_key(&packet.flow) {
            self.counters.delivered += 1;
            out.push(Action::Deliver { packet });
            return;
        }
        if packet.segment.opens() {
            self.counters.opened += 1;
            self.held.insert(packet.flow, Stage::HalfOpen);
            out.push(Action::Open { packet });
            return;
        }
        let me = self.me;
        let next = packet.chain.iter().copied().find(|other| *other != me);
        if let Some(to) = next {
            let mut packet = packet;
            packet.chain.retain(|other| *other != to && *other != me);
            out.push(Action::Send {
                to,
                relay: Relay::Pass,
                packet,
            });
            return;
        }
        out.push(Action::Refuse {
            packet,
            kind: ErrorKind::UnknownFlow,
            retry_after: Millis::ZERO,
        });
    }

    /// The endpoint answers the opening packet with this sequence number.
    pub fn on_isn(&mut self, _flow: &FlowId, _isn: u32) {}

    /// The endpoint finished the handshake.
    pub fn on_established(&mut self, _now: Millis, flow: &FlowId) {
        if let Some(stage) = self.held.get_mut(flow) {
            *stage = Stage::Established;
        }
    }

    /// The target refused or did not answer the connection for the flow, which is closed by that.
    pub fn on_connect_failed(&mut self, now: Millis, flow: &FlowId) {
        self.on_closed(now, flow);
    }

    /// Whether a request of the flow waits for the target's answer.
    pub fn on_busy(&mut self, _flow: &FlowId, _busy: bool) {}

    /// The endpoint is gone.
    pub fn on_closed(&mut self, _now: Millis, flow: &FlowId) {
        self.held.remove(flow);
    }

    /// A peer asks for a flow.
    pub fn on_question(
        &mut self,
        _now: Millis,
        from: TargetId,
        flow: FlowId,
        out: &mut Vec<Action<B>>,
    ) {
        let holding = match self.held.get(&flow) {
            Some(Stage::Established) => Holding::Here,
            _ => Holding::No,
        };
        out.push(Action::Reply {
            to: from,
            flow,
            holding,
        });
    }

    /// A peer says what it knows of a flow.
    pub fn on_reply(
        &mut self,
        _now: Millis,
        _from: TargetId,
        _flow: FlowId,
        _holding: Holding,
        _out: &mut Vec<Action<B>>,
    ) {
    }

    /// A peer tells its load.
    pub fn on_load(&mut self, _now: Millis, _report: LoadReport) {}

    /// The targets of the pools that this target belongs to, as the balancers tell them.
    ///
    /// To be called after every answer of a balancer, also if nothing changed: a list that was
    /// not confirmed for long resets no flow. This target's own record may be among them.
    pub fn set_peers(&mut self, _now: Millis, peers: &[TargetRecord]) {
        if let Some(own) = peers.iter().find(|peer| peer.id == self.me) {
            self.group = Some(own.group);
        }
    }

    /// The group that this target announced. Without it no service is served.
    pub fn set_group(&mut self, group: GroupId) {
        self.group = Some(group);
    }

    /// Which start of the agent this is, for its load reports.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// The configuration in force. A lower number than the last one is ignored.
    pub fn set_services(&mut self, _revision: &Revision) {}

    /// What this target can take.
    pub fn set_state(&mut self, _now: Millis, state: TargetState) {
        self.state = state;
    }

    /// Requests that this target can work on at once.
    pub fn set_slots(&mut self, _now: Millis, slots: u16) {
        self.slots = slots;
    }

    /// Does what is due. To be called at least every 50 ms.
    pub fn on_tick(&mut self, _now: Millis, _out: &mut Vec<Action<B>>) {}

    /// This target's load, to be sent to the peers.
    pub fn load_report(&mut self, _now: Millis) -> LoadReport {
        self.sequence += 1;
        LoadReport {
            sender: self.me,
            incarnation: self.incarnation,
            sequence: self.sequence,
            open: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            milli_slots: u32::from(self.slots) * 1_000,
            takes_new: self.state.takes_new() && self.held.len() < self.limits.flows,
            ..LoadReport::default()
        }
    }

    /// Flows held here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Sums since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }
}
