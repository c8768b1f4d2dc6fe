//! The agent's decisions: what becomes of a packet beside the target.
//!
//! The target decides for itself which flows it has. The agent watches, and answers balancers from
//! what it saw. An agent that was started after its target has not seen everything, so it lets the
//! target see one packet of a flow that it does not know: the target either returns it, which
//! proves that it does not hold the flow, or keeps it.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::{DomainId, GroupId, TargetId};
use crate::members::TargetState;
use crate::recent::Recent;

use super::conn::{Conn, Stage};
use super::fleet::Report;
use super::packet::{DropReason, Holding, Offer, Packet, RejectReason, Reset, ResetReason};

/// Time in which the target returns a packet that it does not want. The two share a machine, so
/// this covers one turn of a slow processor.
const RETURN_WITHIN: Millis = Millis(60);

/// Time in which the target answers an opening packet. A target that does not is not offered more.
const ANSWER_WITHIN: Millis = Millis(150);

/// Time for which a flow that ended at both ends is remembered, for repeated packets of the end.
const ENDED_LIFE: Millis = Millis::from_secs(5);

/// Time for which a flow that the target returned is answered for without asking it again.
const ABSENT_LIFE: Millis = Millis::from_secs(3);

/// Span over which the mean of requests in progress is taken.
const BUSY_SPAN: Millis = Millis(1_000);

/// Heartbeats that may be missing before the target is given no new flows.
const MISSED_HEARTBEATS: u64 = 2;

/// Heartbeats that are missing, with nothing else from the target, when it counts as gone.
const GONE_HEARTBEATS: u64 = 3;

/// Time after its goodbye in which the target ends.
const END_WITHIN: Millis = Millis(100);

/// Flows that are younger are not listed: most of them are over before the list is written.
const LISTED_AGE: Millis = Millis(500);

/// Flows that are listed, about 80 bytes each, so that a list fits one object of the platform.
const LISTED_MAX: usize = 8_000;

/// A gap between two ticks that shows that the process itself was paused.
const PAUSE: Millis = Millis(600);

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
        /// Why.
        reason: RejectReason,
        /// The packet.
        bytes: B,
    },
    /// Tell a balancer what is known of a flow.
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
    Drop(DropReason),
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
    /// Start of the agent, as the time of day in ms.
    pub incarnation: u64,
}

/// What the target says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
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

/// A flow in a [`FlowList`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedFlow {
    /// Both ends.
    #[serde(flatten)]
    pub flow: FlowId,
    /// Sequence number at which the caller accepted a reset when the list was made.
    pub seq: u32,
}

