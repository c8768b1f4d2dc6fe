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
use crate::config::{RequestClass, Revision};
use crate::flow::FlowId;
use crate::flows::services::Services;
use crate::id::{DomainId, GroupId, TargetId};
use crate::lru_map::LruMap;
use crate::members::TargetState;

mod ongoing;
mod opening;

use super::fleet::{Fleet, Member, Report, TargetKey};
use super::packet::{
    DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset, ResetReason, queue_timeout,
};
use super::search::Search;
use ongoing::DENIAL_LIFE;

/// Targets that a new flow is offered to before it is refused.
const MAX_OFFERS: usize = 8;

/// Time after the start in which reports of all targets come, if it is not known which targets
/// there are. Until then a balancer refuses nothing for want of a target and takes no flow to be
/// lost.
const SETTLE: Millis = Millis::from_secs(3);

/// A balancer that heard from no agent for this long is cut off: three reports of each are missing.
const CUT_OFF_AFTER: Millis = Millis(800);

/// Removed addresses that are remembered at most.
const REMOVED_MAX: usize = 10_000;

/// A gap between two ticks that shows that the process itself was paused.
const PAUSE: Millis = Millis(600);

/// How a packet is sent to the target that holds its flow.
const HELD: (Offer, Millis) = (Offer::Held, Millis::ZERO);

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
        /// What the caller of a new flow expects.
        class: Option<RequestClass>,
        /// Time since the caller of a new flow sent its first packet.
        age: Millis,
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
    Drop {
        /// The flow of the packet.
        flow: FlowId,
        /// Why.
        reason: DropReason,
    },
}

/// Where a flow is, as far as this balancer knows.
#[derive(Clone, Copy, Debug)]
struct Entry {
    target: TargetKey,
    /// When its first packet came by here.
    since: Millis,
    /// Sequence number of the opening packet, if it came by here.
    caller_isn: Option<u32>,
    /// What the caller acknowledged last.
    caller_ack: Option<u32>,
    /// The caller's last packet carried data, so that it may wait for an answer.
    may_await_answer: bool,
    /// A report of the agent from then on shows that its target holds the flow, none while the flow was
    /// only offered. Another target may have been quicker to answer another copy of the opening packet.
    held_from: Option<Millis>,
    /// The opening packet waits at the agent until then.
    waits_until: Option<Millis>,
    /// The target may keep the opening packet until it has room.
    may_wait: bool,
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
    flows: LruMap<FlowId, Entry>,
    searches: HashMap<FlowId, Search<B>>,
    /// Who denied a flow in a search that came to no end, and when that was.
    denials: HashMap<FlowId, (Millis, Vec<TargetKey>)>,
    /// Opening packets that came before this balancer knew enough, by their time of arrival.
    openings: Vec<(Millis, Packet<B>)>,
    /// Targets that the platform lists and that have not reported yet, none before it was read.
    missing: Option<HashSet<TargetId>>,
    /// Since when lists of the platform may lack a target: the start, or its return from a copy.
    doubted: Millis,
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
            fleet: Fleet::new(domain),
            flows: LruMap::new(limits.flows),
            searches: HashMap::new(),
            denials: HashMap::new(),
            openings: Vec::new(),
            missing: None,
            doubted: now,
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
        if self.removed.len() > REMOVED_MAX {
            self.removed.clear();
        }
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

    /// Whether callers can be served: a revision is in force, and an agent is heard. A balancer that
    /// hears from none is cut off, and another one serves its callers better.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let is_heard = self
            .fleet
            .iter()
            .any(|(_, member)| member.is_in_touch(now, CUT_OFF_AFTER));
        let is_empty = self.fleet.iter().next().is_none();
        self.revision > 0 && (is_heard || (is_empty && now.since(self.started) > SETTLE))
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

    /// The platform has come back from a copy: agents and balancers that started a moment ago may not find
    /// one another by its lists. A list that was read before proves nothing any more.
    pub fn doubt_lists(&mut self, now: Millis) {
        self.missing = None;
        self.doubted = now;
    }

    /// Addresses of the agents that were heard within `age`, none if that is less than half of them:
    /// this balancer may be cut off then.
    #[must_use]
    pub fn heard(&self, now: Millis, age: Millis) -> Option<HashSet<SocketAddr>> {
        let heard = self.fleet.iter();
        let heard = heard.filter(|(_, member)| member.is_heard(now, age));
        let heard = heard.map(|(_, member)| member.report.agent).collect();
        let hears_most = self.fleet.hears_most(|member| member.is_heard(now, age));
        hears_most.then_some(heard)
    }

