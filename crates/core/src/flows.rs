//! The agent's decisions about flows.
//!
//! The truth about a flow is beside the target that serves it, so the agent and not the balancer
//! decides what becomes of a packet. It owns the flows it opened, remembers which flows it redirected
//! to a peer, and searches for the holder of a flow it does not know before it resets it.
//!
//! Three rules carry the rest. Bytes reach a target only through the endpoint whose sequence
//! number the caller acknowledged, so they reach one target. An opening packet that was redirected to
//! an agent is opened or refused there, so it does not wander. A flow is reset only when every
//! peer that may hold it has said that it does not.

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
mod notice;
mod ongoing;
mod opening;
mod own;
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
pub use opening::{MAX_EXTRA_REDIRECTS, MAX_REDIRECTS};
pub use packet::{Action, Arrival, CloseReason, DropReason, Holding, Packet, Relay};

use crate::recent::Recent;
use bucket::{Bucket, Rate};
use held::Held;
use own::Own;
use peers::Peers;
use queue::WaitQueue;
use rates::Rates;
use redirects::Redirects;
use search::Searches;
use services::{ServiceKey, Services};

/// The agent's table of flows. `B` is a packet's bytes, opaque here.
#[derive(Debug)]
pub struct Flows<B> {
    me: TargetId,
    group: Option<GroupId>,
    incarnation: u64,
    limits: FlowLimits,
    own: Own,
    services: Services,
    peers: Peers,
    held: Held,
    /// Flows to close because their address belongs to another service.
    reassigned: Vec<FlowId>,
    queue: WaitQueue<B>,
    /// Whether a waiting flow may find room that it did not find before.
    has_new_room: bool,
    rates: Rates,
    redirects: Redirects,
    searches: Searches<B>,
    /// When a flow was first claimed by nobody.
    suspects: Recent<FlowId, Millis>,
    questions: Bucket,
    notices: Bucket,
    guesses: Bucket,
    sequence: u64,
    rng: SmallRng,
    counters: Counters,
}

