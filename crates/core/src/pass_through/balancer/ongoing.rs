//! Packets of flows that are open: to their target, or to a search for it.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::members::TargetState;

use super::super::fleet::TargetKey;
use super::super::packet::{DropReason, Offer, Packet, Reset, ResetReason};
use super::super::search::{Progress, Search};
use super::{Balancer, BalancerAction, Entry, HELD, drop_for};

/// A target whose agent is silent for this long without having said that it is being stopped has
/// lost its machine or the way to it. Agents that crash are back sooner.
const LOST_AFTER: Millis = Millis(2_000);

/// A target whose agent is silent for this long is gone, whatever it said.
const GONE_AFTER: Millis = Millis::from_secs(8);

/// Time in which an agent gives back a packet of a flow that its target does not hold: the way to another
/// failure domain and back, and a turn of a slow processor at the agent and at its target.
const GIVEN_BACK_WITHIN: Millis = Millis(200);

/// Time for which denials of a flow are kept for the caller's next copy of the packet, which comes
/// after 1.6 s at most. A flow that a target does not hold comes there only by a new opening packet.
pub(super) const DENIAL_LIFE: Millis = Millis::from_secs(10);

/// Denials of one flow that are kept, 1 KB. The other targets are asked again.
const DENIALS_MAX: usize = 256;

impl<B: Clone> Balancer<B> {
    /// Resets the callers of targets that have been lost, also those that wait for nothing: their
    /// next request would be lost. A flow that was only offered there may be held by another target, and
    /// is looked for with its next packet.
    ///
    /// A machine may be only silent and go on with its work, so a request that must not be repeated is left
    /// alone: its caller could do nothing with the reset, and its answer would be lost.
    ///
    /// A balancer that hears from few targets may itself be cut off, and concludes nothing.
    pub(super) fn reset_lost_flows(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        let lost = self.fleet.take_lost(now, LOST_AFTER, GONE_AFTER);
        if lost.is_empty() {
            return;
        }
        let flows: Vec<_> = self
            .flows
            .newest_first()
            .filter(|(_, entry)| lost.contains(&entry.target))
            .map(|(flow, entry)| (*flow, *entry))
            .collect();
        for (flow, entry) in flows {
            if entry.may_await_answer && !self.is_repeatable(&flow) {
                continue;
            }
            self.flows.remove(&flow);
            let is_held = entry.is_held(self.fleet.get(entry.target));
            if let Some(seq) = entry.caller_ack.filter(|_| is_held) {
                let reason = ResetReason::TargetLost;
                out.push(BalancerAction::Reset(Reset { flow, seq, reason }));
            }
        }
    }

    fn is_repeatable(&self, flow: &FlowId) -> bool {
        self.class_of(flow).is_some_and(|class| class.is_repeatable)
    }

    pub(super) fn on_ongoing(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let flow = packet.flow;
        if let Some(search) = self.searches.get_mut(&flow) {
            search.segment = packet.segment;
            if search.later.len() < self.limits.search_packets {
                search.later.push(packet.bytes);
            } else {
                drop_for(flow, DropReason::SearchFull, out);
            }
            return;
        }
        let Some(entry) = self.flows.get(&packet.flow).copied() else {
            self.search(now, packet, None, out);
            return;
        };
        let member = self.fleet.get(entry.target);
        let is_dead = member.report.state == TargetState::Dead;
        if is_dead && packet.segment.ack && entry.is_held(member) {
            // The target itself announced its end, and its flows ended with it.
            self.flows.remove(&packet.flow);
            out.push(BalancerAction::Reset(Reset {
                flow: packet.flow,
                seq: packet.segment.ack_seq,
                reason: ResetReason::TargetEnded,
            }));
        } else if !is_dead && member.is_heard(now, GONE_AFTER) {
            if let Some(entry) = self.flows.get_mut(&packet.flow)
                && packet.segment.ack
            {
                entry.caller_ack = Some(packet.segment.ack_seq);
                entry.may_await_answer = packet.segment.payload > 0;
                entry.held_from.get_or_insert(now.after(GIVEN_BACK_WITHIN));
            }
            self.flows.touch(now, &packet.flow);
            self.forward(&entry, HELD, &packet.flow, packet.bytes, out);
        } else {
            self.flows.remove(&packet.flow);
            self.search(now, packet, None, out);
        }
    }

