//! New flows: to whom they are offered, and when they are refused.
//!
//! A target that gives the opening packet back has not taken the flow, so the next one may be asked.
//! A refusal is sent at once, and only where nothing of the flow can have run. What a balancer does
//! not know yet, just after its start, is no reason to refuse: the packet waits.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::flows::services::ServiceKey;

use super::super::fleet::TargetKey;
use super::super::packet::{DropReason, Packet, Reset, ResetReason};
use super::super::steering::{self, SILENT_AFTER, Wish};
use super::{Balancer, BalancerAction, Entry, drop_for};

/// Time for which an opening packet waits for a revision or a target. The caller sends a copy
/// sooner, which then waits in its place.
const OPENING_WAIT: Millis = Millis(600);

/// Age of an opening at which it is refused instead of offered once more. The caller gives it up
/// 1,400 ms after its first packet, and would not learn of an answer that comes later.
const OPENING_LIFE: Millis = Millis(1_200);

/// Targets that are asked for a free slot by an offer. With four of five slots taken, half of the targets of
/// two slots have none, and four in a row have none for one flow in twenty.
const IDLE_OFFERS: usize = 4;

/// Opening packets that wait at most.
const OPENINGS_MAX: usize = 1_024;

impl<B: Clone> Balancer<B> {
    /// Offers the opening packets that waited, now that more may be known.
    pub(super) fn offer_waiting(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        for (since, packet) in std::mem::take(&mut self.openings) {
            if now.since(since) >= OPENING_WAIT {
                drop_for(packet.flow, DropReason::NoTarget, out);
            } else {
                let entry = Entry::opening(since, &packet);
                self.offer(now, entry, packet, 0, since, out);
            }
        }
    }

    /// Keeps an opening packet until more is known.
    pub(super) fn wait(
        &mut self,
        since: Millis,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.openings.retain(|(_, other)| other.flow != packet.flow);
        if self.openings.len() < OPENINGS_MAX {
            self.openings.push((since, packet));
        } else {
            drop_for(packet.flow, DropReason::NoTarget, out);
        }
    }

    pub(super) fn on_opening(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.denials.remove(&packet.flow);
        let known = self.flows.get(&packet.flow).copied();
        let known = known.filter(|entry| entry.caller_isn == Some(packet.segment.seq));
        if let Some(entry) = known {
            // The caller got no answer, and the agent gives back what its target does not answer.
            // So the agent or the way to it is the likely reason, unless the packet waits there.
            if repeats > 0 && self.waits_for_room(now, &entry) {
                drop_for(packet.flow, DropReason::Waiting, out);
            } else if repeats > 0 {
                self.offer_elsewhere(now, entry, packet, out);
            } else {
                self.forward(&entry, entry.offer(now), &packet.flow, packet.bytes, out);
            }
            return;
        }
        let entry = Entry::opening(now, &packet);
        self.offer(now, entry, packet, repeats, now, out);
    }

    fn waits_for_room(&self, now: Millis, entry: &Entry) -> bool {
        let is_heard = self.fleet.get(entry.target).is_in_touch(now, SILENT_AFTER);
        is_heard && entry.waits_until.is_some_and(|end| now < end)
    }

    pub(super) fn offer_elsewhere(
        &mut self,
        now: Millis,
        mut entry: Entry,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let is_over = now.since(entry.since) >= OPENING_LIFE;
        let place = entry.tried.iter_mut().find(|tried| tried.is_none());
        let Some(place) = place.filter(|_| !is_over) else {
            self.refuse(&packet, ResetReason::Rejected, out);
            return;
        };
        *place = Some(entry.target);
        self.offer(now, entry, packet, 0, now, out);
    }

    /// Offers a new flow, whose packet came at `since`, to the best target that was not tried.
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
            self.wait(since, packet, out);
            return;
        }
        let Some(service) = self.services.at(packet.flow.service) else {
            self.on_unknown_service(&packet, repeats, out);
            return;
        };
        match self.choose(now, service, &packet.flow, &entry) {
            Some((target, may_wait)) => {
                self.fleet.member_mut(target).given += 1;
                entry.target = target;
                entry.may_wait = may_wait;
                entry.waits_until = None;
                entry.held_from = None;
                self.flows.insert(now, packet.flow, entry);
                self.forward(&entry, entry.offer(now), &packet.flow, packet.bytes, out);
            }
            None if !self.is_settled(now) => self.wait(since, packet, out),
            None if entry.tried[0].is_some() => self.refuse(&packet, ResetReason::Rejected, out),
            None => self.refuse(&packet, ResetReason::NoTarget, out),
        }
    }

    /// The target to be offered a new flow next, and whether the opening packet may wait there.
    ///
    /// Reports are too old to say who has a free slot now, so a few targets are asked by the offer itself,
    /// and those without one give it back at once. Where none of them has a free slot, the packet waits
    /// at the one that will have room first.
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
        let mut wish = Wish {
            groups: &|group| services.contains(pool, group),
            domain: self.domain,
            spill: services.spill(service),
            tried: &tried,
            only_with_room: true,
        };
        if tried.len() < IDLE_OFFERS
            && let Some(target) = steering::choose(now, &self.fleet, &wish, &mut self.rng)
        {
            return Some((target, false));
        }
        let fleet = &self.fleet;
        let (full, useless): (Vec<_>, Vec<_>) = tried
            .iter()
            .copied()
            .partition(|target| fleet.get(*target).room_at.is_some());
        let soonest = full
            .into_iter()
            .filter(|target| steering::takes_flows(now, fleet.get(*target)))
            .min_by_key(|target| fleet.get(*target).room_at);
        let target = soonest.or_else(|| {
            wish.tried = &useless;
            wish.only_with_room = false;
            steering::choose(now, fleet, &wish, &mut self.rng)
        });
        Some((target?, true))
    }

    /// Refuses a new flow. Nothing of it has run, because no target has taken it.
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

    /// A service that was removed is refused at once. One that was never known may come with the
    /// next revision, so the caller's first packet is left to be repeated.
    pub(super) fn on_unknown_service(
        &mut self,
        packet: &Packet<B>,
        repeats: u32,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        if repeats > 0 || self.removed.contains(&packet.flow.service) {
            self.refuse(packet, ResetReason::UnknownService, out);
        } else {
            drop_for(packet.flow, DropReason::UnknownService, out);
        }
    }
}
