//! Flows unknown to the agent, and packets returned by the target.
//!
//! A returned packet proves that the target does not hold its flow. A packet that is not returned
//! proves the opposite only if the target has sent something afterwards, because a crashed target
//! returns nothing.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;

use super::super::conn::{Conn, Stage};
use super::super::packet::{Holding, Offer, Packet, RejectReason, Reset, ResetReason};
use super::target::MISSED_HEARTBEATS;
use super::{Agent, AgentAction, Probe, drop_ended, reject};

/// Timeout for the target to return a packet of a flow that it does not hold. Agent and target run
/// on the same machine, so this covers one scheduling delay of a slow processor.
const RETURN_TIMEOUT: Millis = Millis(60);

/// How long a flow returned by the target is reported as not held without another probe. The target
/// accepts such a flow only with a new SYN, which passes through this agent, so the limit only
/// bounds memory. Callers retransmit a packet for less time than this.
pub(super) const NOT_HELD_TTL: Millis = Millis::from_secs(30);

impl<B: Clone> Agent<B> {
    pub(super) fn on_unknown(
        &mut self,
        now: Millis,
        balancer: SocketAddr,
        offer: Offer,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        if self.is_known_not_held(now, &packet.flow) || offer.is_new_flow() {
            reject(balancer, RejectReason::NotHeld, packet.bytes, out);
            return;
        }
        let since = now;
        self.probes
            .entry(packet.flow)
            .or_insert(Probe { balancer, since });
        let bytes = packet.bytes;
        out.push(AgentAction::Deliver { bytes });
    }

    pub(super) fn on_returned_ongoing(
        &mut self,
        now: Millis,
        packet: Packet<B>,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let flow = packet.flow;
        self.not_held.insert(now, flow, now);
        if let Some(probe) = self.probes.remove(&flow) {
            reject(probe.balancer, RejectReason::NotHeld, packet.bytes, out);
            return;
        }
        let Some(conn) = self.conns.get(&flow).copied() else {
            drop_ended(flow, out);
            return;
        };
        self.forget(now, &flow);
        // The flow was open at this target, which returned it, so no target holds it any more.
        if conn.stage == Stage::Open && packet.segment.ack {
            let (seq, reason) = (packet.segment.ack_seq, ResetReason::Returned);
            out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            let holding = Holding::No;
            out.extend(
                conn.balancer
                    .map(|to| AgentAction::Reply { to, flow, holding }),
            );
        } else if let Some(balancer) = conn.balancer {
            reject(balancer, RejectReason::NotHeld, packet.bytes, out);
        }
    }

    /// Whether a flow unknown to the agent is certainly not held by the target.
    pub(super) fn is_known_not_held(&self, now: Millis, flow: &FlowId) -> bool {
        let observed_all =
            self.observed_start || now.since(self.started) > self.limits.flow_timeout;
        let was_returned = self
            .not_held
            .get(flow)
            .is_some_and(|at| now.since(*at) <= NOT_HELD_TTL);
        observed_all || was_returned || self.is_gone(now)
    }

    /// Ends probes. The target holds the flow if it did not return the packet within the timeout
    /// and has sent something since. Probes of a target that stays silent are discarded.
    pub(super) fn end_probes(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let last_activity = self.last_activity;
        let is_kept = |probe: &Probe| last_activity.is_some_and(|at| at >= probe.returned_by());
        let timeout = Millis(self.limits.heartbeat.0 * MISSED_HEARTBEATS);
        let is_over = |probe: &Probe| is_kept(probe) || now.since(probe.since) > timeout;
        let ended: Vec<_> = self
            .probes
            .extract_if(|_, probe| is_over(probe))
            .filter(|(_, probe)| is_kept(probe))
            .collect();
        for (flow, probe) in ended {
            let conn = Conn::new(now, Stage::Presumed, Some(probe.balancer));
            if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
                self.on_removed(now, &evicted);
            }
            let (to, holding) = (probe.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
        }
    }
}

impl Probe {
    /// Time by which the target has returned the packet if it does not hold the flow.
    const fn returned_by(&self) -> Millis {
        Millis(self.since.0 + RETURN_TIMEOUT.0)
    }
}
