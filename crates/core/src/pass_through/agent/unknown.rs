//! Flows that the agent does not know, and packets that the target returned.
//!
//! A packet that comes back proves that the target does not hold its flow. One that stays proves the
//! opposite only if the target has shown afterwards that it is at work: one that has crashed keeps
//! everything.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;

use super::super::conn::{Conn, Stage};
use super::super::packet::{Holding, Offer, Packet, RejectReason, Reset, ResetReason};
use super::target::MISSED_HEARTBEATS;
use super::{Agent, AgentAction, Probe, drop_ended, reject};

/// Time in which the target returns a packet that it does not want. The two share a machine, so
/// this covers one turn of a slow processor.
const RETURN_TIMEOUT: Millis = Millis(60);

/// Time for which a flow that the target returned is answered for without showing it another packet.
/// The target takes such a flow only with a new new_flow packet, which passes here, so this bounds
/// memory and nothing else. A caller repeats a packet for less long.
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
        // Seen open at this target and returned by it: no target holds the flow any more.
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

    /// Whether the target does not hold the flow, which is unknown here.
    pub(super) fn is_known_not_held(&self, now: Millis, flow: &FlowId) -> bool {
        let knows_all = self.saw_start || now.since(self.started) > self.limits.flow_timeout;
        let was_returned = self
            .not_held
            .get(flow)
            .is_some_and(|at| now.since(*at) <= NOT_HELD_TTL);
        knows_all || was_returned || self.is_gone(now)
    }

    /// Claims flows whose packet the target has kept for longer than it needs to return one, and was
    /// heard since. Gives up probes at a target that is not heard.
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
    /// When the target has returned the packet if it does not hold the flow.
    const fn returned_by(&self) -> Millis {
        Millis(self.since.0 + RETURN_TIMEOUT.0)
    }
}