    /// Asks the agents near by. `denied` has just given the packet back and is not asked for it, nor are
    /// those who denied the flow in an earlier search.
    pub(super) fn search(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        denied: Option<TargetKey>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        // Nobody waits for an answer to a reset.
        if packet.segment.rst {
            drop_for(packet.flow, DropReason::Ended, out);
            return;
        }
        if self.searches.len() >= self.limits.searches {
            drop_for(packet.flow, DropReason::SearchFull, out);
            return;
        }
        let flow = packet.flow;
        let mut denials = self
            .denials
            .remove(&flow)
            .map_or_else(Vec::new, |kept| kept.1);
        denials.extend(denied);
        let mut near = self.askable(now);
        near.retain(|(key, _)| self.is_near(*key) && !denials.contains(key));
        let keys = near.iter().map(|(key, _)| *key);
        let search = Search::new(now, packet.segment, keys, denials.into_iter(), packet.bytes);
        ask(flow, near, out);
        self.searches.insert(flow, search);
        self.advance(now, flow, out);
    }

    fn is_near(&self, key: TargetKey) -> bool {
        self.fleet.get(key).report.domain == self.domain
    }

    /// Targets that may hold a flow, with the addresses of their agents.
    pub(super) fn askable(&self, now: Millis) -> Vec<(TargetKey, SocketAddr)> {
        self.fleet
            .iter()
            .filter(|(_, member)| member.report.state != TargetState::Dead)
            .filter(|(_, member)| member.is_heard(now, GONE_AFTER))
            .map(|(key, member)| (key, member.report.agent))
            .collect()
    }

    pub(super) fn advance(&mut self, now: Millis, flow: FlowId, out: &mut Vec<BalancerAction<B>>) {
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        match search.progress(now) {
            Progress::Waiting => {}
            Progress::Try => {
                let packet = search.first.clone();
                let candidates: Vec<_> = search.candidates().collect();
                for target in candidates {
                    let entry = Entry::found(now, target);
                    let trial = (Offer::Probe, Millis::ZERO);
                    self.forward(&entry, trial, &flow, packet.clone(), out);
                }
            }
            Progress::AskFar => {
                let mut far = self.askable(now);
                if let Some(search) = self.searches.get_mut(&flow) {
                    far.retain(|(key, _)| !search.includes(*key));
                    search.ask_far(now, far.iter().map(|(key, _)| *key));
                }
                ask(flow, far, out);
                self.advance(now, flow, out);
            }
            Progress::AskAgain => {
                let asked = self.askable(now);
                if let Some(search) = self.searches.get_mut(&flow) {
                    search.ask_again(now, asked.iter().map(|(key, _)| *key));
                }
                ask(flow, asked, out);
            }
            Progress::Nobody => {
                let segment = search.segment;
                self.searches.remove(&flow);
                self.on_unclaimed(now, flow, segment.ack.then_some(segment.ack_seq), out);
            }
            Progress::Unknown => {
                let denied = search.denied().take(DENIALS_MAX).collect();
                self.searches.remove(&flow);
                if self.denials.len() < self.limits.searches {
                    self.denials.insert(flow, (now, denied));
                }
                drop_for(flow, DropReason::Unclaimed, out);
            }
        }
    }

    /// Every target that could be asked does not hold the flow. That is proof only if all targets are
    /// known and most of them could be asked.
    pub(super) fn on_unclaimed(
        &self,
        now: Millis,
        flow: FlowId,
        seq: Option<u32>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let hears_most = self
            .fleet
            .hears_most(|member| member.is_heard(now, GONE_AFTER));
        match seq {
            Some(seq) if self.is_settled(now) && hears_most => {
                let reason = ResetReason::Unclaimed;
                out.push(BalancerAction::Reset(Reset { flow, seq, reason }));
            }
            _ => drop_for(flow, DropReason::Unclaimed, out),
        }
    }

    pub(super) fn found(
        &mut self,
        now: Millis,
        flow: FlowId,
        target: TargetKey,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(search) = self.searches.remove(&flow) else {
            return;
        };
        let mut entry = Entry::found(now, target);
        entry.may_await_answer = search.segment.payload > 0;
        self.flows.insert(now, flow, entry);
        // The holder may have seen the first packet as a trial, and drops the copy of it.
        for bytes in std::iter::once(search.first).chain(search.later) {
            self.forward(&entry, HELD, &flow, bytes, out);
        }
    }
}

fn ask<B>(flow: FlowId, asked: Vec<(TargetKey, SocketAddr)>, out: &mut Vec<BalancerAction<B>>) {
    let questions = asked.into_iter();
    out.extend(questions.map(|(_, to)| BalancerAction::Ask { to, flow }));
}
