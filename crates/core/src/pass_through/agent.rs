//! The agent's decisions: what becomes of a packet beside the target.
//!
//! The target decides for itself which flows it has. The agent watches, and answers balancers from
//! what it saw. An agent that was started after its target has not seen everything, so it lets the
//! target see one packet of a flow that it does not know: the target either returns it, which
//! proves that it does not hold the flow, or keeps it.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::FlowId;
use crate::id::{DomainId, GroupId, InstanceId, TargetId};
use crate::members::TargetState;
use crate::recent::Recent;

mod admission;
mod demand;
mod health;
mod list;
mod overload;
mod target;
mod unknown;

use admission::{Opening, Waiting};
use demand::Demand;
use health::Health;
pub use list::{FlowList, ListedFlow};
use overload::Crowding;
use unknown::ABSENT_LIFE;

use super::conn::{Conn, Stage};
use super::packet::{DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset};

/// Time in which the target answers an opening packet. A target that does not is not offered more.
const ANSWER_WITHIN: Millis = Millis(150);

/// Time for which a flow that ended at both ends is remembered, for repeated packets of the end.
const ENDED_LIFE: Millis = Millis::from_secs(5);

/// Services whose callers' expectations are remembered.
const CLASSES_MAX: usize = 4_096;

/// Bounds of one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLimits {
    /// Flows that are remembered. The one idle for longest goes first.
    pub flows: usize,
    /// Time after which an idle flow is forgotten.
    pub flow_life: Millis,
    /// Time between two heartbeats of the target.
    pub heartbeat: Millis,
}

/// What an agent does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentAction<B> {
    /// Send the packet to the target.
    Deliver {
        /// The packet.
        bytes: B,
    },
    /// Send the target's packet to the caller.
    ToCaller {
        /// The flow of the packet.
        flow: FlowId,
        /// The packet.
        bytes: B,
    },
    /// Give the caller's packet back to a balancer.
    Reject {
        /// The balancer.
        to: SocketAddr,
        /// Why, and when there is room again.
        rejected: Rejected,
        /// The packet.
        bytes: B,
    },
    /// Report to a balancer what is known of a flow.
    Reply {
        /// The balancer.
        to: SocketAddr,
        /// The flow.
        flow: FlowId,
        /// What is known.
        holding: Holding,
    },
    /// Reset the caller: its target has lost the flow.
    Reset(Reset),
    /// Nothing.
    Drop {
        /// The flow of the packet.
        flow: FlowId,
        /// Why.
        reason: DropReason,
    },
}

/// A packet that the target was shown though its flow is unknown.
#[derive(Clone, Copy, Debug)]
struct Trial {
    balancer: SocketAddr,
    since: Millis,
}

/// What the target sent since the agent was started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Life {
    /// Nothing.
    Unseen,
    /// Something.
    Seen,
    /// Something, but it left an opening packet without an answer since.
    Mute,
}

/// Identity of an agent and its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// The target.
    pub target: TargetId,
    /// The label that pools select by.
    pub group: GroupId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address at which the agent takes packets.
    pub agent: SocketAddr,
    /// Start of the agent, a number that no other start has.
    pub incarnation: u64,
}

/// What the target says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Who says it.
    pub instance: InstanceId,
    /// Start of the target, as the time of day in ms.
    pub born: u64,
    /// Grows with every heartbeat of one start, from zero or one.
    pub sequence: u64,
    /// What it can take.
    pub state: TargetState,
    /// Requests that it can work on at once.
    pub slots: u16,
    /// How much longer it stays slow after its start.
    pub cold_left: Millis,
    /// Time since its start.
    pub age: Millis,
}

/// The agent's table. `B` is a packet's bytes, opaque here.
#[derive(Debug)]
pub struct Agent<B> {
    place: Place,
    limits: AgentLimits,
    started: Millis,
    conns: Recent<FlowId, Conn>,
    /// Flows that both ends closed, for repeated packets of the end.
    ended: Recent<FlowId, ()>,
    /// Opening packets that the target has not answered, to be offered elsewhere.
    offers: HashMap<FlowId, B>,
    /// Flows that were offered a moment ago, whose first request may still come.
    offered: Vec<(Millis, FlowId)>,
    /// Opening packets and requests for which the target has no room.
    waiting: Vec<Waiting<B>>,
    /// Requests let in from the wait since one of a less urgent class, while some of these waited.
    urgent_run: u32,
    /// Since when flows have found no free slot in the pool.
    crowding: Option<Crowding>,
    demand: Demand,
    /// What callers of the services expect, as balancers said with the last opening packet.
    classes: Recent<SocketAddr, RequestClass>,
    trials: HashMap<FlowId, Trial>,
    /// Flows that the target returned, with the time of it.
    absent: Recent<FlowId, Millis>,
    last_heartbeat: Option<(Millis, Heartbeat)>,
    /// The list that an earlier agent of the target left, until the target's start is known.
    inherited: Option<FlowList>,
    /// Since when the target's heartbeats could have been heard: the start, or the end of a pause.
    listening_since: Millis,
    /// When the target sent a packet last.
    last_packet: Millis,
    /// When the target last sent or returned a packet or a heartbeat, none if it never did.
    last_sign: Option<Millis>,
    /// When the target said goodbye, until its flows are reset.
    goodbye: Option<Millis>,
    /// When the table was entered last, by a packet, a message or a tick.
    entered: Millis,
    /// The target was started while this agent watched, so that no flow of it is unknown here.
    saw_start: bool,
    life: Life,
    is_stopping: bool,
    sequence: u64,
    busy: u32,
    /// Mean time of a request at the target without its wait there, in microseconds, zero if none has
    /// been measured.
    work_micros: u64,
    mean_busy_milli: u64,
    measured: Millis,
    health: Health,
}

