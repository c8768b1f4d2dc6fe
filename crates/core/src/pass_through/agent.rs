//! Decisions of an agent about the packets of its target.
//!
//! The target itself accepts and keeps its flows. The agent observes the packets of both directions
//! and answers balancers from what it observed. An agent that started after its target has not
//! observed every flow. It therefore delivers a packet of an unknown flow to the target as a probe:
//! the target either returns the packet, which proves that it does not hold the flow, or keeps it.
//!
//! A flow may have been accepted by several targets, because a balancer offers a copy of its SYN to
//! another one. The caller acknowledges the answer of one of them, and only that target holds the
//! flow. The others give it up some seconds later.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::{FlowId, Segment};
use crate::id::{DomainId, GroupId, InstanceId, TargetId};
use crate::lru_map::LruMap;
use crate::members::TargetState;

mod admission;
mod demand;
mod health;
mod list;
mod overload;
mod starts;
mod target;
mod unknown;

use admission::{NewFlow, Waiting};
use demand::Demand;
use health::Health;
pub use list::{FlowList, ListedFlow};
use overload::Saturation;
use starts::Starts;
use target::LeaveNotice;
use unknown::{Activity, NOT_HELD_TTL, Probe};

use super::conn::{Conn, Stage};
use super::packet::{DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset};

/// Timeout for the target's answer to a SYN. A target that exceeds it is offered no new flows.
const SYN_ANSWER_TIMEOUT: Millis = Millis(150);

/// How long a flow closed by both ends is remembered, so that retransmissions of the close are
/// still delivered.
const ENDED_TTL: Millis = Millis::from_secs(5);

/// Maximum number of services whose request class is remembered.
const REQUEST_CLASSES_MAX: usize = 4_096;

/// Limits of one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLimits {
    /// Maximum number of remembered flows. The least recently used one is evicted first.
    pub flows: usize,
    /// Idle timeout of a flow.
    pub flow_timeout: Millis,
    /// Interval between two heartbeats of the target.
    pub heartbeat: Millis,
}

/// Action that the caller of [`Agent`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentAction<B> {
    /// Send the packet to the target.
    Deliver {
        /// Packet bytes.
        bytes: B,
    },
    /// Send the target's packet to the caller.
    ToCaller {
        /// Flow of the packet.
        flow: FlowId,
        /// Packet bytes.
        bytes: B,
    },
    /// Return the caller's packet to a balancer.
    Reject {
        /// Balancer that sent the packet.
        to: SocketAddr,
        /// Reason, and when to retry.
        rejected: Rejected,
        /// Packet bytes.
        bytes: B,
    },
    /// Tell a balancer whether the target holds a flow.
    Reply {
        /// Balancer that asked, or that last sent a packet of the flow.
        to: SocketAddr,
        /// Flow in question.
        flow: FlowId,
        /// Whether the target holds the flow.
        holding: Holding,
    },
    /// Tell a balancer that its packet reached the target that holds the flow.
    Confirm {
        /// Balancer that sent the packet.
        to: SocketAddr,
        /// Flow of the packet.
        flow: FlowId,
    },
    /// Reset the caller, because the target has lost the flow.
    Reset(Reset),
    /// Drop the packet.
    Drop {
        /// Flow of the packet.
        flow: FlowId,
        /// Reason.
        reason: DropReason,
    },
}

/// Liveness of the target as observed since the agent started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Liveness {
    /// Nothing received from the target yet.
    Unknown,
    /// The target has sent something.
    Responsive,
    /// The target has sent something, but then left a SYN unanswered.
    Unresponsive,
}

/// Identity of an agent and its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentIdentity {
    /// Target of the agent.
    pub target: TargetId,
    /// Group label, by which pools select targets.
    pub group: GroupId,
    /// Failure domain of the agent and its target.
    pub domain: DomainId,
    /// Address at which the agent receives packets.
    pub agent: SocketAddr,
    /// Unique number of this start of the agent.
    pub incarnation: u64,
}

