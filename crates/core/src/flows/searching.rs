//! Searches for the holder of a flow, and answers to the searches of peers.
//!
//! A reset breaks a connection that another agent may still hold, so it requires proof. Every peer
//! that may hold the flow has to answer that it does not, and the list of peers itself has to be
//! current: a balancer may learn of a new target before this agent does. A flow that no peer holds
//! is therefore only recorded as suspect at first. It is reset if it is still not held after the
//! time in which a new target becomes known to all agents, or at once if its holder is known to be
//! dead.

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::flow::FlowId;
use crate::id::{ServiceId, TargetId};

use super::bucket::Rate;
use super::notice::LastNotice;
use super::packet::{Action, DropReason, Holding, Packet, Relay};
use super::redirects::Redirect;
use super::search::Search;
use super::services::ServiceKey;
use super::{Flows, drop_for};

/// Time without packets after which a suspected flow is forgotten.
pub(super) const SUSPECT_TTL: Millis = Millis::from_secs(60);

impl<B> Flows<B> {
    /// Keeps the packet and asks every peer that may hold its flow.
    pub(super) fn search(
        &mut self,
        now: Millis,
        service: ServiceKey,
        holder_is_gone: bool,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let flow = packet.flow;
        if let Some(search) = self.searches.get_mut(&flow) {
            search.may_reset |= holder_is_gone;
            self.join_search(packet, out);
            return;
        }
        if !self.searches.has_capacity(&self.limits) {
            drop_for(DropReason::UnknownLimit, out);
            return;
        }
        let may_reset = holder_is_gone || self.is_settled_suspect(&flow);
        let service = self.services.id(service);
        let search = Search::new(service, may_reset, packet);
        self.searches.insert(flow, search);
        if !self.ask(now, flow, out) {
            self.searches.remove(&flow);
            drop_for(DropReason::UnknownLimit, out);
            return;
        }
        self.conclude_if_answered(now, flow, out);
    }

    /// Retries or ends the searches that are due.
    pub(super) fn tick_searches(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        for flow in self.searches.flows() {
            self.tick_search(now, flow, out);
        }
        while self.suspects.pop_expired(now, SUSPECT_TTL).is_some() {}
    }

    /// Answers a peer's question about a flow.
    pub(super) fn answer(&mut self, from: TargetId, flow: FlowId, out: &mut Vec<Action<B>>) {
        let holding = self.holding_for(from, &flow);
        out.push(Action::Reply {
            to: from,
            flow,
            holding,
        });
    }

    /// Handles a peer's answer or notice.
    pub(super) fn handle_reply(
        &mut self,
        now: Millis,
        from: TargetId,
        flow: FlowId,
        holding: Holding,
        out: &mut Vec<Action<B>>,
    ) {
        self.peers.on_message_from(now, from);
        match self.searches.get_mut(&flow) {
            None => self.apply_notice(now, from, flow, holding),
            Some(search) => {
                let is_here = holding == Holding::Here && !search.came_from(from);
                if is_here {
                    self.on_found(now, flow, from, out);
                    return;
                }
                search.mark_not_held(from);
                if let Holding::At(to) = holding
                    && to != self.me
                {
                    search.redirected_to = Some(to);
                    search.has_unknown_holder |= self.peers.get(to).is_none();
                }
                self.conclude_if_answered(now, flow, out);
            }
        }
    }

    /// Notifies a peer where a flow is, so that it sends the flow's next packets there directly.
    pub(super) fn notify(
        &mut self,
        now: Millis,
        to: TargetId,
        flow: FlowId,
        holding: Holding,
        out: &mut Vec<Action<B>>,
    ) {
        let rate = Rate::per_s(self.limits.questions_per_s);
        if self.notices.take(now, rate, 1) {
            out.push(Action::Reply { to, flow, holding });
        }
    }

    fn join_search(&mut self, packet: Packet<B>, out: &mut Vec<Action<B>>) {
        if self.searches.keep(&self.limits, packet).is_some() {
            drop_for(DropReason::UnknownLimit, out);
        }
    }

    /// Asks every peer that has not answered. Returns `false` if the rate limit of questions is
    /// exceeded.
    fn ask(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action<B>>) -> bool {
        let unanswered = self.unanswered(&flow);
        let rate = Rate::per_s(self.limits.questions_per_s);
        // Capped, so that searches stay possible with more peers than questions per second.
        let tokens = unanswered.len().min(self.limits.questions_per_s as usize);
        if !self.questions.take(now, rate, tokens) {
            return false;
        }
        if let Some(search) = self.searches.get_mut(&flow) {
            let backoff = self.limits.ask_backoff.0 << search.rounds.min(MAX_DOUBLINGS);
            search.ask_at = now.after(Millis(backoff));
            search.rounds += 1;
        }
        let questions = unanswered.into_iter().map(|to| Action::Ask { to, flow });
        out.extend(questions);
        true
    }

    /// Peers that may hold the flow and have not given a negative answer.
    fn unanswered(&mut self, flow: &FlowId) -> Vec<TargetId> {
        let Some(search) = self.searches.get_mut(flow) else {
            return Vec::new();
        };
        self.peers
            .holders()
            .filter(|id| !search.not_held_by.contains(id))
            .collect()
    }

    fn tick_search(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action<B>>) {
        if self.conclude_if_answered(now, flow, out) {
            return;
        }
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        if now < search.ask_at {
            return;
        }
        let rounds = search.rounds;
        // The location named by another peer is better than waiting longer for the other answers.
        if let Some(to) = self.redirected_to(&flow) {
            self.on_found(now, flow, to, out);
        } else if rounds >= self.limits.ask_rounds {
            self.give_up(now, flow, out);
        } else if !self.ask(now, flow, out) {
            self.postpone(now, &flow);
        }
    }