impl<B: Clone> Agent<B> {
    /// An agent that knows nothing of its target yet.
    #[must_use]
    pub fn new(now: Millis, place: Place, limits: AgentLimits) -> Self {
        Self {
            place,
            limits,
            started: now,
            conns: Recent::new(limits.flows),
            ended: Recent::new(limits.flows),
            offers: HashMap::new(),
            offered: Vec::new(),
            waiting: Vec::new(),
            urgent_run: 0,
            crowding: None,
            demand: Demand::default(),
            classes: Recent::new(CLASSES_MAX),
            trials: HashMap::new(),
            absent: Recent::new(limits.flows),
            last_heartbeat: None,
            inherited: None,
            listening_since: now,
            last_packet: now,
            last_sign: None,
            goodbye: None,
            entered: now,
            saw_start: false,
            life: Life::Unseen,
            is_stopping: false,
            sequence: 0,
            busy: 0,
            work_micros: 0,
            mean_busy_milli: 0,
            measured: now,
            health: Health::default(),
        }
    }

    /// A balancer says what the callers of a service expect.
    pub fn set_class(&mut self, now: Millis, service: SocketAddr, class: RequestClass) {
        self.classes.insert(now, service, class);
    }

    /// Decides about a caller's packet that a balancer sent.
    pub fn on_packet(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        group: GroupId,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.notice_pause(now);
        let known = self.conns.get(&packet.flow).copied();
        if packet.segment.is_initial_syn() {
            let is_repeated = known.is_some_and(|conn| conn.caller_isn == Some(packet.segment.seq));
            if is_repeated {
                let bytes = packet.bytes;
                out.push(AgentAction::Deliver { bytes });
            } else {
                self.on_opening(now, balancer, offer, group, packet, out);
            }
            return;
        }
        match known {
            Some(conn) if !conn.is_foreign(&packet.segment) => {
                self.schedule(now, &conn, balancer, packet, out);
            }
            Some(_) => reject(balancer, RejectReason::NotHeld, packet.bytes, out),
            None if self.ended.contains(&packet.flow) => {
                let bytes = packet.bytes;
                out.push(AgentAction::Deliver { bytes });
            }
            None => self.on_unknown(now, balancer, offer, packet, out),
        }
    }

    /// Decides about a packet that the target sent to a caller.
    pub fn on_target_packet(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.notice_pause(now);
        let Packet {
            flow,
            segment,
            bytes,
            ..
        } = packet;
        self.life = Life::Seen;
        self.last_packet = now;
        self.last_sign = Some(now);
        if let Some(trial) = self.trials.remove(&flow) {
            let (to, holding) = (trial.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
        }
        self.offers.remove(&flow);
        if segment.rst {
            if self.conns.get(&flow).is_some_and(|conn| conn.is_busy) {
                self.health.on_end(now, false);
            }
            self.forget(now, &flow);
        } else if !self.ended.contains(&flow) {
            // An answer that came after its opening packet was given back opens nothing by itself.
            let stage = if segment.syn {
                Stage::Answered
            } else {
                Stage::Open
            };
            self.watch(now, flow, stage, |conn| conn.on_target(&segment));
        }
        out.push(AgentAction::ToCaller { flow, bytes });
        self.admit_waiting(now, out);
    }

    /// Decides about a caller's packet that the target returned.
    pub fn on_returned(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<AgentAction<B>>) {
        self.notice_pause(now);
        self.life = Life::Seen;
        self.last_sign = Some(now);
        if packet.segment.is_initial_syn() {
            self.on_returned_opening(now, packet, out);
        } else {
            self.on_returned_ongoing(now, packet, out);
        }
    }

    /// A balancer asks for a flow.
    pub fn on_question(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        flow: FlowId,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.notice_pause(now);
        let holding = if self.conns.contains(&flow) || self.ended.contains(&flow) {
            Holding::Here
        } else if self.is_absent(now, &flow) {
            Holding::No
        } else {
            Holding::Maybe
        };
        out.push(AgentAction::Reply {
            to: balancer,
            flow,
            holding,
        });
    }

    /// The agent is going to be stopped.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Does what is due. Returns whether balancers must be notified at once. To be called at least
    /// every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) -> bool {
        let before = self.state(now);
        self.measure(now);
        self.notice_pause(now);
        if self.goodbye.is_some() && self.is_gone(now) {
            self.goodbye = None;
            self.reset_flows(now, now, out);
        } else if self.is_gone(now) {
            self.reset_silent_flows(now, out);
        }
        let conns = &self.conns;
        let began = |flow: &FlowId| conns.get(flow)?.request.map(|(since, _)| since);
        self.health.on_tick(now, began);
        self.end_trials(now, out);
        self.withdraw_offers(now, out);
        self.end_waits(now, out);
        self.admit_waiting(now, out);
        while let Some((_, conn)) = self.conns.pop_unused(now, self.limits.flow_life) {
            self.on_gone(now, &conn);
        }
        while self.ended.pop_unused(now, ENDED_LIFE).is_some() {}
        while self.absent.pop_unused(now, ABSENT_LIFE).is_some() {}
        self.state(now) != before
    }