impl<B> Flows<B> {
    /// A table without flows for the agent of target `me`. The seed makes its random choices.
    #[must_use]
    pub fn new(me: TargetId, limits: FlowLimits, seed: u64) -> Self {
        Self {
            me,
            group: None,
            incarnation: 0,
            limits,
            own: Own::new(),
            services: Services::default(),
            peers: Peers::default(),
            held: Held::new(&limits),
            reassigned: Vec::new(),
            queue: WaitQueue::new(),
            has_new_room: false,
            rates: Rates::new(limits.callers),
            redirects: Redirects::new(limits.redirects),
            searches: Searches::new(),
            suspects: Recent::new(limits.suspects),
            questions: full_bucket(limits.questions_per_s),
            notices: full_bucket(limits.questions_per_s),
            guesses: full_bucket(limits.guesses_per_s),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Decides about a packet.
    pub fn on_packet(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        let before = out.len();
        self.close_reassigned(now, out);
        self.serve_queue_if_due(now, out);
        self.decide(now, packet, out);
        self.counters.count(&out[before..]);
    }

    /// The endpoint answers the opening packet with this sequence number.
    ///
    /// To be told right after [`Action::Open`]: until then no acknowledgement counts as this
    /// endpoint's.
    pub fn on_isn(&mut self, flow: &FlowId, isn: u32) {
        self.held.set_isn(flow, isn);
    }

    /// The endpoint finished the handshake, and its target's connection is being opened.
    pub fn on_established(&mut self, now: Millis, flow: &FlowId) {
        self.held.establish(flow);
        self.own.on_connect_started(now);
    }

    /// The target refused or did not answer the connection for the flow, which is closed by that.
    pub fn on_connect_failed(&mut self, now: Millis, flow: &FlowId) {
        self.own.on_connect_failed(now);
        self.on_closed(now, flow);
    }

    /// Whether a request of the flow waits for the target's answer.
    pub fn on_busy(&mut self, flow: &FlowId, busy: bool) {
        if self.held.set_busy(flow, busy) && !busy {
            self.own.on_request_ended();
        }
    }

    /// The endpoint is gone.
    pub fn on_closed(&mut self, now: Millis, flow: &FlowId) {
        self.held.close(now, flow);
        self.has_new_room = true;
    }

    /// A peer asks for a flow.
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

    /// A peer says what it knows of a flow, asked or not.
    pub fn on_reply(
        &mut self,
        now: Millis,
        from: TargetId,
        flow: FlowId,
        holding: Holding,
        out: &mut Vec<Action<B>>,
    ) {
        let before = out.len();
        self.learn(now, from, flow, holding, out);
        self.counters.count(&out[before..]);
    }

    /// A peer tells its load.
    pub fn on_load(&mut self, now: Millis, report: LoadReport) {
        self.peers.on_load(now, report);
        self.has_new_room = true;
    }

    /// The targets of the pools that this target belongs to, as the balancers tell them.
    ///
    /// To be called with every change, and [`confirm_peers`](Self::confirm_peers) after every
    /// answer of a balancer that brings none: as long as the list is not confirmed, a flow that
    /// nobody claims is dropped and not reset. This target's own record may be among them.
    pub fn set_peers(&mut self, now: Millis, peers: &[TargetRecord]) {
        if let Some(own) = peers.iter().find(|peer| peer.id == self.me) {
            self.group = Some(own.group);
        }
        self.peers.update(now, self.me, peers);
        self.has_new_room = true;
    }

    /// A balancer said that the list of peers has not changed.
    pub fn confirm_peers(&mut self, now: Millis) {
        self.peers.confirm(now);
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
    ///
    /// Flows whose address was given to another service get no packet from now on, and the next
    /// packet or tick closes their endpoints.
    pub fn set_services(&mut self, revision: &Revision) {
        if revision.number < self.services.number() {
            return;
        }
        self.services = Services::build(revision);
        self.reassigned.extend(self.held.reassigned(&self.services));
        self.rates.retain(|id| self.services.has(id));
        self.has_new_room = true;
    }

    /// What this target can take.
    pub fn set_state(&mut self, now: Millis, state: TargetState) {
        self.own.set_state(now, state);
        self.has_new_room = true;
    }

    /// Requests that this target can work on at once.
    pub fn set_slots(&mut self, _now: Millis, slots: u16) {
        self.own.set_slots(slots);
    }

    /// Does what is due. To be called at least every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let before = out.len();
        self.close_reassigned(now, out);
        self.close_timed_out(now, out);
        self.held.forget_ended(now);
        self.own.on_tick(now, self.held.busy());
        self.serve_queue(now, out);
        self.tick_searches(now, out);
        self.counters.count(&out[before..]);
    }

    /// This target's load, to be sent to the peers.
    pub fn load_report(&mut self, now: Millis) -> LoadReport {
        self.sequence += 1;
        self.report(now)
    }

    /// Time until the next report is due after one.
    #[must_use]
    pub fn report_interval(&self) -> Millis {
        report_interval(self.peers.iter().count())
    }

    /// Flows held here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.len() == 0
    }

    /// Half-open flows among those held here.
    #[must_use]
    pub fn half_open_count(&self) -> usize {
        self.held.half_open_len()
    }

    /// Opening packets that wait for room.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Callers whose rate of new flows is remembered.
    #[must_use]
    pub fn caller_count(&self) -> usize {
        self.rates.callers_len()
    }

    /// Ended flows that are remembered.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.held.ended_len()
    }

    /// Flows at peers that are remembered.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Searches in progress.
    #[must_use]
    pub fn search_count(&self) -> usize {
        self.searches.len()
    }

    /// Packets that wait for the outcome of a search.
    #[must_use]
    pub const fn search_packet_count(&self) -> usize {
        self.searches.kept()
    }

    /// Sums since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    fn decide(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if self.held.takes(&packet.flow, &packet.segment) {
            self.deliver(now, packet, out);
            return;
        }
        // A reset may be meant for another agent, which answered the same opening packet. It starts
        // no search, so it may go on.
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
            self.on_opening(now, service, packet, out);
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
            // Its endpoint may be gone by itself since.
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
            milli_slots: self.own.milli_slots(now, self.limits.ramp),
            takes_new: self.own.takes_new() && self.held.len() < self.limits.flows,
            milli_failures: self.own.milli_failures(now),
        }
    }
}

fn drop_for<B>(reason: DropReason, out: &mut Vec<Action<B>>) {
    out.push(Action::Drop { reason });
}

const fn full_bucket(per_s: u32) -> Bucket {
    Bucket::full(Millis::ZERO, Rate::per_s(per_s))
}
