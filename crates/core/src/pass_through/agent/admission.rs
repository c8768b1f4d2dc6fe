//! When a request is given to the target, and which one goes first.
//!
//! A target works on a few requests at once, queues some and sheds the rest. Whoever comes later stands
//! behind the whole queue, however urgent, so an agent gives its target no more than keeps it at work and
//! keeps the others back for a moment. Of those that wait, the ones that can still be answered in time go
//! before those that cannot, the more urgent before the less urgent, and the newest first: its caller has
//! waited for the least time, while those before it are the next to be late.
//!
//! NewFlow packets wait whenever there is no room. Requests on open flows wait only while the pool is
//! crowded, that is while balancers find no free slot elsewhere: they cannot go to another target, and in
//! a pool with room the target itself sheds best what it cannot do.
//!
//! A rush, as after a loss of many machines, is over soon and what waits is served late. A pool that
//! stays crowded for longer than a caller's timeout is overloaded. Then nobody is kept who cannot be
//! served in time: an new_flow packet is given back at once, a request on an open flow is dropped, since
//! nothing but its target may refuse it, and no more long-lived flows are taken than the target can serve.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::FlowId;
use crate::members::TargetState;

use super::super::conn::Conn;
use super::super::packet::{
    DropReason, Holding, Offer, Packet, RejectReason, Rejected, queue_timeout,
};
use super::demand::mean;
use super::{Agent, AgentAction, drop_for, reject};

/// Part of the shortest objective of the target's callers for which a request may stand in the target's
/// own queue, where nothing overtakes it.
const QUEUE_OBJECTIVE_DIVISOR: u64 = 4;

/// Requests for each slot that a target is given in any case: one at work and one that is next.
const REQUESTS_PER_SLOT_MIN: u64 = 2;

/// Requests for each slot that a target is given at most. Targets queue few more and shed the rest.
const REQUESTS_PER_SLOT_MAX: u64 = 4;

/// Time in which the first request of a new flow comes: the handshake's round trip between failure
/// domains, and a turn of a slow processor at each end.
const FIRST_REQUEST_TIMEOUT: Millis = Millis(100);

/// Time without a packet of the target after which it is given one flow more, whatever it seems to
/// work on. A count that is wrong then costs callers a wait and not the target.
const STALL_TIMEOUT: Millis = Millis::from_secs(1);

/// What waits at most. The oldest new_flow packet is given back for a newer one.
const WAITING_MAX: usize = 1_024;

/// Packets of one flow that wait at most, as many as a caller may have on the way.
const WAITING_PACKETS_MAX: usize = 16;

/// Part of its objective for which an new_flow packet waits in an overloaded pool. What the newest overtake
/// for that long is not served soon, and its caller still has the time for another try.
const OVERLOAD_WAIT_DIVISOR: u64 = 4;

/// Of so many requests that are let in from the wait, one is of a less urgent class that waits as well.
pub(super) const LOWER_PRIORITY_DIVISOR: u32 = 3;

/// An new_flow packet that a balancer sent.
#[derive(Debug)]
pub(super) struct NewFlow<B> {
    pub(super) balancer: SocketAddr,
    pub(super) packet: Packet<B>,
}

/// Something that waits for the target.
#[derive(Debug)]
pub(super) struct Waiting<B> {
    /// When its caller sent it.
    since: Millis,
    /// When it came here.
    arrived: Millis,
    class: RequestClass,
    flow: FlowId,
    work: Work<B>,
}

#[derive(Debug)]
enum Work<B> {
    NewFlow(NewFlow<B>),
    /// A request on an open flow: its packets in their order, with the balancers that sent them.
    Request(Vec<(SocketAddr, Packet<B>)>),
}

impl<B> Waiting<B> {
    pub(super) fn belongs_to(&self, flow: &FlowId) -> bool {
        self.flow == *flow
    }
}