/// Heartbeat of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Instance that sent the heartbeat.
    pub instance: InstanceId,
    /// Start of the target, in ms since the Unix epoch. It identifies the start and does not order
    /// it, since the wall clock may jump.
    pub started_at: u64,
    /// Sequence number, which grows with every heartbeat of one start, from zero or one.
    pub sequence: u64,
    /// State reported by the target.
    pub state: TargetState,
    /// Number of requests that the target processes concurrently.
    pub slots: u16,
    /// Remaining time of the slow phase after a cold start.
    pub cold_left: Millis,
}

impl Heartbeat {
    /// Whether both heartbeats are of the same start of the target.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        (self.instance, self.started_at) == (other.instance, other.started_at)
    }
}

/// Flow table and decisions of one agent. `B` is the type of a packet's bytes, which stay opaque
/// here.
#[derive(Debug)]
pub struct Agent<B> {
    identity: AgentIdentity,
    limits: AgentLimits,
    started: Millis,
    conns: LruMap<FlowId, Conn>,
    /// Flows closed by both ends, kept so that retransmissions of the close are still delivered.
    ended: LruMap<FlowId, ()>,
    /// SYNs that the target has not answered, kept to be rejected so that another target gets them.
    unanswered_syns: HashMap<FlowId, B>,
    /// Flows offered recently, whose first request may still arrive.
    recent_offers: Vec<(Millis, FlowId)>,
    /// SYNs and requests queued because the target has no capacity.
    waiting: Vec<Waiting<B>>,
    /// Number of requests released from the queue since the last one of lower priority, counted
    /// while requests of lower priority were queued.
    urgent_run: u32,
    /// Period during which flows have found no free slot in the pool.
    saturation: Option<Saturation>,
    demand: Demand,
    /// Request classes by service, as sent by balancers with the latest SYN.
    request_classes: LruMap<SocketAddr, RequestClass>,
    probes: HashMap<FlowId, Probe<B>>,
    /// Flows that the target returned, with the time of the return.
    not_held: LruMap<FlowId, Millis>,
    /// Last heartbeat of the target's current start.
    last_heartbeat: Option<(Millis, Heartbeat)>,
    starts: Starts,
    /// Flow list of an earlier agent of the target, without the flows that are tracked. Kept until a
    /// start of the target is proved to run.
    inherited: Option<FlowList>,
    /// Start of the period in which heartbeats could be received: the agent's start or the end of a
    /// pause.
    listening_since: Millis,
    /// Time of the target's last packet.
    last_packet: Millis,
    /// What the target has sent since the last tick that shows which of its starts runs.
    activity: Option<Activity>,
    /// Leave notice of the target, until its flows are reset.
    leave_notice: Option<LeaveNotice>,
    /// Time of the last packet, message or tick that was processed.
    last_entry: Millis,
    /// The target started while this agent was running, so the agent has observed all of its flows.
    observed_start: bool,
    liveness: Liveness,
    is_stopping: bool,
    sequence: u64,
    busy: u32,
    /// Mean time of a request at the target without its queueing time there, in microseconds, zero
    /// if not measured yet.
    work_micros: u64,
    mean_busy_milli: u64,
    measured: Millis,
    health: Health,
}

impl<B: Clone> Agent<B> {
    /// Creates an agent without any information about its target.
    #[must_use]
    pub fn new(now: Millis, identity: AgentIdentity, limits: AgentLimits) -> Self {
        Self {
            identity,
            limits,
            started: now,
            conns: LruMap::new(limits.flows),
            ended: LruMap::new(limits.flows),
            unanswered_syns: HashMap::new(),
            recent_offers: Vec::new(),
            waiting: Vec::new(),
            urgent_run: 0,
            saturation: None,
            demand: Demand::default(),
            request_classes: LruMap::new(REQUEST_CLASSES_MAX),
            probes: HashMap::new(),
            not_held: LruMap::new(limits.flows),
            last_heartbeat: None,
            starts: Starts::new(now),
            inherited: None,
            listening_since: now,
            last_packet: now,
            activity: None,
            leave_notice: None,
            last_entry: now,
            observed_start: false,
            liveness: Liveness::Unknown,
            is_stopping: false,
            sequence: 0,
            busy: 0,
            work_micros: 0,
            mean_busy_milli: 0,
            measured: now,
            health: Health::default(),
        }
    }

