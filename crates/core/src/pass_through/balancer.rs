//! The balancer's decisions: where a caller's packet goes.
//!
//! A balancer remembers the target that it gave a flow to. Any other balancer may get the next
//! packet of the flow, and then searches for its target. What a balancer believes is only a guess
//! that saves the search: the agent answers for its target and gives back what is not its own.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::config::Revision;
use crate::flow::FlowId;
use crate::flows::services::{ServiceKey, Services};
use crate::id::{DomainId, GroupId, TargetId};
use crate::members::TargetState;
use crate::recent::Recent;

use super::fleet::{Fleet, Report, TargetKey};
use super::packet::{DropReason, Holding, Offer, Packet, Reset, ResetReason};
use super::search::{Progress, Search};
use super::steering::{self, Wish};

/// Targets that a new flow is offered to before it is refused.
const MAX_OFFERS: usize = 4;

/// Time after the start in which reports of all targets come, if it is not known which targets
/// there are. Until then a balancer refuses nothing for want of a target and takes no flow to be
/// lost.
const SETTLE: Millis = Millis::from_secs(3);

/// A target whose agent is silent for this long without having said that it is being stopped has
/// lost its machine or the way to it. Agents that crash are back sooner.
const LOST_AFTER: Millis = Millis(2_000);

/// A target whose agent is silent for this long is gone, whatever it said.
const GONE_AFTER: Millis = Millis::from_secs(8);

/// Time for which an opening packet waits for a revision or a target. The caller sends a copy
/// sooner, which then waits in its place.
const OPENING_WAIT: Millis = Millis(600);

/// Opening packets that wait at most.
const OPENINGS_MAX: usize = 1_024;

/// A gap between two ticks that shows that the process itself was paused.
const PAUSE: Millis = Millis(600);

/// Bounds of one balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerLimits {
    /// Flows that are remembered. The one idle for longest goes first.
    pub flows: usize,
    /// Time after which an idle flow is forgotten.
    pub flow_life: Millis,
    /// Searches at once.
    pub searches: usize,
    /// Packets that wait for the outcome of one search.
    pub search_packets: usize,
}

/// What a balancer does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BalancerAction<B> {
    /// Send the packet to an agent.
    Forward {
        /// The agent.
        to: SocketAddr,
        /// Why.
        offer: Offer,
        /// The group that the packet is meant for.
        group: GroupId,
        /// The packet.
        bytes: B,
    },
    /// Ask an agent for a flow.
    Ask {
        /// The agent.
        to: SocketAddr,
        /// The flow.
        flow: FlowId,
    },
    /// Reset the caller.
    Reset(Reset),
    /// Nothing.
    Drop(DropReason),
}

/// Where a flow is, as far as this balancer knows.
#[derive(Clone, Copy, Debug)]
struct Entry {
    target: TargetKey,
    /// Sequence number of the opening packet, if it came by here.
    caller_isn: Option<u32>,
    /// What the caller acknowledged last.
    caller_ack: Option<u32>,
    tried: [Option<TargetKey>; MAX_OFFERS],
}

/// The balancer's tables. `B` is a packet's bytes, opaque here.
#[derive(Debug)]
pub struct Balancer<B> {
    domain: DomainId,
    limits: BalancerLimits,
    started: Millis,
    ticked: Millis,
    revision: u64,
    services: Services,
    /// Addresses of services that a revision removed.
    removed: HashSet<SocketAddr>,
    addresses: HashSet<SocketAddr>,
    fleet: Fleet,
    flows: Recent<FlowId, Entry>,
    searches: HashMap<FlowId, Search<B>>,
    /// Opening packets that came before this balancer knew enough, by their time of arrival.
    openings: Vec<(Millis, Packet<B>)>,
    /// Targets that the platform lists and that have not reported yet, none before it was read.
    missing: Option<HashSet<TargetId>>,
    rng: SmallRng,
}

