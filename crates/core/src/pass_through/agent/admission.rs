//! Admission of requests to the target, and their order.
//!
//! A target processes a few requests at once, queues some and sheds the rest. A request that
//! arrives later stands behind the target's whole queue, however urgent it is. The agent therefore
//! gives its target only as many requests as keep it busy, and queues the others itself for a short
//! time. Among queued requests, those that can still be answered within their objective go before
//! those that cannot, higher priority before lower, and newest first: the newest one's caller has
//! waited for the shortest time, whereas older ones are the next to be late.
//!
//! SYNs are queued whenever there is no capacity. Requests on open flows are queued only while the
//! pool is saturated, that is while balancers find no free slot elsewhere: these requests cannot
//! move to another target, and in a pool with free capacity the target itself is best placed to
//! shed what it cannot process.
//!
//! A burst, for example after the loss of many machines, is over soon, and what is queued is served
//! late. A pool that stays saturated for longer than a caller's timeout is overloaded. Then nothing
//! is queued that cannot be served in time: a SYN is rejected at once, a request on an open flow is
//! dropped, since only its target may refuse it, and no more long-lived flows are accepted than the
//! target can serve.

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

/// A request may spend at most this fraction (1/n) of the shortest objective among the target's
/// services in the target's own queue, where no other request can overtake it.
const QUEUE_OBJECTIVE_DIVISOR: u64 = 4;

/// Minimum number of requests that a target is given per slot: one in progress and one next.
const REQUESTS_PER_SLOT_MIN: u64 = 2;

/// Maximum number of requests that a target is given per slot. Targets queue few more and shed the
/// rest.
const REQUESTS_PER_SLOT_MAX: u64 = 4;

/// How long the first request of a new flow is awaited: one handshake round trip between failure
/// domains, and a scheduling delay of a slow processor at each end.
const FIRST_REQUEST_TIMEOUT: Millis = Millis(100);

/// Time without a packet from the target after which it is given one more flow whatever its count
/// of requests. A wrong count then costs callers a wait, but does not leave the target unused.
const STALL_TIMEOUT: Millis = Millis::from_secs(1);

/// Maximum length of the queue. The oldest entry leaves it early to make space for a new one: a SYN
/// is rejected, and a request is released or, in an overloaded pool, dropped.
const WAITING_MAX: usize = 1_024;

/// Maximum number of queued packets of one flow, as many as a caller may have in flight.
const WAITING_PACKETS_MAX: usize = 16;

/// A SYN stays queued in an overloaded pool for at most this fraction (1/n) of its objective. One
/// that newer SYNs have overtaken for that long is not served soon, and its caller still has time
/// to retry.
const OVERLOAD_WAIT_DIVISOR: u64 = 4;

/// One of this many requests released from the queue is of lower priority, if such requests are
/// queued. Also the minimum share (1/n) of the slots that services of any priority get.
pub(super) const LOWER_PRIORITY_DIVISOR: u32 = 3;

/// SYN that a balancer forwarded.
#[derive(Debug)]
pub(super) struct NewFlow<B> {
    pub(super) balancer: SocketAddr,
    pub(super) packet: Packet<B>,
}

/// SYN or request that is queued for the target.
#[derive(Debug)]
pub(super) struct Waiting<B> {
    /// When the caller sent it.
    since: Millis,
    /// When it arrived at this agent.
    arrived: Millis,
    class: RequestClass,
    flow: FlowId,
    work: Work<B>,
}

#[derive(Debug)]
enum Work<B> {
    Syn(NewFlow<B>),
    /// A request on an open flow: its packets in order, with the balancers that sent them.
    Request(Vec<(SocketAddr, Packet<B>)>),
}

impl<B> Waiting<B> {
    pub(super) fn belongs_to(&self, flow: &FlowId) -> bool {
        self.flow == *flow
    }
}

