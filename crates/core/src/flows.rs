//! The agent's decisions about flows.
//!
//! The balancer's view of a flow may be outdated, while the agent runs beside the target that
//! serves it. The agent therefore decides what happens to a packet. It owns the flows it opened,
//! remembers which flows it redirected to a peer, and searches for the holder of an unknown flow
//! before resetting it.
//!
//! Three rules keep flows intact:
//!
//! - Payload reaches a target only through the endpoint whose sequence number the caller
//!   acknowledged, so all bytes of a connection reach one target.
//! - The number of redirects of a SYN is bounded. The last agent opens the flow or refuses it, so
//!   the SYN cannot circulate among agents.
//! - A flow is reset only after every peer that may hold it has answered that it does not.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::config::Revision;
use crate::flow::FlowId;
use crate::id::{GroupId, TargetId};
use crate::members::{TargetRecord, TargetState};

mod admission;
mod bucket;
mod connection;
mod counters;
mod held;
mod leaving;
mod limits;
mod load;
mod local_target;
mod new_flow;
mod notice;
mod ongoing;
mod packet;
mod peers;
mod queue;
mod rates;
mod redirects;
mod search;
mod searching;
pub(crate) mod services;

pub use counters::Counters;
pub use limits::FlowLimits;
pub use load::{
    LoadReport, REPORT_BYTES, REPORT_BYTES_PER_S, REPORT_INTERVALS, peers_per_report,
    report_interval,
};
pub use new_flow::{MAX_EXTRA_REDIRECTS, MAX_REDIRECTS};
pub use packet::{Action, Arrival, CloseReason, DropReason, Holding, Packet, Relay};

use crate::lru_map::LruMap;
use bucket::{Bucket, Rate};
use held::Held;
use local_target::LocalTarget;
use peers::Peers;
use queue::WaitQueue;
use rates::Rates;
use redirects::Redirects;
use search::Searches;
use services::{ServiceKey, Services};

/// The agent's flow table. `B` is the packet's bytes, which are not inspected here.
#[derive(Debug)]
pub struct Flows<B> {
    me: TargetId,
    group: Option<GroupId>,
    incarnation: u64,
    limits: FlowLimits,
    local: LocalTarget,
    services: Services,
    peers: Peers,
    held: Held,
    /// Flows to close because their address now belongs to another service.
    reassigned: Vec<FlowId>,
    queue: WaitQueue<B>,
    /// Whether capacity may have become available since the queue was last served.
    has_new_capacity: bool,
    rates: Rates,
    redirects: Redirects,
    searches: Searches<B>,
    /// Unknown flows that no peer held, with the time of the first search that ended so.
    suspects: LruMap<FlowId, Millis>,
    questions: Bucket,
    notices: Bucket,
    guesses: Bucket,
    sequence: u64,
    rng: SmallRng,
    counters: Counters,
}