impl<B: Clone> Balancer<B> {
    /// A balancer of a failure domain. The seed makes its random choices.
    #[must_use]
    pub fn new(now: Millis, domain: DomainId, limits: BalancerLimits, seed: u64) -> Self {
        Self {
            domain,
            limits,
            started: now,
            ticked: now,
            revision: 0,
            services: Services::default(),
            removed: HashSet::new(),
            addresses: HashSet::new(),
            fleet: Fleet::default(),
            flows: Recent::new(limits.flows),
            searches: HashMap::new(),
            openings: Vec::new(),
            missing: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Puts a revision in force. One that is not later than the last is ignored.
    ///
    /// Open flows stay where they are.
    pub fn set_revision(&mut self, revision: &Revision) -> bool {
        if revision.number <= self.revision {
            return false;
        }
        self.revision = revision.number;
        self.services = Services::build(revision);
        let services = &revision.documents.services;
        let addresses: HashSet<_> = services
            .iter()
            .flat_map(|service| service.addresses.iter().copied())
            .collect();
        let gone = self.addresses.difference(&addresses).copied();
        self.removed.extend(gone);
        self.removed.retain(|address| !addresses.contains(address));
        self.addresses = addresses;
        true
    }

    /// Number of the revision in force, zero for none.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Offers the opening packets that waited, now that more may be known.
    fn offer_waiting(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        for (since, packet) in std::mem::take(&mut self.openings) {
            if now.since(since) >= OPENING_WAIT {
                out.push(BalancerAction::Drop(DropReason::NoTarget));
            } else {
                let entry = Entry::opening(&packet);
                self.offer(now, entry, packet, 0, since, out);
            }
        }
    }

    /// Keeps an opening packet until more is known.
    fn wait(&mut self, since: Millis, packet: Packet<B>, out: &mut Vec<BalancerAction<B>>) {
        self.openings.retain(|(_, other)| other.flow != packet.flow);
        if self.openings.len() < OPENINGS_MAX {
            self.openings.push((since, packet));
        } else {
            out.push(BalancerAction::Drop(DropReason::NoTarget));
        }
    }

    /// Whether callers can be served: a revision is in force and a target is known.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let has_target = self.fleet.iter().next().is_some();
        self.revision > 0 && (has_target || now.since(self.started) > SETTLE)
    }

    /// Takes a report. Returns whether the target was unknown.
    pub fn on_report(&mut self, now: Millis, report: Report) -> bool {
        let is_new = self.fleet.key_of(report.target).is_none();
        self.fleet.on_report(now, report);
        if let Some(missing) = &mut self.missing {
            missing.remove(&report.target);
        }
        is_new
    }

    /// Whether the target has reported.
    #[must_use]
    pub fn knows(&self, target: TargetId) -> bool {
        self.fleet.key_of(target).is_some()
    }

    /// Takes the list of all targets, as it was read after the start.
    pub fn set_listed(&mut self, targets: impl Iterator<Item = TargetId>) {
        let fleet = &self.fleet;
        let missing = targets.filter(|target| fleet.key_of(*target).is_none());
        self.missing = Some(missing.collect());
    }

    /// Whether all targets are known that may hold a flow.
    fn is_settled(&self, now: Millis) -> bool {
        let is_complete = self.missing.as_ref().is_some_and(HashSet::is_empty);
        is_complete || now.since(self.started) >= SETTLE
    }

    /// Reports of all targets that are not known to be gone.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        let members = self.fleet.iter().map(|(_, member)| &member.report);
        members.filter(|report| report.state != TargetState::Dead)
    }

    /// Flows that are remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Decides about a caller's packet. `repeats` counts the copies of an opening packet that the
    /// caller sent before.
    pub fn on_packet(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if packet.segment.opens() {
            self.on_opening(now, packet, repeats, out);
        } else {
            self.on_ongoing(now, packet, out);
        }
    }