    fn on_opening(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        group: GroupId,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        if group != self.place.group {
            reject(balancer, RejectReason::WrongGroup, packet.bytes, out);
        } else if self.takes_new_flows(now) && !self.is_stopping {
            let opening = Opening { balancer, packet };
            self.admit(now, offer, opening, out);
        } else {
            reject(balancer, RejectReason::NotReady, packet.bytes, out);
        }
    }

    fn deliver(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let segment = packet.segment;
        if segment.rst {
            self.forget(now, &packet.flow);
        } else {
            self.watch(now, packet.flow, Stage::Open, |conn| {
                conn.on_caller(balancer, &segment);
            });
        }
        let bytes = packet.bytes;
        out.push(AgentAction::Deliver { bytes });
    }

    fn on_returned_opening(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let conn = self.conns.get(&packet.flow).copied();
        // A copy of an opening packet that the target took is of no use to anybody else.
        let Some(conn) = conn.filter(|conn| conn.stage == Stage::Offered) else {
            drop_ended(packet.flow, out);
            return;
        };
        self.forget(now, &packet.flow);
        if let Some(balancer) = conn.balancer {
            reject(balancer, RejectReason::Returned, packet.bytes, out);
        }
    }

    /// Gives opening packets back that the target neither answered nor returned.
    fn withdraw_offers(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let conns = &self.conns;
        let is_over = |flow: &FlowId| {
            let conn = conns.get(flow);
            conn.is_none_or(|conn| now.since(conn.since) >= ANSWER_WITHIN)
        };
        let ended: Vec<_> = self.offers.extract_if(|flow, _| is_over(flow)).collect();
        for (flow, bytes) in ended {
            let Some(conn) = self.conns.get(&flow).copied() else {
                continue;
            };
            if self.life == Life::Seen {
                self.life = Life::Mute;
            }
            self.forget(now, &flow);
            if let Some(balancer) = conn.balancer {
                reject(balancer, RejectReason::Returned, bytes, out);
            }
        }
    }

    /// Applies a packet to its flow, which is made known at `stage` if it was not.
    fn watch(&mut self, now: Millis, flow: FlowId, stage: Stage, apply: impl FnOnce(&mut Conn)) {
        self.measure(now);
        if !self.conns.contains(&flow) {
            let conn = Conn::new(now, stage, None);
            if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
                self.on_gone(now, &evicted);
            }
        }
        let Some(conn) = self.conns.get_mut(&flow) else {
            return;
        };
        let was_busy = conn.is_busy;
        apply(conn);
        let (is_busy, has_ended) = (conn.is_busy, conn.has_ended());
        let mut answered = None;
        if is_busy && !was_busy {
            conn.request = Some((now, self.busy));
            let expected = self.expected_work(self.busy);
            self.health.on_request(now, flow, expected);
        } else if was_busy && !is_busy {
            answered = conn.request.take();
        }
        self.busy = self.busy + u32::from(is_busy) - u32::from(was_busy);
        if let Some((since, ahead)) = answered {
            self.learn_work(flow.service, now.since(since), ahead);
            self.health.on_end(now, true);
        }
        if has_ended {
            self.forget(now, &flow);
            self.ended.insert(now, flow, ());
        } else {
            self.conns.touch(now, &flow);
        }
    }

    fn forget(&mut self, now: Millis, flow: &FlowId) {
        self.ended.remove(flow);
        self.offers.remove(flow);
        self.waiting.retain(|waiting| !waiting.is_of(flow));
        if let Some(conn) = self.conns.remove(flow) {
            self.on_gone(now, &conn);
        }
    }

    fn on_gone(&mut self, now: Millis, conn: &Conn) {
        self.measure(now);
        self.busy -= u32::from(conn.is_busy);
    }
}

fn reject<B>(to: SocketAddr, reason: RejectReason, bytes: B, out: &mut Vec<AgentAction<B>>) {
    let rejected = Rejected::from(reason);
    out.push(AgentAction::Reject {
        to,
        rejected,
        bytes,
    });
}

fn drop_ended<B>(flow: FlowId, out: &mut Vec<AgentAction<B>>) {
    drop_for(flow, DropReason::Ended, out);
}

fn drop_for<B>(flow: FlowId, reason: DropReason, out: &mut Vec<AgentAction<B>>) {
    out.push(AgentAction::Drop { flow, reason });
}
