//! The balancer's decisions: where a caller's packet is forwarded.
//!
//! A balancer keeps a flow table of the targets that it assigned flows to. Any other balancer may
//! receive the next packet of a flow, and then searches for the target that holds it. A flow table
//! entry is only a hint that saves the search: the agent has the authoritative state of its target
//! and rejects packets of flows that the target does not hold.

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

mod new_flow;
mod ongoing;
mod unclaimed;

use super::fleet::{Fleet, Member, Report, TargetKey};
use super::packet::{
    DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset, ResetReason, queue_timeout,
};
use super::search::Search;
use ongoing::{GONE_AFTER, NEGATIVE_ANSWER_TTL};
use unclaimed::Listing;

/// Maximum number of targets to which a new flow is offered before it is refused.
const MAX_OFFERS: usize = 8;

/// Time after which reports of all targets are assumed to have arrived, if the platform's list of
/// targets is not available. Until then a balancer neither refuses a flow for lack of a target nor
/// declares a flow lost.
const SETTLE_TIME: Millis = Millis::from_secs(3);

/// An agent without a report for this long has fallen silent: three of its reports were missed. A
/// balancer is isolated if all agents have.
const SILENT_AFTER: Millis = Millis(800);

/// Maximum number of removed service addresses that are remembered.
const REMOVED_ADDRESSES_MAX: usize = 10_000;

/// Minimum gap between two ticks that shows that the process itself was paused.
const PAUSE_MIN: Millis = Millis(600);

/// Offer and age of a packet that is sent to the target that holds its flow.
const HELD: (Offer, Millis) = (Offer::Held, Millis::ZERO);

/// Limits of one balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerLimits {
    /// Maximum number of flow table entries. The least recently used one is evicted first.
    pub flows: usize,
    /// Time after which the entry of an idle flow is removed.
    pub flow_timeout: Millis,
    /// Maximum number of concurrent searches.
    pub searches: usize,
    /// Maximum number of packets that wait for the result of one search.
    pub search_packets: usize,
}

/// An action of the balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BalancerAction<B> {
    /// Sends the packet to an agent.
    Forward {
        /// Address of the agent.
        to: SocketAddr,
        /// Why the packet is sent.
        offer: Offer,
        /// The group that the packet is meant for.
        group: GroupId,
        /// Request class of the flow's service, for new flows only.
        class: Option<RequestClass>,
        /// Time since the caller sent the first copy of the SYN, zero for other packets.
        age: Millis,
        /// The packet.
        bytes: B,
    },
    /// Asks an agent whether its target holds a flow.
    Ask {
        /// Address of the agent.
        to: SocketAddr,
        /// The flow.
        flow: FlowId,
    },
    /// Resets the caller's connection.
    Reset(Reset),
    /// Reads the platform's current list of targets, for [`Balancer::on_requested_list`].
    ListTargets {
        /// When the list was requested. It must not be read before.
        requested_at: Millis,
    },
    /// Drops the packet.
    Drop {
        /// The flow of the packet.
        flow: FlowId,
        /// Why the packet is dropped.
        reason: DropReason,
    },
}

/// Flow table entry: the presumed target of a flow.
#[derive(Clone, Copy, Debug)]
struct Entry {
    target: TargetKey,
    /// When the caller sent the first packet of the flow, as far as known.
    opened_at: Millis,
    /// Sequence number of the initial SYN, `None` if this balancer did not receive it.
    caller_isn: Option<u32>,
    /// Last acknowledgment number of the caller.
    caller_ack: Option<u32>,
    /// The caller's last packet carried data, so that it may be waiting for a response.
    may_await_answer: bool,
    /// When the agent confirmed that its target holds the flow. `None` while the flow was only
    /// offered, or forwarded without a confirmation: another target may have been quicker to answer
    /// another copy of the SYN, and a rejection may be lost.
    held_from: Option<Millis>,
    /// The agent keeps the SYN queued until this time at most.
    waits_until: Option<Millis>,
    /// The agent may queue the SYN until its target has capacity.
    may_wait: bool,
    /// Targets that were offered the flow before and did not accept it.
    tried: [Option<TargetKey>; MAX_OFFERS],
}

/// What a search has shown that ended without a result.
#[derive(Debug)]
struct Inconclusive {
    ended_at: Millis,
    /// Targets that gave a negative answer.
    not_held: Vec<TargetKey>,
    /// Number of probes in this search and those before it.
    probes: usize,
}

