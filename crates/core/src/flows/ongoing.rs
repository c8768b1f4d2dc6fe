//! Where a packet of a running flow goes that is not held here.
//!
//! The cheap guesses come first: the redirect, the hint that the caller echoes, and the chain of
//! earlier owners that the balancer gave. The search comes last, because it costs a question to
//! every peer. The hint is untrusted and only chooses among the peers.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::TargetId;
use crate::members::TargetState;

use super::bucket::Rate;
use super::packet::{Action, Arrival, DropReason, Holding, Packet, Relay};
use super::redirects::Redirect;
use super::services::ServiceKey;
use super::{Flows, drop_for};

/// Agents that may pass a packet on.
const MAX_HOPS: u32 = 4;

impl<B> Flows<B> {
    /// Decides about a packet that opens nothing and belongs to no endpoint here.
    pub(super) fn on_ongoing(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        // One hop more than the limit comes from a search, whose outcome was wrong then.
        if packet.hops > MAX_HOPS {
            self.redirects.remove(&packet.flow);
            drop_for(DropReason::HopLimit, out);
            return;
        }
        let holder_is_gone = self.holder_is_gone(&packet);
        if let Some(redirect) = self.usable_redirect(service, &packet) {
            self.follow(now, redirect, packet, out);
            return;
        }
        if let Some(to) = self.likely_holder(&packet) {
            self.pass_by_guess(now, to, packet, out);
            return;
        }
        // The sender of a reset waits for nothing, so nothing is lost without it.
        if packet.segment.rst {
            self.queue.remove(&packet.flow);
            drop_for(DropReason::Stale, out);
            return;
        }
        self.search(now, service, holder_is_gone, packet, out);
    }

    /// Decides about a packet for a service that this target does not serve, perhaps any more.
    ///
    /// A flow that was redirected to a peer before the pools changed still finds its way.
    pub(super) fn on_unserved(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let is_running = !packet.segment.is_initial_syn();
        if is_running && let Some(redirect) = self.usable_redirect(service, &packet) {
            self.follow(now, redirect, packet, out);
        } else {
            drop_for(DropReason::WrongService, out);
        }
    }

    /// Sends a packet to a peer, its chain without the two agents.
    pub(super) fn send(
        &self,
        to: TargetId,
        relay: Relay,
        mut packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let me = self.me;
        packet.chain.retain(|other| *other != to && *other != me);
        out.push(Action::Send { to, relay, packet });
    }

    /// Notifies the peer that passed or redirected a packet of where the flow is.
    pub(super) fn notify_sender(
        &mut self,
        now: Millis,
        arrival: Arrival,
        flow: FlowId,
        to: TargetId,
        out: &mut Vec<Action<B>>,
    ) {
        let Some(sender) = arrival.sender() else {
            return;
        };
        if sender != to && self.redirects.is_notice_due(now, &flow, sender) {
            self.notify(now, sender, flow, Holding::At(to), out);
        }
    }

    fn follow(
        &mut self,
        now: Millis,
        redirect: Redirect,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        self.redirects.touch(now, &packet.flow);
        self.notify_sender(now, packet.arrival, packet.flow, redirect.to, out);
        self.send(redirect.to, Relay::Pass, packet, out);
    }

    /// Guesses are cheap but not free: a flood of unknown packets must not be multiplied.
    fn pass_by_guess(
        &mut self,
        now: Millis,
        to: TargetId,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let rate = Rate::per_s(self.limits.guesses_per_s);
        if self.guesses.take(now, rate, 1) {
            self.send(to, Relay::Pass, packet, out);
        } else {
            drop_for(DropReason::UnknownLimit, out);
        }
    }

    /// Whether the agent that held the flow is known to be gone.
    fn holder_is_gone(&self, packet: &Packet<B>) -> bool {
        let hint = packet.segment.echo;
        let held_by_earlier_start = hint != 0 && hint == self.me.hint();
        let hinted = self.peers.by_hint(hint);
        let redirected = self.redirects.get(&packet.flow).map(|known| known.to);
        let is_dead = |id| {
            let peer = self.peers.get(id);
            peer.is_some_and(|peer| peer.record.state == TargetState::Dead)
        };
        held_by_earlier_start || hinted.is_some_and(is_dead) || redirected.is_some_and(is_dead)
    }

    fn likely_holder(&self, packet: &Packet<B>) -> Option<TargetId> {
        if !may_pass(packet) {
            return None;
        }
        let sender = packet.arrival.sender();
        // Later agents cannot know whether the hint was tried already.
        let is_first = packet.hops == 0;
        let hinted = self.peers.by_hint(packet.segment.echo);
        let hinted = hinted.filter(|_| is_first);
        hinted
            .into_iter()
            .chain(packet.chain.iter().copied())
            .find(|id| *id != self.me && Some(*id) != sender && self.peers.may_hold(*id))
    }
}

pub(super) fn may_pass<B>(packet: &Packet<B>) -> bool {
    packet.hops < MAX_HOPS
}