impl<B> Flows<B> {
    /// Creates an empty table for the agent of target `me`. `seed` seeds its random choices.
    #[must_use]
    pub fn new(me: TargetId, limits: FlowLimits, seed: u64) -> Self {
        Self {
            me,
            group: None,
            incarnation: 0,
            limits,
            local: LocalTarget::new(),
            services: Services::default(),
            peers: Peers::default(),
            held: Held::new(&limits),
            reassigned: Vec::new(),
            queue: WaitQueue::new(),
            has_new_capacity: false,
            rates: Rates::new(limits.callers),
            redirects: Redirects::new(limits.redirects),
            searches: Searches::new(),
            suspects: LruMap::new(limits.suspects),
            questions: full_bucket(limits.questions_per_s),
            notices: full_bucket(limits.questions_per_s),
            guesses: full_bucket(limits.guesses_per_s),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Decides what to do with a packet and appends the actions to `out`.
    pub fn on_packet(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        let before = out.len();
        self.close_reassigned(now, out);
        self.serve_queue_if_due(now, out);
        self.decide(now, packet, out);
        self.counters.count(&out[before..]);
    }

    /// Sets the initial sequence number with which the endpoint answers the SYN.
    ///
    /// To be called right after [`Action::Open`]: before that, no acknowledgement is accepted as
    /// being for this endpoint.
    pub fn on_isn(&mut self, flow: &FlowId, isn: u32) {
        self.held.set_isn(flow, isn);
    }

    /// The endpoint finished the handshake and starts connecting to the target.
    pub fn on_established(&mut self, now: Millis, flow: &FlowId) {
        self.held.establish(flow);
        self.local.on_connect_started(now);
    }

    /// The connection to the target for this flow failed or timed out. Closes the flow.
    pub fn on_connect_failed(&mut self, now: Millis, flow: &FlowId) {
        self.local.on_connect_failed(now);
        self.on_closed(now, flow);
    }

    /// Sets whether a request of the flow is waiting for the target's answer.
    pub fn on_busy(&mut self, flow: &FlowId, busy: bool) {
        if self.held.set_busy(flow, busy) && !busy {
            self.local.on_request_ended();
        }
    }

    /// The flow's endpoint is closed.
    pub fn on_closed(&mut self, now: Millis, flow: &FlowId) {
        self.held.close(now, flow);
        self.has_new_capacity = true;
    }

    /// A peer asks whether this agent holds a flow.
    pub fn on_question(
        &mut self,
        _now: Millis,
        from: TargetId,
        flow: FlowId,
        out: &mut Vec<Action<B>>,
    ) {
        let before = out.len();
        self.answer(from, flow, out);
        self.counters.count(&out[before..]);
    }

    /// A peer reports where a flow is, as an answer or as an unsolicited notice.
    pub fn on_reply(
        &mut self,
        now: Millis,
        from: TargetId,
        flow: FlowId,
        holding: Holding,
        out: &mut Vec<Action<B>>,
    ) {
        let before = out.len();
        self.handle_reply(now, from, flow, holding, out);
        self.counters.count(&out[before..]);
    }

    /// Takes a peer's load report.
    pub fn on_load(&mut self, now: Millis, report: LoadReport) {
        self.peers.on_load(now, report);
        self.has_new_capacity = true;
    }

    /// Sets the targets of this target's pools, as listed by a balancer.
    ///
    /// To be called on every change. [`confirm_peers`](Self::confirm_peers) is to be called on
    /// every balancer answer without a change: until the list is confirmed, packets of a flow that
    /// no peer holds are dropped instead of being answered with a reset. The list may contain this
    /// target's own record.
    pub fn set_peers(&mut self, now: Millis, peers: &[TargetRecord]) {
        if let Some(own) = peers.iter().find(|peer| peer.id == self.me) {
            self.group = Some(own.group);
        }
        self.peers.update(now, self.me, peers);
        self.has_new_capacity = true;
    }

    /// A balancer confirmed that the list of peers has not changed.
    pub fn confirm_peers(&mut self, now: Millis) {
        self.peers.confirm(now);
    }

    /// Sets the group that this target announced. Without a group no service is served.
    pub fn set_group(&mut self, group: GroupId) {
        self.group = Some(group);
    }

    /// Sets the agent's incarnation, which its load reports carry.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// Applies a revision. One with a lower number than the current one is ignored.
    ///
    /// Flows whose address moved to another service get no more packets. Their endpoints are closed
    /// on the next packet or tick.
    pub fn set_services(&mut self, revision: &Revision) {
        if revision.number < self.services.number() {
            return;
        }
        self.services = Services::build(revision);
        self.reassigned.extend(self.held.reassigned(&self.services));
        self.rates.retain(|id| self.services.has(id));
        self.has_new_capacity = true;
    }

    /// Sets this target's state.
    pub fn set_state(&mut self, now: Millis, state: TargetState) {
        self.local.set_state(now, state);
        self.has_new_capacity = true;
    }

    /// Sets the number of requests that this target can process at once.
    pub fn set_slots(&mut self, _now: Millis, slots: u16) {
        self.local.set_slots(slots);
    }

    /// Runs timers: timeouts, the wait queue and searches. To be called at least every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let before = out.len();
        self.close_reassigned(now, out);
        self.close_timed_out(now, out);
        self.held.forget_ended(now);
        self.local.on_tick(now, self.held.busy());
        self.serve_queue(now, out);
        self.tick_searches(now, out);
        self.counters.count(&out[before..]);
    }

    /// Returns the next report of this target's load, to be sent to the peers.
    pub fn load_report(&mut self, now: Millis) -> LoadReport {
        self.sequence += 1;
        self.report(now)
    }

    /// Time between two load reports.
    #[must_use]
    pub fn report_interval(&self) -> Millis {
        report_interval(self.peers.iter().count())
    }

    /// Number of flows held here, half-open ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.len() == 0
    }