/// The balancer's tables. `B` is a packet's bytes, opaque here.
#[derive(Debug)]
pub struct Balancer<B> {
    domain: DomainId,
    limits: BalancerLimits,
    started_at: Millis,
    last_tick: Millis,
    revision: u64,
    services: Services,
    /// Addresses of services that a revision removed.
    removed_addresses: HashSet<SocketAddr>,
    addresses: HashSet<SocketAddr>,
    fleet: Fleet,
    flows: LruMap<FlowId, Entry>,
    searches: HashMap<FlowId, Search<B>>,
    /// Searches that ended without a result, for the next one for the flow.
    inconclusive: HashMap<FlowId, Inconclusive>,
    /// SYNs that arrived before a revision or a target was known, with their time of arrival.
    waiting_syns: Vec<(Millis, Packet<B>)>,
    listing: Listing,
    rng: SmallRng,
}

impl<B: Clone> Balancer<B> {
    /// Creates a balancer in a failure domain. `seed` seeds its random choices.
    #[must_use]
    pub fn new(now: Millis, domain: DomainId, limits: BalancerLimits, seed: u64) -> Self {
        Self {
            domain,
            limits,
            started_at: now,
            last_tick: now,
            revision: 0,
            services: Services::default(),
            removed_addresses: HashSet::new(),
            addresses: HashSet::new(),
            fleet: Fleet::new(domain),
            flows: LruMap::new(limits.flows),
            searches: HashMap::new(),
            inconclusive: HashMap::new(),
            waiting_syns: Vec::new(),
            listing: Listing::new(now),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a revision. One that is not later than the current one is ignored, and false is
    /// returned.
    ///
    /// Open flows stay at their targets.
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
        if self.removed_addresses.len() > REMOVED_ADDRESSES_MAX {
            self.removed_addresses.clear();
        }
        let gone = self.addresses.difference(&addresses).copied();
        self.removed_addresses.extend(gone);
        self.removed_addresses
            .retain(|address| !addresses.contains(address));
        self.addresses = addresses;
        true
    }

    /// Number of the revision in force, zero for none.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether callers can be served: a revision is in force and at least one agent reports. A
    /// balancer without reports from any agent is isolated, and another balancer serves its callers
    /// better. Without any known target it is ready once the settle time is over.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let is_agent_active = self
            .fleet
            .iter()
            .any(|(_, member)| member.is_seen_within_scaled(now, SILENT_AFTER));
        let is_empty = self.fleet.iter().next().is_none();
        self.revision > 0
            && (is_agent_active || (is_empty && now.since(self.started_at) > SETTLE_TIME))
    }

    /// Processes a report. Returns whether the target was unknown.
    pub fn on_report(&mut self, now: Millis, report: Report) -> bool {
        let is_new = self.fleet.key_of(report.target).is_none();
        self.fleet.on_report(now, report);
        self.listing.on_report(report.target, is_new);
        is_new
    }

    /// Whether the target has reported.
    #[must_use]
    pub fn has_reported(&self, target: TargetId) -> bool {
        self.fleet.key_of(target).is_some()
    }

    /// Addresses of the agents seen within `age`, `None` if fewer than half of them were: this
    /// balancer may be isolated then.
    #[must_use]
    pub fn active_agents(&self, now: Millis, age: Millis) -> Option<HashSet<SocketAddr>> {
        let active = self.fleet.iter();
        let active = active.filter(|(_, member)| member.is_seen_within(now, age));
        let active = active.map(|(_, member)| member.report.agent).collect();
        let has_quorum = self
            .fleet
            .has_quorum(|member| member.is_seen_within(now, age));
        has_quorum.then_some(active)
    }

    /// Whether at least half of the targets may be asked, so that this balancer is not isolated.
    fn has_quorum(&self, now: Millis) -> bool {
        self.fleet
            .has_quorum(|member| member.is_seen_within(now, GONE_AFTER))
    }