impl<B: Clone> Agent<B> {
    /// Offers a new flow to the target, or queues its SYN until there is capacity.
    ///
    /// The SYN is rejected instead if another target may have a free slot, or if this one cannot
    /// serve the caller in time.
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
        self.evict_if_full(now, out);
        let (to, holding) = (new_flow.balancer, Holding::Waiting);
        out.push(AgentAction::Reply { to, flow, holding });
        self.waiting.push(Waiting {
            since,
            arrived: now,
            class,
            flow,
            work: Work::Syn(new_flow),
        });
    }

    /// Delivers a caller's packet on an open flow to the target, unless the packet begins or
    /// belongs to a request that has to be queued.
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
        let is_expected =
            || conn.awaits_request() && self.recent_offers.iter().any(|offer| offer.1 == flow);
        if !self.is_saturated(now) || is_expected() || self.has_capacity(now) {
            self.deliver(now, balancer, packet, out);
            return;
        }
        let class = self.request_class_of(&flow);
        if self.is_overloaded(now, &class) && (is_copy || !self.is_in_time(now, now, &class)) {
            self.drop_request(&flow, &packet, out);
            return;
        }
        self.evict_if_full(now, out);
        self.waiting.push(Waiting {
            since: now,
            arrived: now,
            class,
            flow,
            work: Work::Request(vec![(balancer, packet)]),
        });
    }

    /// Queues a packet of a flow whose request is queued already, behind the earlier packets. A RST
    /// ends the wait.
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

    /// Counts a request on an open flow towards the demand of its service.
    fn count_request(&mut self, now: Millis, flow: &FlowId) {
        let Some(conn) = self.conns.get_mut(flow) else {
            return;
        };
        let last = conn.last_request.replace(now);
        let interval = last.map(|last| now.since(last));
        self.demand.on_request(now, flow.service, interval);
    }

    /// Releases queued requests while there is capacity. A target that has announced its leave is
    /// offered no new flows; the next tick rejects them.
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

    /// Ends queueing for requests that have waited too long, and for all of them once the target
    /// accepts no new flows.
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
            Work::Syn(_) if is_overloaded => Millis(class.objective_ms.0 / OVERLOAD_WAIT_DIVISOR),
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
            Work::Syn(new_flow) if is_leaving => {
                let reason = RejectReason::NotReady;
                reject(new_flow.balancer, reason, new_flow.packet.bytes, out);
            }
            Work::Syn(new_flow) => self.reject_full(now, &over.class, new_flow, out),
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
            Work::Syn(new_flow) => self.offer(now, new_flow, out),
            Work::Request(packets) => {
                for (balancer, packet) in packets {
                    self.deliver(now, balancer, packet, out);
                }
            }
        }
    }

    /// Returns the index of the queued request to release next. Lower priorities get their share.
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

    /// Ends queueing for the oldest entry if the queue is full.
    fn evict_if_full(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        if self.waiting.len() < WAITING_MAX {
            return;
        }
        let oldest = (0..self.waiting.len()).min_by_key(|index| self.waiting[*index].since);
        if let Some(oldest) = oldest {
            let oldest = self.waiting.swap_remove(oldest);
            self.end_wait(now, false, oldest, out);
        }
    }

    /// Rejects a SYN, with the expected time until there is capacity.
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

    /// Expected time until the target can start one more request of the class.
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

    /// Whether a request that its caller sent at `since` can be answered within its objective,
    /// behind the requests that the target has already been given.
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

    /// Requests in progress and requests queued for the target.
    pub(super) fn pending(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    /// Number of flows offered recently whose first request may still arrive.
    pub(super) fn awaited(&self, now: Millis) -> u32 {
        let is_awaited = |offered: &&(Millis, FlowId)| self.is_awaited(now, offered);
        let awaited = self.recent_offers.iter().filter(is_awaited).count();
        u32::try_from(awaited).unwrap_or(u32::MAX)
    }

    fn is_awaited(&self, now: Millis, (since, flow): &(Millis, FlowId)) -> bool {
        let conn = self.conns.get(flow);
        now.since(*since) < FIRST_REQUEST_TIMEOUT && conn.is_some_and(Conn::awaits_request)
    }

    /// Whether the target has a free slot and nothing is queued for it.
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

    /// Maximum number of requests that the target may have at once.
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

    /// Adds the duration of one request to the means, without its wait behind the `ahead` requests
    /// that the target had when it arrived.
    pub(super) fn record_work(&mut self, service: SocketAddr, took: Millis, ahead: u32) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let slots = u64::from(heartbeat.slots);
        let work = took.0 * 1_000 * slots / slots.max(u64::from(ahead) + 1);
        self.work_micros = mean(self.work_micros, work);
        self.demand.on_answer(service, work);
    }

    /// Expected time in which a request behind `ahead` others is answered.
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