    /// Number of half-open flows held here.
    #[must_use]
    pub fn half_open_count(&self) -> usize {
        self.held.half_open_len()
    }

    /// Number of SYNs waiting for capacity.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of callers whose rate of new flows is tracked.
    #[must_use]
    pub fn caller_count(&self) -> usize {
        self.rates.callers_len()
    }

    /// Number of ended flows that are remembered.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.held.ended_len()
    }

    /// Number of flows at peers that are remembered.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Number of searches in progress.
    #[must_use]
    pub fn search_count(&self) -> usize {
        self.searches.len()
    }

    /// Number of packets waiting for the outcome of a search.
    #[must_use]
    pub const fn search_packet_count(&self) -> usize {
        self.searches.kept()
    }

    /// Totals since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    fn decide(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if self.held.accepts(&packet.flow, &packet.segment) {
            self.deliver(now, packet, out);
            return;
        }
        // A RST is not dropped here, because it may be meant for another agent that answered the
        // same SYN. Processing it further is cheap, since it starts no search.
        if !packet.segment.rst && self.held.has_ended(&packet.flow, &packet.segment) {
            drop_for(DropReason::Stale, out);
            return;
        }
        let Some(service) = self.services.at(packet.flow.service) else {
            drop_for(DropReason::WrongService, out);
            return;
        };
        if !self.serves(service) {
            self.on_unserved(now, service, packet, out);
            return;
        }
        if packet.segment.is_initial_syn() {
            self.on_syn(now, service, packet, out);
        } else {
            self.on_ongoing(now, service, packet, out);
        }
    }

    fn deliver(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if let Arrival::Passed(sender) = packet.arrival
            && self.held.is_notice_due(now, &packet.flow, sender)
        {
            self.notify(now, sender, packet.flow, Holding::Here, out);
        }
        out.push(Action::Deliver { packet });
    }

    fn close_reassigned(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let reason = CloseReason::Reassigned;
        for flow in std::mem::take(&mut self.reassigned) {
            // The endpoint may have closed since the flow was listed.
            if self.held.contains(&flow) {
                self.held.close(now, &flow);
                out.push(Action::Close { flow, reason });
            }
        }
    }

    fn close_timed_out(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let reason = CloseReason::HalfOpenTimeout;
        while let Some(flow) = self.held.pop_timed_out(now) {
            out.push(Action::Close { flow, reason });
        }
    }

    /// Whether this target's group belongs to a pool of the service.
    fn serves(&self, service: ServiceKey) -> bool {
        self.group
            .is_some_and(|group| self.services.serves(service, group))
    }

    fn report(&mut self, now: Millis) -> LoadReport {
        LoadReport {
            sender: self.me,
            incarnation: self.incarnation,
            sequence: self.sequence,
            open: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            busy: self.held.busy(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            milli_slots: self.local.milli_slots(now, self.limits.ramp),
            takes_new: self.local.takes_new() && self.held.len() < self.limits.flows,
            milli_failures: self.local.milli_failures(now),
        }
    }
}

fn drop_for<B>(reason: DropReason, out: &mut Vec<Action<B>>) {
    out.push(Action::Drop { reason });
}

const fn full_bucket(per_s: u32) -> Bucket {
    Bucket::full(Millis::ZERO, Rate::per_s(per_s))
}
