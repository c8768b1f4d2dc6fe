//! Placement of new flows.
//!
//! Load reports go to agents and not to balancers, so the agent that receives a SYN may redirect it
//! to a less loaded peer. The peer's report is already outdated by then, while the peer itself has
//! its exact load. The peer therefore compares again and may redirect once more. After
//! [`MAX_REDIRECTS`] the flow is opened or refused, so no SYN circulates. An agent that takes no
//! new flows may still redirect up to [`MAX_EXTRA_REDIRECTS`] more times, because a target that has
//! just started to drain looks idle to its peers until they learn of its state. A retransmitted SYN
//! follows the redirects of the first one.

use rand::Rng;

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::id::TargetId;

use super::connection::Connection;
use super::load::{Estimate, Forecast, JITTER_MILLI, mean_milli};
use super::notice::LastNotice;
use super::ongoing::may_pass;
use super::packet::{Action, Arrival, CloseReason, DropReason, Packet, Relay};
use super::peers::Peer;
use super::redirects::Redirect;
use super::services::{PoolKey, ServiceKey};
use super::{Flows, drop_for};

/// Maximum number of redirects of one SYN. After that the agent opens or refuses the flow.
pub const MAX_REDIRECTS: u32 = 3;

/// Redirects beyond [`MAX_REDIRECTS`] that only agents that take no new flows may use.
pub const MAX_EXTRA_REDIRECTS: u32 = 2;

/// Where to open a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Placement {
    /// On this target.
    Here,
    /// On a peer.
    Peer(TargetId),
    /// Not yet: every target is saturated.
    Saturated,
    /// Nowhere: no target takes new flows.
    NoTarget,
}

impl<B> Flows<B> {
    /// Handles the initial SYN of a flow that is not held here.
    pub(super) fn on_syn(
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
        if let Some(redirect) = self.redirect_for_syn(now, service, &packet) {
            self.follow_with_syn(now, redirect, packet, out);
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

    /// Opens, redirects or refuses a new flow. Returns the packet if every target is saturated.
    pub(super) fn steer(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) -> Option<Packet<B>> {
        match self.choose_target(now, service, &packet) {
            Placement::Here => self.open(now, service, packet, out),
            Placement::Peer(to) => self.redirect_syn(now, service, to, packet, out),
            Placement::Saturated => return Some(packet),
            Placement::NoTarget => self.refuse(packet, ErrorKind::NoTarget, Millis::ZERO, out),
        }
        None
    }

    /// Chooses the target for a new flow.
    fn choose_target(&mut self, now: Millis, service: ServiceKey, packet: &Packet<B>) -> Placement {
        let pool = self.services.pool_for(service, &packet.flow);
        if self.is_redirect_limit_reached(packet) {
            return self.choose_after_last_redirect(pool);
        }
        let here = self.local_score(now, pool);
        let here = here.map(|score| (score, Placement::Here));
        let sender = packet.arrival.sender();
        let mut peer = self.best_peer(now, pool, sender);
        // The sender may have passed the SYN here only in case this agent holds an older connection
        // of the flow. It may open the new flow itself if no other target has capacity. The
        // redirect limit keeps the SYN from going back and forth.
        if here.is_none() && peer.is_none() {
            peer = self.best_peer(now, pool, None);
        }
        let peer = peer.map(|(score, id)| (score, Placement::Peer(id)));
        let best = here.into_iter().chain(peer).min_by_key(|(score, _)| *score);
        if let Some((_, placement)) = best {
            return placement;
        }
        if self.takes_new(pool) {
            Placement::Saturated
        } else {
            Placement::NoTarget
        }
    }

    /// Chooses whether the flow is opened here, whatever capacity the peers have.
    fn choose_after_last_redirect(&self, pool: PoolKey) -> Placement {
        if self.has_capacity(pool) {
            Placement::Here
        } else if self.local.takes_new() {
            Placement::Saturated
        } else {
            Placement::NoTarget
        }
    }

    /// Whether any target of the pool takes new flows, saturated or not.
    fn takes_new(&self, pool: PoolKey) -> bool {
        let peers = self
            .peers
            .iter()
            .any(|peer| peer.is_ready() && self.services.contains(pool, peer.record.group));
        self.local.takes_new() || peers
    }

    fn local_score(&mut self, now: Millis, pool: PoolKey) -> Option<(bool, u64)> {
        // A rule may assign this caller to a pool of other targets. This target then serves it only
        // if that pool has no members.
        let is_member = self
            .group
            .is_some_and(|group| self.services.contains(pool, group));
        let has_members = self
            .peers
            .iter()
            .any(|peer| self.services.contains(pool, peer.record.group));
        if !self.has_capacity(pool) || (!is_member && has_members) {
            return None;
        }
        // This agent's own load is exact, so no jitter is added.
        Some(Estimate::from(&self.report(now)).score(0))
    }

    fn best_peer(
        &mut self,
        now: Millis,
        pool: PoolKey,
        avoid: Option<TargetId>,
    ) -> Option<((bool, u64), TargetId)> {
        let limit = self.services.flows_per_target(pool);
        let forecast = self.forecast(now);
        let mut best = None;
        for peer in self.peers.iter() {
            let id = peer.record.id;
            let is_member = self.services.contains(pool, peer.record.group);
            if !is_member || Some(id) == avoid || !peer.has_capacity(limit) {
                continue;
            }
            let jitter = self.rng.random_range(0..JITTER_MILLI);
            let score = peer.estimate(now, &forecast).score(jitter);
            if best.is_none_or(|(other, _)| score < other) {
                best = Some((score, id));
            }
        }
        best
    }

    /// Builds the forecast from the last report of every peer and this target's current load.
    fn forecast(&mut self, now: Millis) -> Forecast {
        let own = self.report(now);
        let reported = self.peers.iter().filter_map(Peer::report);
        Forecast {
            mean_milli: mean_milli(std::iter::once(&own).chain(reported)),
            request_time: self.local.request_time(),
            max_age: self.limits.load_max_age,
        }
    }

    /// Whether this target may open another flow of the pool.
    pub(super) fn has_capacity(&self, pool: PoolKey) -> bool {
        let limit = self.services.flows_per_target(pool).min(self.limits.flows);
        self.local.takes_new() && self.held.len() < limit
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

    fn redirect_syn(
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

    /// The redirect that a SYN of this flow follows, if any.
    fn redirect_for_syn(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: &Packet<B>,
    ) -> Option<Redirect> {
        if self.is_redirect_limit_reached(packet) {
            return None;
        }
        let redirect = self.usable_redirect(service, packet)?;
        let peer = self.peers.get(redirect.to)?;
        // The caller retransmits because it got no answer. A peer that does not report to this
        // agent either is not waited for.
        if peer.is_unresponsive(now, self.limits.load_max_age) {
            self.redirects.remove(&packet.flow);
            return None;
        }
        Some(redirect)
    }

    fn follow_with_syn(
        &mut self,
        now: Millis,
        redirect: Redirect,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        // Only a retransmission of the SYN that was redirected before may be redirected again.
        // Another SYN may start a new connection between the same addresses, and the peer knows
        // whether it still holds the old one.
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

    /// The redirect for a packet's flow. An unusable one is removed.
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

    /// Whether the packet has reached the maximum number of redirects.
    const fn is_redirect_limit_reached(&self, packet: &Packet<B>) -> bool {
        let max = if self.local.takes_new() {
            MAX_REDIRECTS
        } else {
            MAX_REDIRECTS + MAX_EXTRA_REDIRECTS
        };
        matches!(packet.arrival, Arrival::Redirected(_)) && packet.hops >= max
    }
}
