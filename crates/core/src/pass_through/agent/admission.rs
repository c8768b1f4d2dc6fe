//! When a new flow is given to the target, and when its opening packet waits.
//!
//! After a loss of many machines all callers come back at once, with more requests than targets can
//! work on within seconds. A target queues only a few requests and sheds the rest, which costs
//! callers a try each, and whoever comes later stands behind the whole backlog. So an agent gives its
//! target no more than keeps it at work, and keeps the other opening packets back for a moment. The
//! newest goes first: its caller has waited for the least time and can still be served well, while
//! those who came before are late in any case.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::members::TargetState;

use super::super::conn::Conn;
use super::super::packet::{Holding, Packet, ROOM_WAIT, RejectReason};
use super::{Agent, AgentAction, reject};

/// Time that a request may wait at the target: half of the shortest latency objective of the users'
/// requests, 120 ms. Where work is short, this is also more than a handshake takes, so that no slot
/// is idle while callers wait here.
const QUEUE_TIME: Millis = Millis(60);

/// Requests for each slot that a target is given in any case: one at work and one that is next.
const REQUESTS_PER_SLOT_MIN: u64 = 2;

/// Requests for each slot that a target is given at most. Targets queue few more and shed the rest.
const REQUESTS_PER_SLOT_MAX: u64 = 4;

/// Weight of the mean of the work so far against one more request.
const WORK_WEIGHT: u64 = 15;

/// Time in which the first request of a new flow comes: the handshake's round trip between failure
/// domains, and a turn of a slow processor at each end.
const FIRST_REQUEST_WITHIN: Millis = Millis(100);

/// Time without a packet of the target after which it is given one flow more, whatever it seems to
/// work on. A count that is wrong then costs callers a wait and not the target.
const STALLED: Millis = Millis::from_secs(1);

/// Opening packets that wait at most. The oldest is given back for a newer one.
const WAITING_MAX: usize = 1_024;

/// An opening packet that a balancer sent.
#[derive(Debug)]
pub(super) struct Opening<B> {
    pub(super) since: Millis,
    pub(super) balancer: SocketAddr,
    pub(super) packet: Packet<B>,
}

impl<B: Clone> Agent<B> {
    /// Offers a new flow to the target, or keeps its opening packet until there is room.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        opening: Opening<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = opening.packet.flow;
        self.waiting.retain(|waiting| waiting.packet.flow != flow);
        if self.has_room(now) {
            self.offer(now, opening, out);
            return;
        }
        if self.waiting.len() >= WAITING_MAX {
            give_back(self.waiting.remove(0), RejectReason::Full, out);
        }
        let (to, holding) = (opening.balancer, Holding::Waiting);
        out.push(AgentAction::Reply { to, flow, holding });
        self.waiting.push(opening);
    }

    /// Offers flows that wait while there is room, the newest first. A target that has announced that
    /// it leaves is offered none: the next tick gives them back.
    pub(super) fn admit_waiting(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        if !self.takes_new_flows(now) {
            return;
        }
        while !self.waiting.is_empty() && self.has_room(now) {
            if let Some(newest) = self.waiting.pop() {
                self.offer(now, newest, out);
            }
        }
    }

    /// Gives back what has waited for long, and everything once the target takes no new flows.
    pub(super) fn give_waiting_back(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let reason = if self.takes_new_flows(now) && !self.is_stopping {
            RejectReason::Full
        } else {
            RejectReason::NotReady
        };
        let is_over = |waiting: &mut Opening<B>| {
            reason == RejectReason::NotReady || now.since(waiting.since) >= ROOM_WAIT
        };
        for opening in self.waiting.extract_if(.., is_over) {
            give_back(opening, reason, out);
        }
    }

    pub(super) fn takes_new_flows(&self, now: Millis) -> bool {
        matches!(self.state(now), TargetState::Ready | TargetState::Starting)
    }

    /// Requests in progress, and flows that wait for the target.
    pub(super) fn pending(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    fn has_room(&mut self, now: Millis) -> bool {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let conns = &self.conns;
        let is_awaited = |(since, flow): &(Millis, FlowId)| {
            let conn = conns.get(flow);
            now.since(*since) < FIRST_REQUEST_WITHIN && conn.is_some_and(Conn::awaits_request)
        };
        self.offered.retain(is_awaited);
        let awaited = u32::try_from(self.offered.len()).unwrap_or(u32::MAX);
        let is_stalled = awaited == 0 && now.since(self.last_packet) >= STALLED;
        self.busy.saturating_add(awaited) < self.room(heartbeat.slots) || is_stalled
    }

    /// Requests that the target may have at once.
    fn room(&self, slots: u16) -> u32 {
        let slots = u64::from(slots);
        let queue = (slots * QUEUE_TIME.0 * 1_000).checked_div(self.work_micros);
        let room = queue.map_or(slots, |queue| slots + queue);
        let (least, most) = (slots * REQUESTS_PER_SLOT_MIN, slots * REQUESTS_PER_SLOT_MAX);
        u32::try_from(room.clamp(least, most)).unwrap_or(u32::MAX)
    }

    /// Takes the time of one request into the mean, without the wait behind the `ahead` requests that
    /// the target had when it came.
    pub(super) fn learn_work(&mut self, took: Millis, ahead: u32) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let slots = u64::from(heartbeat.slots);
        let work = took.0 * 1_000 * slots / slots.max(u64::from(ahead) + 1);
        self.work_micros = if self.work_micros == 0 {
            work
        } else {
            (self.work_micros * WORK_WEIGHT + work) / (WORK_WEIGHT + 1)
        };
    }

    /// Time in which a request should be answered that comes behind `ahead` others.
    pub(super) fn expected_work(&self, ahead: u32) -> Millis {
        let slots = self
            .last_heartbeat
            .map_or(1, |(_, heartbeat)| heartbeat.slots);
        let rounds = u64::from(ahead) / u64::from(slots.max(1)) + 1;
        Millis(self.work_micros * rounds / 1_000)
    }

    fn offer(&mut self, now: Millis, opening: Opening<B>, out: &mut Vec<AgentAction<B>>) {
        let Packet {
            flow,
            segment,
            bytes,
        } = opening.packet;
        self.forget(now, &flow);
        let conn = Conn::offered(now, segment.seq, opening.balancer);
        if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
            self.on_gone(now, &evicted);
        }
        self.offers.insert(flow, bytes.clone());
        self.offered.push((now, flow));
        out.push(AgentAction::Deliver { bytes });
    }
}

fn give_back<B>(opening: Opening<B>, reason: RejectReason, out: &mut Vec<AgentAction<B>>) {
    reject(opening.balancer, reason, opening.packet.bytes, out);
}
