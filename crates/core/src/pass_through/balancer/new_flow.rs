//! New flows: which targets they are offered to, and when they are refused.
//!
//! A target that rejects the initial SYN has not accepted the flow, so the next target can be
//! tried. A flow is refused immediately, and only where no part of it can have been processed.
//! Information that is still incomplete shortly after the start is no reason to refuse: the SYN
//! waits.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::flows::services::ServiceKey;

use super::super::fleet::TargetKey;
use super::super::packet::{DropReason, Packet, Reset, ResetReason};
use super::super::steering::{self, Criteria, REPORT_TIMEOUT};
use super::{Balancer, BalancerAction, Entry, drop_packet};

/// Time for which a SYN waits for a revision or a target. The caller retransmits it sooner, and the
/// retransmission replaces it.
const SYN_WAIT_MAX: Millis = Millis(600);

/// Age at which a SYN is refused instead of offered once more. The caller gives up 1,400 ms after
/// its first packet, and would not receive a later answer.
const OFFER_DEADLINE: Millis = Millis(1_200);

/// Number of targets that are offered a flow on condition that they have a free slot. With four of
/// five slots in use, half of the targets with two slots have no free slot, and one flow in twenty
/// meets four such targets in a row.
const IDLE_OFFERS: usize = 4;

/// Maximum number of waiting SYNs.
const WAITING_SYNS_MAX: usize = 1_024;

impl<B: Clone> Balancer<B> {
    /// Offers the waiting SYNs again, since a revision or a target may have become known.
    pub(super) fn offer_waiting(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        for (since, packet) in std::mem::take(&mut self.waiting_syns) {
            if now.since(since) >= SYN_WAIT_MAX {
                drop_packet(packet.flow, DropReason::NoTarget, out);
            } else {
                let entry = Entry::new_flow(since, &packet);
                self.offer(now, entry, packet, 0, since, out);
            }
        }
    }

    /// Queues a SYN until a revision or a target is known.
    pub(super) fn queue_syn(
        &mut self,
        since: Millis,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.waiting_syns
            .retain(|(_, other)| other.flow != packet.flow);
        if self.waiting_syns.len() < WAITING_SYNS_MAX {
            self.waiting_syns.push((since, packet));
        } else {
            drop_packet(packet.flow, DropReason::NoTarget, out);
        }
    }

    pub(super) fn on_initial_syn(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.inconclusive.remove(&packet.flow);
        self.listing.on_claimed(&packet.flow);
        let known = self.flows.get(&packet.flow).copied();
        let known = known.filter(|entry| entry.caller_isn == Some(packet.segment.seq));
        if let Some(entry) = known {
            // The caller got no answer. An agent rejects a SYN that its target does not answer, so
            // the agent or the path to it has probably failed, unless the agent has queued the SYN.
            if repeats > 0 && self.waits_for_capacity(now, &entry) {
                drop_packet(packet.flow, DropReason::Waiting, out);
            } else if repeats > 0 {
                self.offer_elsewhere(now, entry, packet, out);
            } else {
                self.forward(&entry, entry.offer(now), &packet.flow, packet.bytes, out);
            }
            return;
        }
        let entry = Entry::new_flow(now, &packet);
        self.offer(now, entry, packet, repeats, now, out);
    }

    fn waits_for_capacity(&self, now: Millis, entry: &Entry) -> bool {
        let is_agent_active = self
            .fleet
            .get(entry.target)
            .is_seen_within_scaled(now, REPORT_TIMEOUT);
        is_agent_active && entry.waits_until.is_some_and(|end| now < end)
    }

    pub(super) fn offer_elsewhere(
        &mut self,
        now: Millis,
        mut entry: Entry,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let is_over = now.since(entry.opened_at) >= OFFER_DEADLINE;
        let unused = entry.tried.iter_mut().find(|tried| tried.is_none());
        let Some(unused) = unused.filter(|_| !is_over) else {
            self.refuse(&packet, ResetReason::Rejected, out);
            return;
        };
        *unused = Some(entry.target);
        self.offer(now, entry, packet, 0, now, out);
    }

    /// Offers a new flow, whose SYN arrived at `since`, to the best target that was not tried yet.
    pub(super) fn offer(
        &mut self,
        now: Millis,
        mut entry: Entry,
        packet: Packet<B>,
        repeats: u32,
        since: Millis,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if self.revision == 0 {
            self.queue_syn(since, packet, out);
            return;
        }
        let Some(service) = self.services.at(packet.flow.service) else {
            self.on_unknown_service(&packet, repeats, out);
            return;
        };
        match self.choose(now, service, &packet.flow, &entry) {
            Some((target, may_wait)) => {
                self.fleet.member_mut(target).assigned += 1;
                entry.target = target;
                entry.may_wait = may_wait;
                entry.waits_until = None;
                entry.held_from = None;
                self.flows.insert(now, packet.flow, entry);
                self.forward(&entry, entry.offer(now), &packet.flow, packet.bytes, out);
            }
            None if !self.listing.is_settled(now) => self.queue_syn(since, packet, out),
            None if entry.tried[0].is_some() => self.refuse(&packet, ResetReason::Rejected, out),
            None => self.refuse(&packet, ResetReason::NoTarget, out),
        }
    }

    /// Chooses the next target to offer a new flow to, and whether its agent may queue the SYN.
    ///
    /// Reports are too old to show which targets have a free slot now. So the flow is offered to a
    /// few targets in turn, and those without a free slot reject it at once. If none of them has
    /// one, the SYN is queued for the target that expects to have capacity first.
    fn choose(
        &mut self,
        now: Millis,
        service: ServiceKey,
        flow: &FlowId,
        entry: &Entry,
    ) -> Option<(TargetKey, bool)> {
        let services = &self.services;
        let pool = services.pool_for(service, flow);
        let tried: Vec<_> = entry.tried.iter().flatten().copied().collect();
        let mut criteria = Criteria {
            groups: &|group| services.contains(pool, group),
            domain: self.domain,
            spill: services.spill(service),
            tried: &tried,
            only_with_capacity: true,
        };
        if tried.len() < IDLE_OFFERS
            && let Some(target) = steering::choose(now, &self.fleet, &criteria, &mut self.rng)
        {
            return Some((target, false));
        }
        let fleet = &self.fleet;
        let (full, unusable): (Vec<_>, Vec<_>) = tried
            .iter()
            .copied()
            .partition(|target| fleet.get(*target).capacity_at.is_some());
        let soonest = full
            .into_iter()
            .filter(|target| steering::is_assignable(now, fleet.get(*target)))
            .min_by_key(|target| fleet.get(*target).capacity_at);
        let target = soonest.or_else(|| {
            criteria.tried = &unusable;
            criteria.only_with_capacity = false;
            steering::choose(now, fleet, &criteria, &mut self.rng)
        });
        Some((target?, true))
    }

    /// Refuses a new flow. No part of it has been processed, because no target has accepted it.
    pub(super) fn refuse(
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

    /// Refuses a flow to a removed service at once. An unknown service may be added by the next
    /// revision, so the caller's first SYN is dropped and the caller retransmits it.
    pub(super) fn on_unknown_service(
        &mut self,
        packet: &Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if repeats > 0 || self.removed_addresses.contains(&packet.flow.service) {
            self.refuse(packet, ResetReason::UnknownService, out);
        } else {
            drop_packet(packet.flow, DropReason::UnknownService, out);
        }
    }
}
