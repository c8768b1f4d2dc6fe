//! Where a new flow goes.
//!
//! The agent that gets an opening packet knows the load of its peers, and the balancer that sent
//! it here does not. So it may hand the packet to a peer. What it knows of the peer is old, while
//! the peer knows its own load exactly, so the peer compares once more and may redirect the packet.
//! After [`MAX_REDIRECTS`] the flow is opened or refused, and no packet goes round. Only an agent
//! that takes no new flow may still hand it on, a bounded number of times: a target that was just
//! drained looks idle to its peers until they hear of it. A repeated opening packet follows the
//! redirects of the first.

use rand::Rng;

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::id::TargetId;

use super::connection::Connection;
use super::load::{Estimate, JITTER_MILLI, Outlook, mean_milli};
use super::notice::LastNotice;
use super::ongoing::may_pass;
use super::packet::{Action, Arrival, CloseReason, DropReason, Packet, Relay};
use super::peers::Peer;
use super::redirects::Redirect;
use super::services::{PoolKey, ServiceKey};
use super::{Flows, drop_for};

/// Agents that may redirect one opening packet, so that the last one opens or refuses the flow.
pub const MAX_REDIRECTS: u32 = 3;

/// Redirects beyond [`MAX_REDIRECTS`] for agents that take no new flow.
pub const MAX_EXTRA_REDIRECTS: u32 = 2;

/// Where a new flow is to be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// At this target.
    Here,
    /// At a peer.
    Peer(TargetId),
    /// Nowhere yet: every target is full.
    Full,
    /// Nowhere: no target takes new flows.
    Nobody,
}

impl<B> Flows<B> {
    /// Decides about an opening packet of a flow that is not held here.
    pub(super) fn on_opening(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        self.suspects.remove(&packet.flow);
        if self.queue.contains(&packet.flow) {
            drop_for(DropReason::Waiting, out);
            return;
        }
        if let Some(redirect) = self.redirect_for_opening(now, service, &packet) {
            self.follow_with_opening(now, redirect, packet, out);
            return;
        }
        if let Err(wait) = self.admit(now, service, &packet) {
            self.refuse(packet, ErrorKind::RateLimited, wait, out);
            return;
        }
        if let Some(packet) = self.steer(now, service, packet, out) {
            self.wait_or_refuse(now, service, packet, out);
        }
    }

    /// Opens, hands or refuses a new flow, or returns its packet if every target is full.
    pub(super) fn steer(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) -> Option<Packet<B>> {
        match self.place(now, service, &packet) {
            Place::Here => self.open(now, service, packet, out),
            Place::Peer(to) => self.redirect_opening(now, service, to, packet, out),
            Place::Full => return Some(packet),
            Place::Nobody => self.refuse(packet, ErrorKind::NoTarget, Millis::ZERO, out),
        }
        None
    }

    /// Chooses the target for a new flow.
    fn place(&mut self, now: Millis, service: ServiceKey, packet: &Packet<B>) -> Place {
        let pool = self.services.pool_for(service, &packet.flow);
        if self.is_last(packet) {
            return self.place_last(pool);
        }
        let here = self.score_here(now, pool);
        let here = here.map(|score| (score, Place::Here));
        let sender = packet.arrival.sender();
        let mut peer = self.best_peer(now, pool, sender);
        // The sender asked for an old connection first. It may open the new one, if nobody else
        // does: what is redirected to it is not redirected again.
        if here.is_none() && peer.is_none() {
            peer = self.best_peer(now, pool, None);
        }
        let peer = peer.map(|(score, id)| (score, Place::Peer(id)));
        let best = here.into_iter().chain(peer).min_by_key(|(score, _)| *score);
        if let Some((_, place)) = best {
            return place;
        }
        if self.takes_new(pool) {
            Place::Full
        } else {
            Place::Nobody
        }
    }

    /// The flow is opened or refused here, whatever others could do.
    fn place_last(&self, pool: PoolKey) -> Place {
        if self.has_room(pool) {
            Place::Here
        } else if self.own.takes_new() {
            Place::Full
        } else {
            Place::Nobody
        }
    }

    /// Whether any target takes new flows of the pool, full or not.
    fn takes_new(&self, pool: PoolKey) -> bool {
        let peers = self
            .peers
            .iter()
            .any(|peer| peer.is_ready() && self.services.contains(pool, peer.record.group));
        self.own.takes_new() || peers
    }

    fn score_here(&mut self, now: Millis, pool: PoolKey) -> Option<(bool, u64)> {
        // By the rule this caller belongs to other targets, if there are any.
        let is_member = self
            .group
            .is_some_and(|group| self.services.contains(pool, group));
        let has_members = self
            .peers
            .iter()
            .any(|peer| self.services.contains(pool, peer.record.group));
        if !self.has_room(pool) || (!is_member && has_members) {
            return None;
        }
        // What this agent knows of itself is exact, so nothing is added to it.
        Some(Estimate::from(&self.report(now)).score(0))
    }

