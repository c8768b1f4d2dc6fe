//! Routing of packets that are no initial SYN and belong to a flow not held here.
//!
//! The cheap guesses come first: a known redirect, the hint that the caller echoes, and the
//! candidates listed by the balancer, which are earlier owners of the flow's hash. The search comes
//! last, because it costs one question per peer. The hint is untrusted input and only selects among
//! known peers.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::TargetId;
use crate::members::TargetState;

use super::bucket::Rate;
use super::packet::{Action, Arrival, DropReason, Holding, Packet, Relay};
use super::redirects::Redirect;
use super::services::ServiceKey;
use super::{Flows, drop_for};

/// Maximum number of agents that may pass on one packet.
const MAX_HOPS: u32 = 4;

impl<B> Flows<B> {
    /// Handles a packet that is no initial SYN and belongs to no endpoint here.
    pub(super) fn on_ongoing(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        // A packet exceeds the limit by one hop only after a search, so the search result was
        // wrong.
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
        // The sender of a RST expects no answer, so dropping it loses nothing.
        if packet.segment.rst {
            self.queue.remove(&packet.flow);
            drop_for(DropReason::Stale, out);
            return;
        }
        self.search(now, service, holder_is_gone, packet, out);
    }

    /// Handles a packet for a service that this target does not serve, or no longer serves.
    ///
    /// A flow that was redirected to a peer before the pools changed is still forwarded there.
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

    /// Sends a packet to a peer. Removes this agent and the peer from its candidates.
    pub(super) fn send(
        &self,
        to: TargetId,
        relay: Relay,
        mut packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let me = self.me;
        packet
            .candidates
            .retain(|other| *other != to && *other != me);
        out.push(Action::Send { to, relay, packet });
    }

    /// Notifies the peer that passed or redirected a packet of the flow's location.
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

    /// Passes a packet to a likely holder. Rate-limited, so that a flood of unknown packets is not
    /// amplified.
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

    /// Whether the agent that held the flow is known to be dead or restarted.
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
        // Only the first agent follows the hint: later ones cannot know whether it was already
        // tried.
        let is_first = packet.hops == 0;
        let hinted = self.peers.by_hint(packet.segment.echo);
        let hinted = hinted.filter(|_| is_first);
        hinted
            .into_iter()
            .chain(packet.candidates.iter().copied())
            .find(|id| *id != self.me && Some(*id) != sender && self.peers.may_hold(*id))
    }
}

pub(super) fn may_pass<B>(packet: &Packet<B>) -> bool {
    packet.hops < MAX_HOPS
}
