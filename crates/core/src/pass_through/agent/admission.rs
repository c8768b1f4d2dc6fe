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
use super::super::packet::{Holding, Offer, Packet, RejectReason, Rejected, room_wait};
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
    /// Offers a new flow to the target, or keeps its opening packet until there is room. If other targets
    /// may be idle, it is given back instead.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        offer: Offer,
        opening: Opening<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = opening.packet.flow;
        self.waiting.retain(|waiting| waiting.packet.flow != flow);
        let has_room = if offer == Offer::IfIdle {
            self.is_idle_for(now)
        } else {
            self.has_room(now)
        };
        if has_room {
            self.offer(now, opening, out);
            return;
        }
        if offer == Offer::IfIdle {
            self.give_back_full(now, opening, out);
            return;
        }
        if self.waiting.len() >= WAITING_MAX {
            let oldest = self.waiting.remove(0);
            self.give_back_full(now, oldest, out);
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
        let classes = &self.classes;
        let is_over = |waiting: &mut Opening<B>| {
            let class = classes.get(&waiting.packet.flow.service);
            let patience = room_wait(&class.copied().unwrap_or_default());
            reason == RejectReason::NotReady || now.since(waiting.since) >= patience
        };
        let over: Vec<_> = self.waiting.extract_if(.., is_over).collect();
        for opening in over {
            if reason == RejectReason::Full {
                self.give_back_full(now, opening, out);
            } else {
                reject(opening.balancer, reason, opening.packet.bytes, out);
            }
        }
    }

    /// Gives an opening packet back with the time after which there is room.
    fn give_back_full(&self, now: Millis, opening: Opening<B>, out: &mut Vec<AgentAction<B>>) {
        let rejected = Rejected {
            reason: RejectReason::Full,
            room_after: self.room_after(now),
        };
        out.push(AgentAction::Reject {
            to: opening.balancer,
            rejected,
            bytes: opening.packet.bytes,
        });
    }

    /// Expected time until the target can begin with one request more.
    fn room_after(&self, now: Millis) -> Millis {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return Millis::ZERO;
        };
        let slots = u64::from(heartbeat.slots.max(1));
        let ahead = u64::from(self.pending()) + u64::from(self.awaited(now));
        let over = (ahead + 1).saturating_sub(slots);
        Millis(self.work_micros * over / slots / 1_000)
    }

    pub(super) fn takes_new_flows(&self, now: Millis) -> bool {
        matches!(self.state(now), TargetState::Ready | TargetState::Starting)
    }

    /// Requests in progress, and flows that wait for the target.
    pub(super) fn pending(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    /// Flows that were offered a moment ago, whose first request may still come.
    fn awaited(&self, now: Millis) -> u32 {
        let awaited = self
            .offered
            .iter()
            .filter(|offered| self.is_awaited(now, offered));
        u32::try_from(awaited.count()).unwrap_or(u32::MAX)
    }

    fn is_awaited(&self, now: Millis, (since, flow): &(Millis, FlowId)) -> bool {
        let conn = self.conns.get(flow);
        now.since(*since) < FIRST_REQUEST_WITHIN && conn.is_some_and(Conn::awaits_request)
    }

    /// Whether a slot of the target is free and nobody waits for it.
    fn is_idle_for(&self, now: Millis) -> bool {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let taken = self.busy.saturating_add(self.awaited(now));
        self.waiting.is_empty() && taken < u32::from(heartbeat.slots)
    }

    fn has_room(&self, now: Millis) -> bool {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let awaited = self.awaited(now);
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
        let mut offered = std::mem::take(&mut self.offered);
        offered.retain(|offered| self.is_awaited(now, offered));
        offered.push((now, flow));
        self.offered = offered;
        out.push(AgentAction::Deliver { bytes });
    }
}