impl<B: Clone> Agent<B> {
    /// Offers a new flow to the target, or keeps its new_flow packet until there is room. If another target
    /// may have a free slot, or this one cannot serve the caller in time, it is given back instead.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        offer: Offer,
        new_flow: NewFlow<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = new_flow.packet.flow;
        self.waiting.retain(|waiting| waiting.flow != flow);
        let class = self.request_class_of(&flow);
        if offer == Offer::IfIdle {
            if self.has_free_slot(now) {
                self.offer(now, new_flow, out);
            } else {
                self.reject_full(now, &class, new_flow, out);
            }
            return;
        }
        let is_overloaded = self.is_overloaded(now, &class);
        let is_share_used = is_overloaded && self.is_share_used(now, &flow, &class);
        if !is_share_used && self.has_capacity(now) {
            self.offer(now, new_flow, out);
            return;
        }
        self.note_saturation(now);
        let since = Millis(now.0.saturating_sub(new_flow.packet.age.0));
        if is_share_used || (is_overloaded && !self.is_in_time(now, since, &class)) {
            self.reject_full(now, &class, new_flow, out);
            return;
        }
        self.evict_oldest_waiting(now, out);
        let (to, holding) = (new_flow.balancer, Holding::Waiting);
        out.push(AgentAction::Reply { to, flow, holding });
        self.waiting.push(Waiting {
            since,
            arrived: now,
            class,
            flow,
            work: Work::NewFlow(new_flow),
        });
    }

    /// Gives a caller's packet on an open flow to the target, unless it begins or belongs to a request that
    /// has to wait.
    pub(super) fn schedule(
        &mut self,
        now: Millis,
        conn: &Conn,
        balancer: SocketAddr,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = packet.flow;
        if self.waiting.iter().any(|waiting| waiting.flow == flow) {
            self.join_waiting(now, balancer, packet, out);
            return;
        }
        if !conn.begins_request(&packet.segment) {
            self.deliver(now, balancer, packet, out);
            return;
        }
        let is_copy = conn.was_dropped(&packet.segment);
        if !is_copy {
            self.count_request(now, &flow);
        }
        let is_expected = || {
            conn.awaits_first_request()
                && self.recent_offers.iter().any(|offered| offered.1 == flow)
        };
        if !self.is_saturated(now) || is_expected() || self.has_capacity(now) {
            self.deliver(now, balancer, packet, out);
            return;
        }
        let class = self.request_class_of(&flow);
        if self.is_overloaded(now, &class) && (is_copy || !self.is_in_time(now, now, &class)) {
            self.drop_request(&flow, &packet, out);
            return;
        }
        self.evict_oldest_waiting(now, out);
        self.waiting.push(Waiting {
            since: now,
            arrived: now,
            class,
            flow,
            work: Work::Request(vec![(balancer, packet)]),
        });
    }

    /// Keeps a packet of a flow whose request waits, behind those before it. A reset ends the wait.
    fn join_waiting(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = packet.flow;
        if packet.segment.rst {
            self.waiting.retain(|waiting| waiting.flow != flow);
            self.deliver(now, balancer, packet, out);
            return;
        }
        let waiting = self.waiting.iter_mut();
        let mut requests = waiting.filter_map(|waiting| match &mut waiting.work {
            Work::Request(packets) if waiting.flow == flow => Some(packets),
            _ => None,
        });
        let Some(packets) = requests.next() else {
            return;
        };
        let (seq, payload) = (packet.segment.seq, packet.segment.payload);
        let is_copy = |(_, known): &(SocketAddr, Packet<B>)| {
            known.segment.seq == seq && known.segment.payload == payload
        };
        if packets.len() < WAITING_PACKETS_MAX && !packets.iter().any(is_copy) {
            packets.push((balancer, packet));
        }
    }

    /// Takes a request on an open flow into what its service asks for.
    fn count_request(&mut self, now: Millis, flow: &FlowId) {
        let Some(conn) = self.conns.get_mut(flow) else {
            return;
        };
        let last = conn.last_request.replace(now);
        let interval = last.map(|last| now.since(last));
        self.demand.on_request(now, flow.service, interval);
    }

    /// Lets in what waits while there is room. A target that has announced that it leaves is offered no new
    /// flow: the next tick gives them back.
    pub(super) fn admit_waiting(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        if !self.takes_new_flows(now) {
            return;
        }
        while self.has_capacity(now) {
            let Some(next) = self.next_waiting(now) else {
                return;
            };
            let next = self.waiting.swap_remove(next);
            self.release(now, next, out);
        }
    }

    /// Ends the wait of what has waited for long, and of everything once the target takes no new flows.
    pub(super) fn end_waits(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let is_leaving = !self.takes_new_flows(now) || self.is_stopping;
        let mut index = 0;
        while index < self.waiting.len() {
            if is_leaving || self.is_wait_over(now, &self.waiting[index]) {
                let over = self.waiting.swap_remove(index);
                self.end_wait(now, is_leaving, over, out);
            } else {
                index += 1;
            }
        }
    }

    fn is_wait_over(&self, now: Millis, waiting: &Waiting<B>) -> bool {
        let Waiting {
            since,
            arrived,
            class,
            ..
        } = waiting;
        let is_overloaded = self.is_overloaded(now, class);
        if is_overloaded && !self.is_in_time(now, *since, class) {
            return true;
        }
        let timeout = match waiting.work {
            Work::NewFlow(_) if is_overloaded => {
                Millis(class.objective_ms.0 / OVERLOAD_WAIT_DIVISOR)
            }
            Work::Request(_) if !self.is_saturated(now) => Millis::ZERO,
            _ => queue_timeout(class),
        };
        now.since(*arrived) >= timeout
    }

    fn end_wait(
        &mut self,
        now: Millis,
        is_leaving: bool,
        over: Waiting<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let is_overloaded = self.is_overloaded(now, &over.class);
        match over.work {
            Work::NewFlow(new_flow) if is_leaving => {
                let reason = RejectReason::NotReady;
                reject(new_flow.balancer, reason, new_flow.packet.bytes, out);
            }
            Work::NewFlow(new_flow) => self.reject_full(now, &over.class, new_flow, out),
            Work::Request(packets) if is_overloaded && !is_leaving => {
                for (_, packet) in packets {
                    self.drop_request(&over.flow, &packet, out);
                }
            }
            Work::Request(_) => self.release(now, over, out),
        }
    }

    fn release(&mut self, now: Millis, waiting: Waiting<B>, out: &mut Vec<AgentAction<B>>) {
        match waiting.work {
            Work::NewFlow(new_flow) => self.offer(now, new_flow, out),
            Work::Request(packets) => {
                for (balancer, packet) in packets {
                    self.deliver(now, balancer, packet, out);
                }
            }
        }
    }

    /// Which of those that wait goes first. A less urgent class has its share as well.
    fn next_waiting(&mut self, now: Millis) -> Option<usize> {
        let order = |waiting: &Waiting<B>| {
            let is_late = !self.is_in_time(now, waiting.since, &waiting.class);
            (
                is_late,
                waiting.class.priority,
                std::cmp::Reverse(waiting.since),
            )
        };
        let waiting = || self.waiting.iter().enumerate();
        let (first, most_urgent) = waiting().min_by_key(|(_, waiting)| order(waiting))?;
        let is_lower_priority = |waiting: &Waiting<B>| {
            waiting.class.priority > most_urgent.class.priority && !order(waiting).0
        };
        let lower_priority = waiting()
            .filter(|(_, waiting)| is_lower_priority(waiting))
            .min_by_key(|(_, waiting)| order(waiting))
            .map(|(index, _)| index);
        let Some(lower_priority) = lower_priority else {
            return Some(first);
        };
        self.urgent_run += 1;
        if self.urgent_run < LOWER_PRIORITY_DIVISOR {
            return Some(first);
        }
        self.urgent_run = 0;
        Some(lower_priority)
    }

    /// Gives the oldest new_flow packet back if too many wait.
    fn evict_oldest_waiting(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        if self.waiting.len() < WAITING_MAX {
            return;
        }
        let oldest = (0..self.waiting.len()).min_by_key(|index| self.waiting[*index].since);
        if let Some(oldest) = oldest {
            let oldest = self.waiting.swap_remove(oldest);
            self.end_wait(now, false, oldest, out);
        }
    }

    /// Gives an new_flow packet back with the time after which there is room.
    fn reject_full(
        &self,
        now: Millis,
        class: &RequestClass,
        new_flow: NewFlow<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let rejected = Rejected {
            reason: RejectReason::Full,
            retry_after: self.retry_after(now, class),
        };
        out.push(AgentAction::Reject {
            to: new_flow.balancer,
            rejected,
            bytes: new_flow.packet.bytes,
        });
    }

    fn drop_request(&mut self, flow: &FlowId, packet: &Packet<B>, out: &mut Vec<AgentAction<B>>) {
        if let Some(conn) = self.conns.get_mut(flow) {
            conn.on_dropped(&packet.segment);
        }
        drop_for(*flow, DropReason::Overload, out);
    }

    /// Expected time until the target can begin with one more request of the class.
    fn retry_after(&self, now: Millis, class: &RequestClass) -> Millis {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return Millis::ZERO;
        };
        let goes_first = |waiting: &&Waiting<B>| waiting.class.priority <= class.priority;
        let waiting = self.waiting.iter().filter(goes_first).count() as u64;
        let ahead = u64::from(self.busy) + u64::from(self.awaited(now)) + waiting;
        let slots = u64::from(heartbeat.slots.max(1));
        let over = (ahead + 1).saturating_sub(slots);
        Millis(self.work_micros * over / slots / 1_000)
    }

    /// Whether a request that came at `since` can be answered within its objective, behind what the target
    /// was given before it.
    fn is_in_time(&self, now: Millis, since: Millis, class: &RequestClass) -> bool {
        let given = self.busy.saturating_add(self.awaited(now));
        now.since(since).after(self.expected_work(given)) < class.objective_ms
    }

    fn request_class_of(&self, flow: &FlowId) -> RequestClass {
        self.request_classes
            .get(&flow.service)
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn takes_new_flows(&self, now: Millis) -> bool {
        matches!(self.state(now), TargetState::Ready | TargetState::Starting)
    }

    /// Requests in progress, and what waits for the target.
    pub(super) fn pending(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    /// Flows that were offered a moment ago, whose first request may still come.
    pub(super) fn awaited(&self, now: Millis) -> u32 {
        let is_awaited = |offered: &&(Millis, FlowId)| self.is_awaited(now, offered);
        let awaited = self.recent_offers.iter().filter(is_awaited).count();
        u32::try_from(awaited).unwrap_or(u32::MAX)
    }

    fn is_awaited(&self, now: Millis, (since, flow): &(Millis, FlowId)) -> bool {
        let conn = self.conns.get(flow);
        now.since(*since) < FIRST_REQUEST_TIMEOUT && conn.is_some_and(Conn::awaits_first_request)
    }

    /// Whether a slot of the target is free and nobody waits for it.
    fn has_free_slot(&self, now: Millis) -> bool {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let taken = self.busy.saturating_add(self.awaited(now));
        self.waiting.is_empty() && taken < u32::from(heartbeat.slots)
    }

    fn has_capacity(&self, now: Millis) -> bool {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return true;
        };
        let awaited = self.awaited(now);
        let is_stalled = awaited == 0 && now.since(self.last_packet) >= STALL_TIMEOUT;
        self.busy.saturating_add(awaited) < self.capacity(heartbeat.slots) || is_stalled
    }

    /// Requests that the target may have at once.
    fn capacity(&self, slots: u16) -> u32 {
        let slots = u64::from(slots);
        let objectives = self.request_classes.newest_first();
        let objectives = objectives.map(|(_, class)| class.objective_ms);
        let shortest = objectives
            .min()
            .unwrap_or(RequestClass::default().objective_ms);
        let queue =
            (slots * shortest.0 / QUEUE_OBJECTIVE_DIVISOR * 1_000).checked_div(self.work_micros);
        let capacity = queue.map_or(slots, |queue| slots + queue);
        let (least, most) = (slots * REQUESTS_PER_SLOT_MIN, slots * REQUESTS_PER_SLOT_MAX);
        u32::try_from(capacity.clamp(least, most)).unwrap_or(u32::MAX)
    }

    /// Takes the time of one request into the means, without the wait behind the `ahead` requests that
    /// the target had when it came.
    pub(super) fn record_work(&mut self, service: SocketAddr, took: Millis, ahead: u32) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let slots = u64::from(heartbeat.slots);
        let work = took.0 * 1_000 * slots / slots.max(u64::from(ahead) + 1);
        self.work_micros = mean(self.work_micros, work);
        self.demand.on_answer(service, work);
    }

    /// Time in which a request should be answered that comes behind `ahead` others.
    pub(super) fn expected_work(&self, ahead: u32) -> Millis {
        let slots = self
            .last_heartbeat
            .map_or(1, |(_, heartbeat)| heartbeat.slots);
        let rounds = u64::from(ahead) / u64::from(slots.max(1)) + 1;
        Millis(self.work_micros * rounds / 1_000)
    }

    fn offer(&mut self, now: Millis, new_flow: NewFlow<B>, out: &mut Vec<AgentAction<B>>) {
        let Packet {
            flow,
            segment,
            bytes,
            ..
        } = new_flow.packet;
        self.forget(now, &flow);
        let conn = Conn::offered(now, segment.seq, new_flow.balancer);
        if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
            self.on_removed(now, &evicted);
        }
        self.demand.on_flow(now, flow.service);
        self.unanswered_syns.insert(flow, bytes.clone());
        let mut offered = std::mem::take(&mut self.recent_offers);
        offered.retain(|offered| self.is_awaited(now, offered));
        offered.push((now, flow));
        self.recent_offers = offered;
        out.push(AgentAction::Deliver { bytes });
    }
}
