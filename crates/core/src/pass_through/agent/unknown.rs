//! Flows unknown to the agent, and packets returned by the target.
//!
//! A returned packet proves that the target does not hold its flow. So does a RST of the target,
//! unless the flow was open there: on a flow that has ended, a target answers data with a RST and a
//! FIN with an acknowledgment, and ignores acknowledgments. The flow may have ended there without
//! ever being open, while another target holds it.
//!
//! Data that the target neither returns nor answers with a RST proves that it holds the flow, but
//! only if the same start of the target has sent something afterwards, because a crashed target
//! returns nothing. Its next start may send before its first heartbeat, but not on flows that were
//! opened before.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::{FlowId, Segment};

use super::super::conn::{Conn, Stage};
use super::super::packet::{Holding, Offer, Packet, RejectReason, Reset, ResetReason};
use super::target::MISSED_HEARTBEATS;
use super::{Agent, AgentAction, drop_ended, reject};

/// Timeout for the target to return a packet of a flow that it does not hold. Agent and target run
/// on the same machine, so this covers one scheduling delay of a slow processor.
const RETURN_TIMEOUT: Millis = Millis(60);

/// How long a flow returned by the target is reported as not held without another probe. The target
/// accepts such a flow only with a new SYN, which passes through this agent, so the limit only
/// bounds memory. Callers retransmit a packet for less time than this.
pub(super) const NOT_HELD_TTL: Millis = Millis::from_secs(30);

/// Something that the target has sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activity {
    at: Millis,
    /// The sender is the start of the target that ran at this time.
    start_ran_at: Millis,
}

/// Packets of an unknown flow that were delivered to find out whether the target holds the flow.
#[derive(Debug)]
pub(super) struct Probe<B> {
    /// Balancer that sent the last packet.
    pub(super) balancer: SocketAddr,
    since: Millis,
    /// The last data without a FIN, and when the first was delivered. It is kept to be rejected.
    data: Option<(Millis, B)>,
    has_fin: bool,
    /// The caller's last acknowledgement.
    caller_ack: Option<u32>,
}

impl<B: Clone> Probe<B> {
    const fn new(now: Millis, balancer: SocketAddr) -> Self {
        Self {
            balancer,
            since: now,
            data: None,
            has_fin: false,
            caller_ack: None,
        }
    }

    fn on_packet(&mut self, now: Millis, balancer: SocketAddr, packet: &Packet<B>) {
        let segment = packet.segment;
        self.balancer = balancer;
        if segment.payload > 0 && !segment.fin {
            let since = self.data.take().map_or(now, |(since, _)| since);
            self.data = Some((since, packet.bytes.clone()));
        }
        self.has_fin |= segment.fin;
        if segment.ack {
            self.caller_ack = Some(segment.ack_seq);
        }
    }

    /// When the data was delivered first, `None` without data: on a flow that has ended, the target
    /// ignores other packets.
    fn data_since(&self) -> Option<Millis> {
        self.data.as_ref().map(|(since, _)| *since)
    }

    /// Whether the activity shows that the target has kept the data: the start that got it has had
    /// the time to return it or to answer it with a RST.
    fn is_kept(&self, activity: Activity) -> bool {
        self.data_since().is_some_and(|since| {
            activity.start_ran_at <= since && activity.at >= since.after(RETURN_TIMEOUT)
        })
    }

    /// Whether an acknowledgment by the target proves that it holds the flow. The one of a FIN does
    /// not, since the target acknowledges it on a flow that has ended as well.
    const fn proves_by_acknowledgment(&self) -> bool {
        self.data.is_some() && !self.has_fin
    }
}

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
        let probe = Probe::new(now, balancer);
        let probe = self.probes.entry(packet.flow).or_insert(probe);
        probe.on_packet(now, balancer, &packet);
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

    /// Decides about a RST of the target. Only the caller of a flow that the target held gets it,
    /// because another target may hold the flow.
    pub(super) fn on_target_rst(
        &mut self,
        now: Millis,
        flow: FlowId,
        bytes: B,
        out: &mut Vec<AgentAction<B>>,
    ) {
        let conn = self.conns.get(&flow).copied();
        let is_open = conn.is_some_and(|conn| conn.stage == Stage::Open);
        if is_open || self.ended.contains(&flow) {
            if conn.is_some_and(|conn| conn.is_busy) {
                self.health.on_end(now, false);
            }
            self.forget(now, &flow);
            out.push(AgentAction::ToCaller { flow, bytes });
            return;
        }
        self.not_held.insert(now, flow, now);
        let syn = self.unanswered_syns.remove(&flow);
        let probe = self.probes.remove(&flow);
        self.forget(now, &flow);
        let (prober, data) = probe.map_or((None, None), |probe| {
            (Some(probe.balancer), probe.data.map(|(_, bytes)| bytes))
        });
        // The caller's packet, which the target has not taken.
        let syn = syn.map(|bytes| (RejectReason::Returned, bytes));
        let rejected = syn.or_else(|| data.map(|bytes| (RejectReason::NotHeld, bytes)));
        let holding = Holding::No;
        match (prober.or(conn.and_then(|conn| conn.balancer)), rejected) {
            (Some(to), Some((reason, bytes))) => reject(to, reason, bytes, out),
            (Some(to), None) => out.push(AgentAction::Reply { to, flow, holding }),
            (None, _) => {}
        }
        drop_ended(flow, out);
    }

    /// Whether a packet of the target, other than a RST, proves that the target holds the flow.
    pub(super) fn shows_holding(&self, flow: &FlowId, segment: &Segment) -> bool {
        let is_answer = || {
            let probe = self.probes.get(flow);
            probe.is_some_and(Probe::proves_by_acknowledgment)
        };
        segment.carries_data_or_fin() || (!segment.syn && is_answer())
    }

    /// Notes something that the target has sent, by the start that ran at `start_ran_at`. The oldest
    /// start counts, which proves most.
    pub(super) fn note_activity(&mut self, at: Millis, start_ran_at: Millis) {
        let before = self.activity.map(|activity| activity.start_ran_at);
        if before.is_none_or(|before| start_ran_at <= before) {
            self.activity = Some(Activity { at, start_ran_at });
        }
    }

    /// Ends probes. The target holds the flow if it neither returned the data within the timeout
    /// nor answered it with a RST, and has sent something since. Other probes are discarded after
    /// a while.
    pub(super) fn end_probes(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let activity = self.activity.take();
        let is_kept = |probe: &Probe<B>| activity.is_some_and(|activity| probe.is_kept(activity));
        let timeout = Millis(self.limits.heartbeat.0 * MISSED_HEARTBEATS);
        let is_over = |probe: &Probe<B>| {
            let since = probe.data_since().unwrap_or(probe.since);
            is_kept(probe) || now.since(since) > timeout
        };
        let ended: Vec<_> = self
            .probes
            .extract_if(|_, probe| is_over(probe))
            .filter(|(_, probe)| is_kept(probe))
            .collect();
        for (flow, probe) in ended {
            let conn = Conn::presumed(now, probe.balancer, probe.caller_ack);
            if let Some((_, evicted)) = self.conns.insert(now, flow, conn) {
                self.on_removed(now, &evicted);
            }
            let (to, holding) = (probe.balancer, Holding::Here);
            out.push(AgentAction::Reply { to, flow, holding });
        }
    }
}
