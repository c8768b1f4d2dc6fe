//! Packets of open flows: forwarded to the flow's target, or queued for a search for it.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::members::TargetState;

use super::super::fleet::TargetKey;
use super::super::packet::{DropReason, Offer, Packet, Reset, ResetReason};
use super::super::search::{Progress, Search};
use super::{Balancer, BalancerAction, Entry, HELD, Inconclusive, drop_packet};

/// A target whose agent is silent for this long, without having announced that it is being stopped,
/// has lost its machine or the network path to it. Crashed agents are restarted sooner.
pub(super) const LOST_AFTER: Millis = Millis(2_000);

/// A target whose agent is silent for this long is gone, even if the agent announced that it was
/// being stopped.
pub(super) const GONE_AFTER: Millis = Millis::from_secs(8);

/// An agent that has reported the end of its target and is silent for this long has ended as well.
/// One that goes on reporting may serve the next start of its target, whose report was lost.
const ENDED_AFTER: Millis = Millis(1_000);

/// Time for which negative answers about a flow are kept for the caller's next retransmission,
/// which follows after 1.6 s at most. They stay valid for that long, because a target can get a
/// flow that it does not hold only by a new SYN.
pub(super) const NEGATIVE_ANSWER_TTL: Millis = Millis::from_secs(10);

/// Maximum number of negative answers that are kept for one flow, 1 KB. The other targets are asked
/// again.
const NEGATIVE_ANSWERS_MAX: usize = 256;