    /// Reports of all targets except those that are reported dead.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        let members = self.fleet.iter().map(|(_, member)| &member.report);
        members.filter(|report| report.state != TargetState::Dead)
    }

    /// Addresses of the agents of all targets, also of those that have ended: their next start may
    /// have the same agent.
    pub fn agents(&self) -> impl Iterator<Item = SocketAddr> {
        self.fleet.iter().map(|(_, member)| member.report.agent)
    }

    /// Number of flow table entries.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Processes a caller's packet. `repeats` is the number of earlier copies of a SYN that the
    /// caller sent.
    pub fn on_packet(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if packet.segment.is_initial_syn() {
            self.on_initial_syn(now, packet, repeats, out);
        } else {
            self.on_ongoing(now, packet, out);
        }
    }

    /// Processes a packet that an agent rejected.
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
            member.capacity_at = Some(now.after(rejected.retry_after));
        }
        let entry = self.flows.get(&packet.flow).copied();
        // A machine that took over the address of another one answers in its place.
        let is_current = entry.is_some_and(|entry| {
            entry.target == target || self.fleet.agent(entry.target) == self.fleet.agent(target)
        });
        if packet.segment.is_initial_syn() {
            match entry.filter(|_| is_current) {
                // The agent was allowed to queue the SYN, and would have done so if its target
                // could serve the caller in time.
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
            self.advance_search(now, packet.flow, out);
            return;
        }
        if is_current {
            self.flows.remove(&packet.flow);
        }
        match self.flows.get(&packet.flow).copied() {
            Some(entry) => self.forward(&entry, HELD, &packet.flow, packet.bytes, out),
            None => self.start_search(now, packet, Some(target), out),
        }
    }

    /// Processes an agent's answer on whether its target holds a flow.
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
        if holding == Holding::Here {
            self.listing.on_claimed(&flow);
        }
        let entry = self.flows.get_mut(&flow);
        if let Some(entry) = entry.filter(|entry| entry.target == target) {
            match holding {
                Holding::Here => _ = entry.held_from.get_or_insert(now),
                Holding::No => _ = self.flows.remove(&flow),
                Holding::Maybe | Holding::Waiting => {}
            }
        }
        if holding == Holding::Waiting {
            let class = self.request_class(&flow).unwrap_or_default();
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
            self.on_holder_found(now, flow, target, out);
        } else {
            search.on_answer(target, holding);
            self.advance_search(now, flow, out);
        }
    }

    /// Performs due work. Must be called at least every 50 ms.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        self.detect_pause(now);
        let flows: Vec<_> = self.searches.keys().copied().collect();
        for flow in flows {
            self.advance_search(now, flow, out);
        }
        let is_kept = |since: Millis| now.since(since) < NEGATIVE_ANSWER_TTL;
        self.inconclusive
            .retain(|_, search| is_kept(search.ended_at));
        self.end_unclaimed(now, out);
        self.reset_lost_flows(now, out);
        self.offer_waiting(now, out);
        while self
            .flows
            .pop_expired(now, self.limits.flow_timeout)
            .is_some()
        {}
        // No flow table entry refers to a target that has been silent for twice the flow timeout.
        let ttl = Millis(self.limits.flow_timeout.0 * 2);
        self.fleet.remove_inactive(now, ttl);
    }

    /// Detects that this process was paused, so that its pause is not mistaken for the silence of
    /// others, whose messages it has not read yet.
    fn detect_pause(&mut self, now: Millis) {
        if now.since(self.last_tick) > PAUSE_MIN {
            self.fleet.restart_timeouts(now);
            self.listing.restart_timeouts(now);
        }
        self.last_tick = now;
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
            // An agent keeps the request class for later packets of the service.
            class: self.request_class(flow).filter(|_| offer.is_new_flow()),
            age,
            bytes,
        });
    }

    /// Request class of the flow's service, `None` if no service has the address.
    fn request_class(&self, flow: &FlowId) -> Option<RequestClass> {
        let service = self.services.at(flow.service)?;
        Some(self.services.requests(service))
    }
}

impl Entry {
    /// Whether the target held the flow when its agent last reported.
    fn is_held(&self, member: &Member) -> bool {
        self.held_from
            .is_some_and(|from| member.last_report >= from)
    }

    /// How the SYN is offered, and the time since the caller sent its first copy.
    const fn offer(&self, now: Millis) -> (Offer, Millis) {
        let offer = if self.may_wait {
            Offer::New
        } else {
            Offer::IfIdle
        };
        (offer, now.since(self.opened_at))
    }

    /// A flow that has not been offered to any target yet.
    fn new_flow<B>(now: Millis, packet: &Packet<B>) -> Self {
        Self {
            caller_isn: Some(packet.segment.seq),
            held_from: None,
            ..Self::found(
                Millis(now.0.saturating_sub(packet.age.0)),
                TargetKey::default(),
            )
        }
    }

    /// A flow that is known to be held by the target.
    const fn found(now: Millis, target: TargetKey) -> Self {
        Self {
            target,
            opened_at: now,
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

fn drop_packet<B>(flow: FlowId, reason: DropReason, out: &mut Vec<BalancerAction<B>>) {
    out.push(BalancerAction::Drop { flow, reason });
}