    fn best_peer(
        &mut self,
        now: Millis,
        pool: PoolKey,
        avoid: Option<TargetId>,
    ) -> Option<((bool, u64), TargetId)> {
        let limit = self.services.flows_per_target(pool);
        let outlook = self.outlook(now);
        let mut best = None;
        for peer in self.peers.iter() {
            let id = peer.record.id;
            let is_member = self.services.contains(pool, peer.record.group);
            if !is_member || Some(id) == avoid || !peer.has_room(limit) {
                continue;
            }
            let jitter = self.rng.random_range(0..JITTER_MILLI);
            let score = peer.estimate(now, &outlook).score(jitter);
            if best.is_none_or(|(other, _)| score < other) {
                best = Some((score, id));
            }
        }
        best
    }

    /// What the agents told last, taken together with this target's own load.
    fn outlook(&mut self, now: Millis) -> Outlook {
        let own = self.report(now);
        let told = self.peers.iter().filter_map(Peer::report);
        Outlook {
            mean_milli: mean_milli(std::iter::once(&own).chain(told)),
            request_time: self.own.request_time(),
            max_age: self.limits.load_max_age,
        }
    }

    /// Whether this target may open another flow of the pool.
    pub(super) fn has_room(&self, pool: PoolKey) -> bool {
        let limit = self.services.flows_per_target(pool).min(self.limits.flows);
        self.own.takes_new() && self.held.len() < limit
    }

    fn open(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let service = self.services.id(service);
        let connection = Connection::new(service, packet.segment.seq);
        if let Some(flow) = self.held.open(now, packet.flow, connection) {
            let reason = CloseReason::HalfOpenLimit;
            out.push(Action::Close { flow, reason });
        }
        self.redirects.remove(&packet.flow);
        out.push(Action::Open { packet });
    }

    fn redirect_opening(
        &mut self,
        now: Millis,
        service: ServiceKey,
        to: TargetId,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let redirect = Redirect {
            to,
            service: self.services.id(service),
            caller_isn: Some(packet.segment.seq),
            notice: LastNotice::default(),
        };
        self.redirects.insert(now, packet.flow, redirect);
        self.notify_sender(now, packet.arrival, packet.flow, to, out);
        self.peers.on_redirected(to);
        self.send(to, Relay::Redirect, packet, out);
    }

    /// The redirect that an opening packet follows.
    fn redirect_for_opening(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: &Packet<B>,
    ) -> Option<Redirect> {
        if self.is_last(packet) {
            return None;
        }
        let redirect = self.usable_redirect(service, packet)?;
        let peer = self.peers.get(redirect.to)?;
        // The caller repeats itself because nobody answers, and a peer that is silent towards
        // this agent as well is not waited for.
        if peer.is_silent(now, self.limits.load_max_age) {
            self.redirects.remove(&packet.flow);
            return None;
        }
        Some(redirect)
    }

    fn follow_with_opening(
        &mut self,
        now: Millis,
        redirect: Redirect,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        // Only the packet that was redirected before may be redirected again. Another one may open a new
        // connection between the same two ends: the peer knows whether it still has the old one.
        let is_repeated = redirect.caller_isn == Some(packet.segment.seq);
        let takes_new = self.peers.get(redirect.to).is_some_and(Peer::takes_new);
        let relay = if is_repeated && takes_new {
            Relay::Redirect
        } else {
            Relay::Pass
        };
        self.redirects.touch(now, &packet.flow);
        self.notify_sender(now, packet.arrival, packet.flow, redirect.to, out);
        self.send(redirect.to, relay, packet, out);
    }

    /// The redirect of a packet's flow, removed if it leads nowhere.
    pub(super) fn usable_redirect(
        &mut self,
        service: ServiceKey,
        packet: &Packet<B>,
    ) -> Option<Redirect> {
        let redirect = self.redirects.get(&packet.flow)?;
        let is_usable = redirect.service == self.services.id(service)
            && Some(redirect.to) != packet.arrival.sender()
            && self.peers.may_hold(redirect.to)
            && may_pass(packet);
        if !is_usable {
            self.redirects.remove(&packet.flow);
        }
        is_usable.then_some(redirect)
    }

    /// Whether the packet has been redirected as often as it may be.
    const fn is_last(&self, packet: &Packet<B>) -> bool {
        let max = if self.own.takes_new() {
            MAX_REDIRECTS
        } else {
            MAX_REDIRECTS + MAX_EXTRA_REDIRECTS
        };
        matches!(packet.arrival, Arrival::Redirected(_)) && packet.hops >= max
    }
}