    /// Sets the request class of a service, as sent by a balancer.
    pub fn set_request_class(&mut self, now: Millis, service: SocketAddr, class: RequestClass) {
        self.request_classes.insert(now, service, class);
    }

    /// Decides about a caller's packet that a balancer forwarded.
    pub fn on_packet(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        group: GroupId,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.detect_pause(now);
        let known = self.conns.get(&packet.flow).copied();
        if packet.segment.is_initial_syn() {
            let is_repeated = known.is_some_and(|conn| conn.caller_isn == Some(packet.segment.seq));
            if is_repeated {
                let bytes = packet.bytes;
                out.push(AgentAction::Deliver { bytes });
            } else {
                self.on_syn(now, balancer, offer, group, packet, out);
            }
            return;
        }
        match known {
            Some(conn) if !conn.acks_other_target(&packet.segment) => {
                let flow = packet.flow;
                self.schedule(now, &conn, balancer, packet, out);
                let was_confirmed = conn.is_held() && conn.balancer == Some(balancer);
                if !was_confirmed || offer == Offer::Probe {
                    self.confirm_holding(balancer, flow, out);
                }
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
        self.detect_pause(now);
        let Packet {
            flow,
            segment,
            bytes,
            ..
        } = packet;
        self.liveness = Liveness::Responsive;
        self.last_packet = now;
        if segment.rst {
            self.on_target_rst(now, flow, bytes, out);
        } else {
            self.on_target_segment(now, flow, &segment, out);
            out.push(AgentAction::ToCaller { flow, bytes });
        }
        self.admit_waiting(now, out);
    }

    fn on_target_segment(
        &mut self,
        now: Millis,
        flow: FlowId,
        segment: &Segment,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.unanswered_syns.remove(&flow);
        let is_held = self.shows_holding(&flow, segment);
        if is_held && let Some(probe) = self.probes.remove(&flow) {
            let (to, holding) = (probe.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
        }
        if segment.carries_data_or_fin() && !self.ended.contains(&flow) {
            let conn = self.conns.get(&flow);
            // The SYN of a flow that is unknown was sent before this agent was started.
            let opened_by = conn.filter(|conn| conn.caller_isn.is_some());
            self.note_activity(now, opened_by.map_or(Millis::ZERO, |conn| conn.since));
        }
        let stage = if is_held {
            Stage::Open
        } else {
            Stage::Answered
        };
        let is_tracked = is_held || segment.syn || self.conns.contains(&flow);
        if !is_tracked || self.ended.contains(&flow) {
            return;
        }
        self.track(now, flow, stage, |conn| conn.on_target(now, segment));
        if let Some(conn) = self.conns.get(&flow) {
            self.starts.on_packet(now, conn.since);
        }
    }

    /// Decides about a caller's packet that the target returned.
    pub fn on_returned(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<AgentAction<B>>) {
        self.detect_pause(now);
        self.liveness = Liveness::Responsive;
        if packet.segment.is_initial_syn() {
            self.on_returned_syn(now, packet, out);
        } else {
            self.on_returned_ongoing(now, packet, out);
        }
    }

    /// Answers a balancer's question whether the target holds a flow.
    pub fn on_question(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        flow: FlowId,
        out: &mut Vec<AgentAction<B>>,
    ) {
        self.detect_pause(now);
        let conn = self.conns.get(&flow);
        let holding = if conn.is_some_and(Conn::is_held) || self.ended.contains(&flow) {
            Holding::Here
        } else if conn.is_some() {
            // The target got the SYN, and so may another one have.
            Holding::Maybe
        } else if self.is_known_not_held(now, &flow) {
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

    /// Tells a balancer that has forwarded a packet of the flow if the target holds it.
    fn confirm_holding(&self, to: SocketAddr, flow: FlowId, out: &mut Vec<AgentAction<B>>) {
        if self.conns.get(&flow).is_some_and(Conn::is_held) {
            out.push(AgentAction::Confirm { to, flow });
        }
    }

    /// Notes that the agent is about to stop. It accepts no new flows from now on.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Runs everything that is due. Returns whether balancers must be notified at once.
    ///
    /// Must be called at least every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) -> bool {
        let before = self.state(now);
        self.measure(now);
        self.detect_pause(now);
        self.advance_starts(now, out);
        self.end_left_start(now, out);
        if self.is_gone(now) {
            self.reset_silent_flows(now, out);
        }
        let conns = &self.conns;
        let request_start = |flow: &FlowId| conns.get(flow)?.request.map(|(since, _)| since);
        self.health.on_tick(now, request_start);
        self.end_probes(now, out);
        self.withdraw_offers(now, out);
        self.end_waits(now, out);
        self.admit_waiting(now, out);
        while let Some((_, conn)) = self.conns.pop_expired(now, self.limits.flow_timeout) {
            self.on_removed(now, &conn);
        }
        while self.ended.pop_expired(now, ENDED_TTL).is_some() {}
        while self.not_held.pop_expired(now, NOT_HELD_TTL).is_some() {}
        self.state(now) != before
    }

    fn on_syn(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        group: GroupId,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        if group != self.identity.group {
            reject(balancer, RejectReason::WrongGroup, packet.bytes, out);
        } else if self.takes_new_flows(now) && !self.is_stopping {
            let new_flow = NewFlow { balancer, packet };
            self.admit(now, offer, new_flow, out);
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
            self.track(now, packet.flow, Stage::Open, |conn| {
                conn.on_caller(balancer, &segment);
            });
        }
        let bytes = packet.bytes;
        out.push(AgentAction::Deliver { bytes });
    }

    fn on_returned_syn(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<AgentAction<B>>) {
        let conn = self.conns.get(&packet.flow).copied();
        // The target accepted the SYN before and returned only a copy, which no other target needs.
        let Some(conn) = conn.filter(|conn| conn.stage == Stage::Offered) else {
            drop_ended(packet.flow, out);
            return;
        };
        self.forget(now, &packet.flow);
        if let Some(balancer) = conn.balancer {
            reject(balancer, RejectReason::Returned, packet.bytes, out);
        }
    }

    /// Rejects SYNs that the target neither answered nor returned.
    fn withdraw_offers(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let conns = &self.conns;
        let is_over = |flow: &FlowId| {
            let conn = conns.get(flow);
            conn.is_none_or(|conn| now.since(conn.since) >= SYN_ANSWER_TIMEOUT)
        };
        let ended: Vec<_> = self
            .unanswered_syns
            .extract_if(|flow, _| is_over(flow))
            .collect();
        for (flow, bytes) in ended {
            let Some(conn) = self.conns.get(&flow).copied() else {
                continue;
            };
            if self.liveness == Liveness::Responsive {
                self.liveness = Liveness::Unresponsive;
            }
            self.forget(now, &flow);
            if let Some(balancer) = conn.balancer {
                reject(balancer, RejectReason::Returned, bytes, out);
            }
        }
    }

    /// Applies a packet to its flow, which is added at `stage` if it is unknown.
    fn track(&mut self, now: Millis, flow: FlowId, stage: Stage, apply: impl FnOnce(&mut Conn)) {
        self.measure(now);
        if !self.conns.contains(&flow) {
            let conn = Conn::new(now, stage, None);
            if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
                self.on_removed(now, &evicted);
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
            self.record_work(flow.service, now.since(since), ahead);
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
        self.unanswered_syns.remove(flow);
        self.waiting.retain(|waiting| !waiting.belongs_to(flow));
        if let Some(conn) = self.conns.remove(flow) {
            self.on_removed(now, &conn);
        }
    }

    fn on_removed(&mut self, now: Millis, conn: &Conn) {
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