impl<B: Clone> Balancer<B> {
    /// Resets the callers of lost targets, including idle callers, whose next request would be
    /// lost. A flow that was only offered to a lost target may be held by another one: its next
    /// packet starts a search.
    ///
    /// A machine may be unreachable and still work on requests, so a flow with a non-repeatable
    /// request in progress is left alone: its caller could not retry after a reset, and the
    /// response would be lost.
    ///
    /// A balancer that receives reports from too few targets may itself be isolated, and resets
    /// nothing.
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
        self.request_class(flow)
            .is_some_and(|class| class.is_repeatable)
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
                drop_packet(flow, DropReason::SearchFull, out);
            }
            return;
        }
        let Some(entry) = self.flows.get(&packet.flow).copied() else {
            self.start_search(now, packet, None, out);
            return;
        };
        let member = self.fleet.get(entry.target);
        let is_dead = member.report.state == TargetState::Dead;
        if is_dead && packet.segment.ack && entry.is_held(member) {
            // The target announced its shutdown, and its flows ended with it.
            self.flows.remove(&packet.flow);
            out.push(BalancerAction::Reset(Reset {
                flow: packet.flow,
                seq: packet.segment.ack_seq,
                reason: ResetReason::TargetEnded,
            }));
        } else if !is_dead && member.is_seen_within(now, GONE_AFTER) {
            if let Some(entry) = self.flows.get_mut(&packet.flow)
                && packet.segment.ack
            {
                entry.caller_ack = Some(packet.segment.ack_seq);
                entry.may_await_answer = packet.segment.payload > 0;
            }
            self.flows.touch(now, &packet.flow);
            self.forward(&entry, HELD, &packet.flow, packet.bytes, out);
        } else {
            self.flows.remove(&packet.flow);
            self.start_search(now, packet, None, out);
        }
    }

    /// Starts a search by asking the agents of the own failure domain. `not_held` is the target
    /// that has just rejected the packet. It is not asked, nor are the targets that gave a negative
    /// answer in an earlier search.
    pub(super) fn start_search(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        not_held: Option<TargetKey>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        // The sender of a RST expects no answer, so dropping it loses nothing.
        if packet.segment.rst {
            drop_packet(packet.flow, DropReason::Ended, out);
            return;
        }
        if self.searches.len() >= self.limits.searches {
            drop_packet(packet.flow, DropReason::SearchFull, out);
            return;
        }
        let flow = packet.flow;
        let earlier = self.inconclusive.remove(&flow);
        let (mut negative_answers, probes) =
            earlier.map_or((Vec::new(), 0), |search| (search.not_held, search.probes));
        negative_answers.extend(not_held);
        let mut local = self.possible_holders(now);
        local.retain(|(key, _)| self.is_local(*key) && !negative_answers.contains(key));
        let keys = local.iter().map(|(key, _)| *key);
        let mut search = Search::new(
            now,
            packet.segment,
            keys,
            negative_answers.into_iter(),
            packet.bytes,
        );
        search.probes = probes;
        ask(flow, local, out);
        self.searches.insert(flow, search);
        self.advance_search(now, flow, out);
    }

    fn is_local(&self, key: TargetKey) -> bool {
        self.fleet.get(key).report.domain == self.domain
    }

    /// Targets that may hold a flow, with the addresses of their agents.
    pub(super) fn possible_holders(&self, now: Millis) -> Vec<(TargetKey, SocketAddr)> {
        self.fleet
            .iter()
            .filter(|(_, member)| match member.report.state {
                TargetState::Dead => member.is_seen_within_scaled(now, ENDED_AFTER),
                _ => member.is_seen_within(now, GONE_AFTER),
            })
            .map(|(key, member)| (key, member.report.agent))
            .collect()
    }

    pub(super) fn advance_search(
        &mut self,
        now: Millis,
        flow: FlowId,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        let fleet = &self.fleet;
        let restarted = search.ask_restarted(now, |key| fleet.get(key).agent_started);
        let restarted = restarted.into_iter().map(|key| (key, fleet.agent(key)));
        ask(flow, restarted.collect(), out);
        let is_restarting = |key| fleet.get(key).is_restarting(now, GONE_AFTER);
        match search.progress(now, is_restarting) {
            Progress::Waiting => {}
            Progress::Probe => {
                let packet = search.first.clone();
                let candidates: Vec<_> = search.candidates().collect();
                search.probes += candidates.len();
                for target in candidates {
                    let entry = Entry::found(now, target);
                    let probe = (Offer::Probe, Millis::ZERO);
                    self.forward(&entry, probe, &flow, packet.clone(), out);
                }
            }
            Progress::AskRemote => {
                let mut remote = self.possible_holders(now);
                if let Some(search) = self.searches.get_mut(&flow) {
                    remote.retain(|(key, _)| !search.includes(*key));
                    search.ask_remote(now, remote.iter().map(|(key, _)| *key));
                }
                ask(flow, remote, out);
                self.advance_search(now, flow, out);
            }
            Progress::AskAgain => {
                let asked = self.possible_holders(now);
                if let Some(search) = self.searches.get_mut(&flow) {
                    search.ask_again(now, asked.iter().map(|(key, _)| *key));
                }
                ask(flow, asked, out);
            }
            Progress::NotHeld => {
                let segment = search.segment;
                self.searches.remove(&flow);
                self.on_unclaimed(now, flow, segment.ack.then_some(segment.ack_seq), out);
            }
            Progress::Inconclusive => {
                let not_held = search.not_held().take(NEGATIVE_ANSWERS_MAX).collect();
                let inconclusive = Inconclusive {
                    ended_at: now,
                    not_held,
                    probes: search.probes,
                };
                self.searches.remove(&flow);
                if self.inconclusive.len() < self.limits.searches {
                    self.inconclusive.insert(flow, inconclusive);
                }
                drop_packet(flow, DropReason::Unclaimed, out);
            }
        }
    }

    pub(super) fn on_holder_found(
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
        // The holder may have received the first packet as a probe already, and drops the copy.
        for bytes in std::iter::once(search.first).chain(search.later) {
            self.forward(&entry, HELD, &flow, bytes, out);
        }
    }
}

fn ask<B>(flow: FlowId, asked: Vec<(TargetKey, SocketAddr)>, out: &mut Vec<BalancerAction<B>>) {
    let questions = asked.into_iter();
    out.extend(questions.map(|(_, to)| BalancerAction::Ask { to, flow }));
}