/// The flows of a target, to be kept where they outlive the machine.
///
/// A machine that loses its power loses its target's flows and the only list of them. Their
/// callers would learn of it from the requests that they lose.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowList {
    /// Start of the target that held them, as the time of day in ms.
    pub born: u64,
    /// The flows.
    pub flows: Vec<ListedFlow>,
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
    trials: HashMap<FlowId, Trial>,
    /// Flows that the target returned, with the time of it.
    absent: Recent<FlowId, Millis>,
    last_heartbeat: Option<(Millis, Heartbeat)>,
    /// The list that an earlier agent of the target left, until the target's start is known.
    inherited: Option<FlowList>,
    /// When the target sent a packet last.
    last_packet: Millis,
    /// When the target said goodbye, until its flows are reset.
    goodbye: Option<Millis>,
    ticked: Millis,
    /// The target was started while this agent watched, so that no flow of it is unknown here.
    saw_start: bool,
    life: Life,
    is_stopping: bool,
    sequence: u64,
    busy: u32,
    mean_busy_milli: u64,
    measured: Millis,
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
            trials: HashMap::new(),
            absent: Recent::new(limits.flows),
            last_heartbeat: None,
            inherited: None,
            last_packet: now,
            goodbye: None,
            ticked: now,
            saw_start: false,
            life: Life::Unseen,
            is_stopping: false,
            sequence: 0,
            busy: 0,
            mean_busy_milli: 0,
            measured: now,
        }
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
        let known = self.conns.get(&packet.flow).copied();
        if packet.segment.opens() {
            let is_repeated = known.is_some_and(|conn| conn.caller_isn == Some(packet.segment.seq));
            if is_repeated {
                let bytes = packet.bytes;
                out.push(AgentAction::Deliver { bytes });
            } else {
                self.on_opening(now, balancer, group, packet, out);
            }
            return;
        }
        match known {
            Some(conn) if !conn.is_foreign(&packet.segment) => {
                self.deliver(now, balancer, packet, out);
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
        let Packet {
            flow,
            segment,
            bytes,
        } = packet;
        self.life = Life::Seen;
        self.last_packet = now;
        if let Some(trial) = self.trials.remove(&flow) {
            let (to, holding) = (trial.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
        }
        self.offers.remove(&flow);
        if segment.rst {
            self.forget(now, &flow);
        } else if !self.ended.contains(&flow) {
            self.watch(now, flow, |conn| conn.on_target(&segment));
        }
        out.push(AgentAction::ToCaller { flow, bytes });
    }

    /// Decides about a caller's packet that the target returned.
    pub fn on_returned(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<AgentAction<B>>) {
        self.life = Life::Seen;
        if packet.segment.opens() {
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

    /// Takes a heartbeat of the target. Returns whether balancers must be told at once, or none if
    /// the heartbeat is older than what is known.
    ///
    /// A target that was started again has lost the flows of its last start. Their callers are
    /// reset, also those that wait for nothing: their next request would be lost.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        heartbeat: Heartbeat,
        out: &mut Vec<AgentAction<B>>,
    ) -> Option<bool> {
        let before = self.state(now);
        match self.last_heartbeat {
            Some((_, last)) if heartbeat.born < last.born => return None,
            Some((_, last)) if heartbeat.born == last.born => {
                if heartbeat.sequence <= last.sequence {
                    return None;
                }
            }
            Some(_) => {
                self.saw_start = true;
                let started = Millis(now.0.saturating_sub(heartbeat.age.0));
                self.reset_flows(now, started, out);
            }
            // The time of day may jump, so the count of heartbeats must agree with the age.
            None => {
                let is_younger = heartbeat.age < now.since(self.started);
                self.saw_start = heartbeat.sequence <= 1 && is_younger;
            }
        }
        self.last_heartbeat = Some((now, heartbeat));
        self.life = Life::Seen;
        self.use_inherited(now, out);
        Some(self.state(now) != before)
    }

    /// The flows to be listed, none before the target's start is known.
    #[must_use]
    pub fn flow_list(&self, now: Millis) -> Option<FlowList> {
        let (_, heartbeat) = self.last_heartbeat?;
        let is_listed =
            |conn: &Conn| conn.stage == Stage::Open && now.since(conn.since) >= LISTED_AGE;
        let flows = self
            .conns
            .newest_first()
            .filter(|(_, conn)| is_listed(conn))
            .filter_map(|(flow, conn)| {
                let (flow, seq) = (*flow, conn.reset_seq()?);
                Some(ListedFlow { flow, seq })
            });
        Some(FlowList {
            born: heartbeat.born,
            flows: flows.take(LISTED_MAX).collect(),
        })
    }

    /// Takes the list that an earlier agent of the target left.
    ///
    /// If the target is still the one that the list is about, it holds these flows. If it was
    /// started since, nobody holds them, and their callers are reset.
    pub fn inherit(&mut self, now: Millis, list: FlowList, out: &mut Vec<AgentAction<B>>) {
        self.inherited = Some(list);
        self.use_inherited(now, out);
    }

    /// The target of this start says that it is gone.
    pub const fn on_goodbye(&mut self, now: Millis) {
        if let Some((_, heartbeat)) = &mut self.last_heartbeat {
            heartbeat.state = TargetState::Dead;
            self.goodbye = Some(now);
        }
    }

    /// Whether nothing is left to do for the target: it has no request in progress, or it is gone
    /// and its flows are reset.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.busy == 0 && self.goodbye.is_none()
    }

    /// The agent is going to be stopped.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Does what is due. Returns whether balancers must be told at once. To be called at least
    /// every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) -> bool {
        let before = self.state(now);
        self.measure(now);
        self.forgive_silence(now);
        if self.is_gone(now) {
            self.goodbye = None;
            self.reset_flows(now, now, out);
        }
        self.end_trials(now, out);
        self.withdraw_offers(now, out);
        while let Some((_, conn)) = self.conns.pop_unused(now, self.limits.flow_life) {
            self.on_gone(now, &conn);
        }
        while self.ended.pop_unused(now, ENDED_LIFE).is_some() {}
        while self.absent.pop_unused(now, ABSENT_LIFE).is_some() {}
        self.state(now) != before
    }

    /// What balancers are to know.
    pub fn report(&mut self, now: Millis) -> Report {
        self.sequence += 1;
        let heartbeat = self.last_heartbeat.map(|(_, heartbeat)| heartbeat);
        Report {
            target: self.place.target,
            incarnation: self.place.incarnation,
            sequence: self.sequence,
            agent: self.place.agent,
            group: self.place.group,
            domain: self.place.domain,
            state: self.state(now),
            is_stopping: self.is_stopping,
            slots: heartbeat.map_or(1, |heartbeat| heartbeat.slots),
            cold_left: self.cold_left(now),
            flows: u32::try_from(self.conns.len()).unwrap_or(u32::MAX),
            busy: self.busy,
            mean_busy_milli: u32::try_from(self.mean_busy_milli).unwrap_or(u32::MAX),
        }
    }

    /// What the target can take.
    #[must_use]
    pub fn state(&self, now: Millis) -> TargetState {
        let Some((at, heartbeat)) = self.last_heartbeat else {
            return TargetState::Starting;
        };
        let patience = Millis(self.limits.heartbeat.0 * MISSED_HEARTBEATS).after(ANSWER_WITHIN);
        let is_silent = self.life == Life::Mute || now.since(at) > patience;
        match heartbeat.state {
            TargetState::Ready if is_silent => TargetState::Draining,
            state => state,
        }
    }

    fn on_opening(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        group: GroupId,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let Packet {
            flow,
            segment,
            bytes,
        } = packet;
        if group != self.place.group {
            reject(balancer, RejectReason::WrongGroup, bytes, out);
            return;
        }
        if !matches!(self.state(now), TargetState::Ready | TargetState::Starting) {
            reject(balancer, RejectReason::NotReady, bytes, out);
            return;
        }
        self.forget(now, &flow);
        let conn = Conn::offered(now, segment.seq, balancer);
        if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
            self.on_gone(now, &evicted);
        }
        self.offers.insert(flow, bytes.clone());
        out.push(AgentAction::Deliver { bytes });
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
            self.watch(now, packet.flow, |conn| {
                conn.on_caller(balancer, &segment);
            });
        }
        let bytes = packet.bytes;
        out.push(AgentAction::Deliver { bytes });
    }

    fn on_unknown(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        if self.is_absent(now, &packet.flow) || offer == Offer::New {
            reject(balancer, RejectReason::NotHeld, packet.bytes, out);
            return;
        }
        let since = now;
        self.trials
            .entry(packet.flow)
            .or_insert(Trial { balancer, since });
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
            out.push(AgentAction::Drop(DropReason::Ended));
            return;
        };
        self.forget(now, &packet.flow);
        if let Some(balancer) = conn.balancer {
            reject(balancer, RejectReason::Returned, packet.bytes, out);
        }
    }

    fn on_returned_ongoing(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = packet.flow;
        self.absent.insert(now, flow, now);
        if let Some(trial) = self.trials.remove(&flow) {
            reject(trial.balancer, RejectReason::NotHeld, packet.bytes, out);
            return;
        }
        let Some(conn) = self.conns.get(&flow).copied() else {
            out.push(AgentAction::Drop(DropReason::Ended));
            return;
        };
        self.forget(now, &flow);
        // Seen open at this target and returned by it: no target holds the flow any more.
        if conn.stage == Stage::Open && packet.segment.ack {
            let (seq, reason) = (packet.segment.ack_seq, ResetReason::Returned);
            out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            let holding = Holding::No;
            out.extend(
                conn.balancer
                    .map(|to| AgentAction::Reply { to, flow, holding }),
            );
        } else if let Some(balancer) = conn.balancer {
            reject(balancer, RejectReason::NotHeld, packet.bytes, out);
        }
    }

    /// Whether the target does not hold the flow, which is unknown here.
    fn is_absent(&self, now: Millis, flow: &FlowId) -> bool {
        let knows_all = self.saw_start || now.since(self.started) > self.limits.flow_life;
        let was_returned = self
            .absent
            .get(flow)
            .is_some_and(|at| now.since(*at) <= ABSENT_LIFE);
        knows_all || was_returned
    }

    fn use_inherited(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let Some(list) = self.inherited.take() else {
            return;
        };
        for ListedFlow { flow, seq } in list.flows {
            if self.conns.contains(&flow) {
                continue;
            }
            if heartbeat.born > list.born {
                let reason = ResetReason::TargetEnded;
                out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            } else if heartbeat.born == list.born {
                let conn = Conn::new(now, Stage::Presumed, None);
                self.conns.insert(now, flow, conn);
            }
        }
    }

    /// The process was paused, so that silence until now says nothing about the target.
    fn forgive_silence(&mut self, now: Millis) {
        if now.since(self.ticked) > PAUSE
            && let Some((at, _)) = &mut self.last_heartbeat
        {
            *at = now;
        }
        self.ticked = now;
    }

    /// Whether the target has ended, by its own word or by a long silence.
    fn is_gone(&self, now: Millis) -> bool {
        if let Some(goodbye) = self.goodbye {
            return now.since(goodbye) >= END_WITHIN;
        }
        let Some((at, _)) = self.last_heartbeat else {
            return false;
        };
        let patience = Millis(self.limits.heartbeat.0 * GONE_HEARTBEATS);
        now.since(at) > patience && now.since(self.last_packet) > patience
    }

    /// Resets the callers of all flows that began before `end`.
    fn reset_flows(&mut self, now: Millis, end: Millis, out: &mut Vec<AgentAction<B>>) {
        let is_before = |conn: &Conn| conn.since < end && conn.stage != Stage::Offered;
        let flows: Vec<_> = self
            .conns
            .newest_first()
            .filter(|(_, conn)| is_before(conn))
            .map(|(flow, conn)| (*flow, *conn))
            .collect();
        for (flow, conn) in flows {
            self.forget(now, &flow);
            if let Some(seq) = conn.reset_seq() {
                let reason = ResetReason::TargetEnded;
                out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            }
            let holding = Holding::No;
            out.extend(
                conn.balancer
                    .map(|to| AgentAction::Reply { to, flow, holding }),
            );
        }
    }

    fn end_trials(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let is_over = |trial: &Trial| now.since(trial.since) >= RETURN_WITHIN;
        let ended = self.trials.extract_if(|_, trial| is_over(trial));
        // A target that is not at work yet returns nothing, which proves nothing.
        let ended: Vec<_> = ended.filter(|_| self.life != Life::Unseen).collect();
        for (flow, trial) in ended {
            let conn = Conn::new(now, Stage::Presumed, Some(trial.balancer));
            if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
                self.on_gone(now, &evicted);
            }
            let (to, holding) = (trial.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
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

    /// Applies a packet to its flow, which is made known if it was not.
    fn watch(&mut self, now: Millis, flow: FlowId, apply: impl FnOnce(&mut Conn)) {
        self.measure(now);
        if !self.conns.contains(&flow) {
            let conn = Conn::new(now, Stage::Open, None);
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
        self.busy = self.busy + u32::from(is_busy) - u32::from(was_busy);
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
        if let Some(conn) = self.conns.remove(flow) {
            self.on_gone(now, &conn);
        }
    }

    fn on_gone(&mut self, now: Millis, conn: &Conn) {
        self.measure(now);
        self.busy -= u32::from(conn.is_busy);
    }

    /// Brings the mean of requests in progress up to now.
    fn measure(&mut self, now: Millis) {
        let span = now.since(self.measured).0.min(BUSY_SPAN.0);
        if span == 0 {
            return;
        }
        let current = u64::from(self.busy) * 1_000;
        let old = self.mean_busy_milli * (BUSY_SPAN.0 - span);
        self.mean_busy_milli = (old + current * span) / BUSY_SPAN.0;
        self.measured = now;
    }

    fn cold_left(&self, now: Millis) -> Millis {
        self.last_heartbeat.map_or(Millis::ZERO, |(at, heartbeat)| {
            Millis(heartbeat.cold_left.0.saturating_sub(now.since(at).0))
        })
    }
}

fn reject<B>(to: SocketAddr, reason: RejectReason, bytes: B, out: &mut Vec<AgentAction<B>>) {
    out.push(AgentAction::Reject { to, reason, bytes });
}