    /// An agent gave a packet back.
    pub fn on_reject(
        &mut self,
        now: Millis,
        from: TargetId,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(target) = self.fleet.key_of(from) else {
            return;
        };
        let entry = self.flows.get(&packet.flow).copied();
        let is_current = entry.is_some_and(|entry| entry.target == target);
        if packet.segment.opens() {
            if let Some(entry) = entry.filter(|_| is_current) {
                self.offer_elsewhere(now, entry, packet, out);
            }
            return;
        }
        if let Some(search) = self.searches.get_mut(&packet.flow) {
            search.on_answer(target, Holding::No);
            self.advance(now, packet.flow, out);
            return;
        }
        if is_current {
            self.flows.remove(&packet.flow);
        }
        match self.flows.get(&packet.flow).copied() {
            Some(entry) => self.forward(&entry, Offer::Held, packet.bytes, out),
            None => self.search(now, packet, Some(target), out),
        }
    }

    /// An agent says what it knows of a flow.
    pub fn on_reply(
        &mut self,
        now: Millis,
        from: TargetId,
        flow: FlowId,
        holding: Holding,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(target) = self.fleet.key_of(from) else {
            return;
        };
        let known = self.flows.get(&flow).copied();
        if holding == Holding::No && known.is_some_and(|entry| entry.target == target) {
            self.flows.remove(&flow);
        }
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        if holding == Holding::Here {
            self.found(now, flow, target, out);
        } else {
            search.on_answer(target, holding);
            self.advance(now, flow, out);
        }
    }