    /// Delays the next round after the rate limit was hit. The round counts, so that the search
    /// still ends.
    fn postpone(&mut self, now: Millis, flow: &FlowId) {
        let again = self.limits.ask_backoff;
        if let Some(search) = self.searches.get_mut(flow) {
            search.ask_at = now.after(again);
            search.rounds += 1;
        }
    }

    fn give_up(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action<B>>) {
        for unanswered_peer in self.unanswered(&flow) {
            self.peers
                .remove_if_unlisted(now, unanswered_peer, self.limits.unlisted_peer_ttl);
        }
        let Some(search) = self.searches.remove(&flow) else {
            return;
        };
        drop_all(&search.kept, DropReason::Unanswered, out);
    }

    /// Ends the search if every peer has answered. Returns whether it ended.
    fn conclude_if_answered(
        &mut self,
        now: Millis,
        flow: FlowId,
        out: &mut Vec<Action<B>>,
    ) -> bool {
        if !self.unanswered(&flow).is_empty() {
            return false;
        }
        if let Some(to) = self.redirected_to(&flow) {
            self.on_found(now, flow, to, out);
            return true;
        }
        if let Some(search) = self.searches.remove(&flow) {
            self.on_not_held(now, flow, search, out);
        }
        true
    }

    /// The target that a peer named as the holder, if it can be the holder.
    fn redirected_to(&mut self, flow: &FlowId) -> Option<TargetId> {
        let search = self.searches.get_mut(flow)?;
        let to = search.redirected_to?;
        let is_possible =
            to != self.me && self.peers.may_hold(to) && !search.not_held_by.contains(&to);
        is_possible.then_some(to)
    }

    fn on_found(&mut self, now: Millis, flow: FlowId, to: TargetId, out: &mut Vec<Action<B>>) {
        let Some(search) = self.searches.remove(&flow) else {
            return;
        };
        self.suspects.remove(&flow);
        self.redirect(now, flow, to, search.service);
        for packet in search.kept {
            self.send(to, Relay::Pass, packet, out);
        }
    }

    fn on_not_held(
        &mut self,
        now: Millis,
        flow: FlowId,
        search: Search<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let mut kept = search.kept;
        let is_elsewhere = search.has_unknown_holder || self.names_unknown_target(&kept);
        if self.held.contains(&flow) {
            drop_all(&kept, DropReason::Stale, out);
        } else if search.may_reset && !is_elsewhere {
            let refused = kept.swap_remove(0);
            self.suspects.remove(&flow);
            self.redirects.remove(&flow);
            out.push(Action::Refuse {
                packet: refused,
                kind: ErrorKind::UnknownFlow,
                retry_after: Millis::ZERO,
            });
            drop_all(&kept, DropReason::Stale, out);
        } else {
            self.suspect(now, flow);
            drop_all(&kept, DropReason::Unanswered, out);
        }
    }

    /// Whether a balancer listed a candidate that this agent does not know.
    fn names_unknown_target(&self, packets: &[Packet<B>]) -> bool {
        let mut named = packets.iter().flat_map(|packet| &packet.candidates);
        named.any(|id| *id != self.me && self.peers.get(*id).is_none())
    }

    fn suspect(&mut self, now: Millis, flow: FlowId) {
        if self.suspects.contains(&flow) {
            self.suspects.touch(now, &flow);
        } else {
            self.suspects.insert(now, flow, now);
        }
    }

    /// Whether the flow had been suspected for at least `peers_settle_time` when the list of peers
    /// was last confirmed.
    fn is_settled_suspect(&self, flow: &FlowId) -> bool {
        let settled = |since: &Millis| {
            let settled_at = since.after(self.limits.peers_settle_time);
            self.peers.confirmed_since(settled_at)
        };
        self.suspects.get(flow).is_some_and(settled)
    }

    fn holding_for(&self, from: TargetId, flow: &FlowId) -> Holding {
        if self.held.contains(flow) {
            return Holding::Here;
        }
        let redirect = self.redirects.get(flow);
        let known = redirect.filter(|other| other.to != from && self.peers.may_hold(other.to));
        known.map_or(Holding::No, |redirect| Holding::At(redirect.to))
    }

    fn apply_notice(&mut self, now: Millis, from: TargetId, flow: FlowId, holding: Holding) {
        let Some(service) = self.services.at(flow.service) else {
            return;
        };
        let known = self.redirects.get(&flow).map(|redirect| redirect.to);
        let to = match holding {
            Holding::Here => from,
            // Only the agent to which the packets currently go may correct a known location. If
            // none is known, the first notice is taken.
            Holding::At(to) if known.is_none_or(|known| known == from) => to,
            Holding::At(_) | Holding::No => return,
        };
        if to != self.me && self.peers.may_hold(to) {
            self.redirect(now, flow, to, self.services.id(service));
        }
    }

    fn redirect(&mut self, now: Millis, flow: FlowId, to: TargetId, service: ServiceId) {
        let known = self.redirects.get(&flow);
        if known.is_some_and(|known| known.to == to) {
            self.redirects.touch(now, &flow);
            return;
        }
        let redirect = Redirect {
            to,
            service,
            caller_isn: None,
            notice: LastNotice::default(),
        };
        self.redirects.insert(now, flow, redirect);
    }
}

/// Limit on doublings of the time between two rounds.
const MAX_DOUBLINGS: u32 = 8;

fn drop_all<B>(packets: &[Packet<B>], reason: DropReason, out: &mut Vec<Action<B>>) {
    for _ in packets {
        drop_for(reason, out);
    }
}