    /// Whether all targets are known that may hold a flow.
    fn is_settled(&self, now: Millis) -> bool {
        let is_complete = self.missing.as_ref().is_some_and(HashSet::is_empty);
        is_complete || now.since(self.doubted) >= SETTLE
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
        rejected: Rejected,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(target) = self.fleet.key_of(from) else {
            return;
        };
        let is_full = rejected.reason == RejectReason::Full;
        if is_full {
            let member = self.fleet.member_mut(target);
            member.room_at = Some(now.after(rejected.retry_after));
        }
        let entry = self.flows.get(&packet.flow).copied();
        // A machine that replaced another one at its address answers in its place.
        let is_current = entry.is_some_and(|entry| {
            entry.target == target || self.fleet.agent(entry.target) == self.fleet.agent(target)
        });
        if packet.segment.opens() {
            match entry.filter(|_| is_current) {
                // The target was to keep the packet if its caller could be served in time.
                Some(entry) if entry.may_wait && is_full => {
                    self.refuse(&packet, ResetReason::Rejected, out);
                }
                Some(entry) => self.offer_elsewhere(now, entry, packet, out),
                None => {}
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
            Some(entry) => self.forward(&entry, HELD, &packet.flow, packet.bytes, out),
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
        if holding == Holding::Waiting {
            let class = self.class_of(&flow).unwrap_or_default();
            if let Some(entry) = self.flows.get_mut(&flow)
                && entry.target == target
            {
                entry.waits_until = Some(now.after(queue_timeout(&class)));
            }
            return;
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
        let is_kept = |since: Millis| now.since(since) < DENIAL_LIFE;
        self.denials.retain(|_, (since, _)| is_kept(*since));
        self.reset_lost_flows(now, out);
        self.offer_waiting(now, out);
        while self.flows.pop_expired(now, self.limits.flow_life).is_some() {}
        // No flow refers to a target that has been silent for twice the life of one.
        let life = Millis(self.limits.flow_life.0 * 2);
        self.fleet.forget_silent(now, life);
    }

    fn forward(
        &self,
        entry: &Entry,
        (offer, age): (Offer, Millis),
        flow: &FlowId,
        bytes: B,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let report = &self.fleet.get(entry.target).report;
        out.push(BalancerAction::Forward {
            to: report.agent,
            offer,
            group: report.group,
            // An agent keeps the class for the later packets of the service.
            class: self.class_of(flow).filter(|_| offer.is_new_flow()),
            age,
            bytes,
        });
    }

    /// What the flow's caller expects, none if no service has the address.
    fn class_of(&self, flow: &FlowId) -> Option<RequestClass> {
        let service = self.services.at(flow.service)?;
        Some(self.services.requests(service))
    }
}

impl Entry {
    /// Whether the target holds the flow, as far as its agent can have said otherwise.
    fn is_held(&self, member: &Member) -> bool {
        self.held_from.is_some_and(|from| member.reported >= from)
    }

    /// How the opening packet is offered, and the time since its caller sent the first copy.
    const fn offer(&self, now: Millis) -> (Offer, Millis) {
        let offer = if self.may_wait {
            Offer::New
        } else {
            Offer::IfIdle
        };
        (offer, now.since(self.since))
    }

    /// A flow that was offered to nobody yet.
    fn opening<B>(now: Millis, packet: &Packet<B>) -> Self {
        Self {
            caller_isn: Some(packet.segment.seq),
            held_from: None,
            ..Self::found(
                Millis(now.0.saturating_sub(packet.age.0)),
                TargetKey::default(),
            )
        }
    }

    /// A flow that its target's agent has claimed.
    const fn found(now: Millis, target: TargetKey) -> Self {
        Self {
            target,
            since: now,
            caller_isn: None,
            caller_ack: None,
            may_await_answer: false,
            held_from: Some(now),
            waits_until: None,
            may_wait: false,
            tried: [None; MAX_OFFERS],
        }
    }
}

fn drop_for<B>(flow: FlowId, reason: DropReason, out: &mut Vec<BalancerAction<B>>) {
    out.push(BalancerAction::Drop { flow, reason });
}