    /// Does what is due. To be called at least every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        if now.since(self.ticked) > PAUSE {
            self.fleet.forgive_silence(now);
        }
        self.ticked = now;
        let flows: Vec<_> = self.searches.keys().copied().collect();
        for flow in flows {
            self.advance(now, flow, out);
        }
        self.reset_lost_flows(now, out);
        self.offer_waiting(now, out);
        while self.flows.pop_unused(now, self.limits.flow_life).is_some() {}
    }

    /// Resets the callers of targets that have been lost, also those that wait for nothing: their
    /// next request would be lost.
    ///
    /// A balancer that hears from few targets may itself be cut off, and concludes nothing.
    fn reset_lost_flows(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        let lost = self.fleet.take_lost(now, LOST_AFTER, GONE_AFTER);
        if lost.is_empty() {
            return;
        }
        let flows: Vec<_> = self
            .flows
            .newest_first()
            .filter(|(_, entry)| lost.contains(&entry.target))
            .map(|(flow, entry)| (*flow, entry.caller_ack))
            .collect();
        for (flow, ack) in flows {
            self.flows.remove(&flow);
            if let Some(seq) = ack {
                let reason = ResetReason::TargetLost;
                out.push(BalancerAction::Reset(Reset { flow, seq, reason }));
            }
        }
    }

    fn on_opening(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let known = self.flows.get(&packet.flow).copied();
        let known = known.filter(|entry| entry.caller_isn == Some(packet.segment.seq));
        if let Some(entry) = known {
            // The caller got no answer, and the agent gives back what its target does not answer.
            // So the agent or the way to it is the likely reason.
            if repeats > 0 {
                self.offer_elsewhere(now, entry, packet, out);
            } else {
                self.forward(&entry, Offer::New, packet.bytes, out);
            }
            return;
        }
        let entry = Entry::opening(&packet);
        self.offer(now, entry, packet, repeats, now, out);
    }

    fn offer_elsewhere(
        &mut self,
        now: Millis,
        mut entry: Entry,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(place) = entry.tried.iter_mut().find(|tried| tried.is_none()) else {
            self.refuse(&packet, ResetReason::Rejected, out);
            return;
        };
        *place = Some(entry.target);
        self.offer(now, entry, packet, 0, now, out);
    }

    /// Offers a new flow, whose packet came at `since`, to the best target that was not tried.
    fn offer(
        &mut self,
        now: Millis,
        mut entry: Entry,
        packet: Packet<B>,
        repeats: u32,
        since: Millis,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if self.revision == 0 {
            self.wait(since, packet, out);
            return;
        }
        let Some(service) = self.services.at(packet.flow.service) else {
            self.on_unknown_service(&packet, repeats, out);
            return;
        };
        match self.choose(now, service, &packet.flow, &entry.tried) {
            Some(target) => {
                self.fleet.member_mut(target).given += 1;
                entry.target = target;
                self.flows.insert(now, packet.flow, entry);
                self.forward(&entry, Offer::New, packet.bytes, out);
            }
            None if !self.is_settled(now) => self.wait(since, packet, out),
            None if entry.tried[0].is_some() => self.refuse(&packet, ResetReason::Rejected, out),
            None => self.refuse(&packet, ResetReason::NoTarget, out),
        }
    }

    fn choose(
        &mut self,
        now: Millis,
        service: ServiceKey,
        flow: &FlowId,
        tried: &[Option<TargetKey>],
    ) -> Option<TargetKey> {
        let services = &self.services;
        let pool = services.pool_for(service, flow);
        let tried: Vec<_> = tried.iter().flatten().copied().collect();
        let wish = Wish {
            groups: &|group| services.contains(pool, group),
            domain: self.domain,
            spill: services.spill(service),
            tried: &tried,
        };
        steering::choose(now, &self.fleet, &wish, &mut self.rng)
    }

    /// Refuses a new flow. Nothing of it has run, because no target has taken it.
    fn refuse(
        &mut self,
        packet: &Packet<B>,
        reason: ResetReason,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.flows.remove(&packet.flow);
        out.push(BalancerAction::Reset(Reset {
            flow: packet.flow,
            seq: 0,
            reason,
        }));
    }

    /// A service that was removed is refused at once. One that was never known may come with the
    /// next revision, so the caller's first packet is left to be repeated.
    fn on_unknown_service(
        &mut self,
        packet: &Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if repeats > 0 || self.removed.contains(&packet.flow.service) {
            self.refuse(packet, ResetReason::UnknownService, out);
        } else {
            out.push(BalancerAction::Drop(DropReason::UnknownService));
        }
    }

    fn on_ongoing(&mut self, now: Millis, packet: Packet<B>, out: &mut Vec<BalancerAction<B>>) {
        if let Some(search) = self.searches.get_mut(&packet.flow) {
            search.segment = packet.segment;
            if search.later.len() < self.limits.search_packets {
                search.later.push(packet.bytes);
            } else {
                out.push(BalancerAction::Drop(DropReason::SearchFull));
            }
            return;
        }
        let Some(entry) = self.flows.get(&packet.flow).copied() else {
            self.search(now, packet, None, out);
            return;
        };
        let member = self.fleet.get(entry.target);
        if member.report.state == TargetState::Dead && packet.segment.ack {
            // The target itself announced its end, and its flows ended with it.
            self.flows.remove(&packet.flow);
            out.push(BalancerAction::Reset(Reset {
                flow: packet.flow,
                seq: packet.segment.ack_seq,
                reason: ResetReason::TargetEnded,
            }));
        } else if member.is_heard(now, GONE_AFTER) {
            if let Some(entry) = self.flows.get_mut(&packet.flow)
                && packet.segment.ack
            {
                entry.caller_ack = Some(packet.segment.ack_seq);
            }
            self.flows.touch(now, &packet.flow);
            self.forward(&entry, Offer::Held, packet.bytes, out);
        } else {
            self.flows.remove(&packet.flow);
            self.search(now, packet, None, out);
        }
    }

    /// Asks all agents but the one that has just said no.
    fn search(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        not_at: Option<TargetKey>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        // Nobody waits for an answer to a reset.
        if packet.segment.rst {
            out.push(BalancerAction::Drop(DropReason::Ended));
            return;
        }
        if self.searches.len() >= self.limits.searches {
            out.push(BalancerAction::Drop(DropReason::SearchFull));
            return;
        }
        let flow = packet.flow;
        let asked = self.askable(now);
        let keys = asked.iter().map(|(key, _)| *key);
        let mut search = Search::new(now, packet.segment, keys, packet.bytes);
        for (key, to) in asked {
            if Some(key) == not_at {
                search.on_answer(key, Holding::No);
            } else {
                out.push(BalancerAction::Ask { to, flow });
            }
        }
        self.searches.insert(flow, search);
        self.advance(now, flow, out);
    }

    /// Targets that may hold a flow, with the addresses of their agents.
    fn askable(&self, now: Millis) -> Vec<(TargetKey, SocketAddr)> {
        self.fleet
            .iter()
            .filter(|(_, member)| member.report.state != TargetState::Dead)
            .filter(|(_, member)| member.is_heard(now, GONE_AFTER))
            .map(|(key, member)| (key, member.report.agent))
            .collect()
    }

    fn advance(&mut self, now: Millis, flow: FlowId, out: &mut Vec<BalancerAction<B>>) {
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        match search.progress(now) {
            Progress::Waiting => {}
            Progress::Try => {
                let packet = search.first.clone();
                let candidates: Vec<_> = search.candidates().collect();
                for target in candidates {
                    let entry = Entry::found(target);
                    self.forward(&entry, Offer::Trial, packet.clone(), out);
                }
            }
            Progress::AskAgain => {
                let asked = self.askable(now);
                if let Some(search) = self.searches.get_mut(&flow) {
                    search.ask_again(now, asked.iter().map(|(key, _)| *key));
                }
                out.extend(
                    asked
                        .into_iter()
                        .map(|(_, to)| BalancerAction::Ask { to, flow }),
                );
            }
            Progress::Nobody => {
                let segment = search.segment;
                self.searches.remove(&flow);
                self.on_unclaimed(now, flow, segment.ack.then_some(segment.ack_seq), out);
            }
            Progress::Unknown => {
                self.searches.remove(&flow);
                out.push(BalancerAction::Drop(DropReason::Unclaimed));
            }
        }
    }

    /// Every target was asked and does not hold the flow. That is proof only if all targets are
    /// known.
    fn on_unclaimed(
        &self,
        now: Millis,
        flow: FlowId,
        seq: Option<u32>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        match seq {
            Some(seq) if self.is_settled(now) => {
                let reason = ResetReason::Unclaimed;
                out.push(BalancerAction::Reset(Reset { flow, seq, reason }));
            }
            _ => out.push(BalancerAction::Drop(DropReason::Unclaimed)),
        }
    }

    fn found(
        &mut self,
        now: Millis,
        flow: FlowId,
        target: TargetKey,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(search) = self.searches.remove(&flow) else {
            return;
        };
        let entry = Entry::found(target);
        self.flows.insert(now, flow, entry);
        // The holder may have seen the first packet as a trial, and drops the copy of it.
        for bytes in std::iter::once(search.first).chain(search.later) {
            self.forward(&entry, Offer::Held, bytes, out);
        }
    }

    fn forward(&self, entry: &Entry, offer: Offer, bytes: B, out: &mut Vec<BalancerAction<B>>) {
        let report = &self.fleet.get(entry.target).report;
        out.push(BalancerAction::Forward {
            to: report.agent,
            offer,
            group: report.group,
            bytes,
        });
    }
}

impl Entry {
    /// A flow that was offered to nobody yet.
    fn opening<B>(packet: &Packet<B>) -> Self {
        Self {
            target: TargetKey::default(),
            caller_isn: Some(packet.segment.seq),
            caller_ack: None,
            tried: [None; MAX_OFFERS],
        }
    }

    const fn found(target: TargetKey) -> Self {
        Self {
            target,
            caller_isn: None,
            caller_ack: None,
            tried: [None; MAX_OFFERS],
        }
    }
}
