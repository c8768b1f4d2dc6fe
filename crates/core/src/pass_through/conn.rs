//! State of one flow, as the agent derives it from the packets of both ends.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::Segment;

/// Stage of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The SYN was delivered to the target, which has not answered it.
    Offered,
    /// The target answered the SYN.
    Answered,
    /// The caller acknowledged the target's SYN-ACK, or the target sent something else.
    Open,
    /// Presumed open, because the target kept data of the flow.
    Presumed,
}

/// Flow at this agent's target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conn {
    pub(super) stage: Stage,
    /// Sequence number of the SYN, none if the agent did not see it.
    pub(super) caller_isn: Option<u32>,
    /// Sequence number of the target's SYN-ACK.
    target_isn: Option<u32>,
    /// Balancer that sent the last packet.
    pub(super) balancer: Option<SocketAddr>,
    /// Whether the caller waits for an answer to a request.
    pub(super) is_busy: bool,
    /// Arrival of that request, and the number of other requests that the target had then.
    pub(super) request: Option<(Millis, u32)>,
    /// Time of the caller's last request.
    pub(super) last_request: Option<Millis>,
    /// Sequence number after the caller's last data.
    caller_end: Option<u32>,
    /// Sequence number after a request that was dropped.
    dropped_end: Option<u32>,
    /// Last acknowledgement by the caller.
    caller_ack: Option<u32>,
    /// Sequence number after the target's last data.
    target_end: Option<u32>,
    /// Target's acknowledgement number when it last sent data.
    target_ack: Option<u32>,
    caller_ended: bool,
    target_ended: bool,
    /// When this agent first tracked the flow, or when the target accepted it. Zero for a flow that
    /// an earlier agent tracked.
    pub(super) since: Millis,
}

impl Conn {
    pub(super) const fn new(now: Millis, stage: Stage, balancer: Option<SocketAddr>) -> Self {
        Self {
            stage,
            caller_isn: None,
            target_isn: None,
            balancer,
            is_busy: false,
            request: None,
            last_request: None,
            caller_end: None,
            dropped_end: None,
            caller_ack: None,
            target_end: None,
            target_ack: None,
            caller_ended: false,
            target_ended: false,
            since: now,
        }
    }

    /// A flow that was open when an earlier agent of the target listed it. The caller accepted a RST
    /// at `seq`.
    pub(super) const fn listed(seq: u32) -> Self {
        let mut conn = Self::new(Millis::ZERO, Stage::Open, None);
        conn.caller_ack = Some(seq);
        conn
    }

    /// A flow whose data the target kept. `caller_ack` is the caller's last acknowledgement.
    pub(super) const fn presumed(
        now: Millis,
        balancer: SocketAddr,
        caller_ack: Option<u32>,
    ) -> Self {
        let mut conn = Self::new(now, Stage::Presumed, Some(balancer));
        conn.caller_ack = caller_ack;
        conn
    }

    pub(super) const fn offered(now: Millis, isn: u32, balancer: SocketAddr) -> Self {
        let mut conn = Self::new(now, Stage::Offered, Some(balancer));
        conn.caller_isn = Some(isn);
        conn
    }

    /// Whether the target holds the flow. A target that has only answered the SYN may not be the
    /// one whose answer the caller acknowledged: another one may have answered a copy of it.
    pub(super) const fn is_held(&self) -> bool {
        matches!(self.stage, Stage::Open | Stage::Presumed)
    }

    /// Whether an earlier agent tracked the flow.
    pub(super) fn is_listed(&self) -> bool {
        self.since == Millis::ZERO
    }

    /// Whether the flow was opened before `end`.
    pub(super) fn is_opened_before(&self, end: Millis) -> bool {
        self.is_listed() || self.since < end
    }

    /// Whether the caller's packet acknowledges another target's answer to the same SYN.
    pub(super) fn acks_other_target(&self, segment: &Segment) -> bool {
        let own = self.target_isn.map(|isn| isn.wrapping_add(1));
        self.stage == Stage::Answered && segment.ack && own != Some(segment.ack_seq)
    }

    /// Sequence number at which the caller accepts a RST, none if too little has been observed.
    pub(super) fn reset_seq(&self) -> Option<u32> {
        self.caller_ack.or(self.target_end)
    }

    /// Whether the caller has sent no data yet.
    pub(super) const fn awaits_request(&self) -> bool {
        self.caller_end.is_none()
    }

    /// Whether both ends have closed.
    pub(super) const fn has_ended(&self) -> bool {
        self.caller_ended && self.target_ended
    }

    /// Applies a caller's packet that is delivered to the target.
    pub(super) fn on_caller(&mut self, balancer: SocketAddr, segment: &Segment) {
        self.balancer = Some(balancer);
        if segment.ack {
            self.caller_ack = Some(segment.ack_seq);
        }
        if self.stage == Stage::Answered && segment.ack {
            self.stage = Stage::Open;
        }
        if self.is_new(segment) {
            self.caller_end = Some(end_of(segment));
            self.is_busy = !self.target_ended;
        }
        self.caller_ended |= segment.fin;
    }

    /// Whether the packet begins a request that the target has not received.
    pub(super) fn begins_request(&self, segment: &Segment) -> bool {
        !self.is_busy && !segment.rst && self.is_new(segment)
    }

    /// Notes a caller's packet that was dropped instead of delivered.
    pub(super) const fn on_dropped(&mut self, segment: &Segment) {
        self.dropped_end = Some(end_of(segment));
    }

    /// Whether a copy of the packet was dropped before.
    pub(super) fn was_dropped(&self, segment: &Segment) -> bool {
        self.dropped_end == Some(end_of(segment))
    }

    /// Whether the packet carries data that was not seen before.
    fn is_new(&self, segment: &Segment) -> bool {
        // A restarted agent recognizes a retransmitted request only by its answer.
        let known = [self.caller_end, self.target_ack].into_iter().flatten();
        let end = end_of(segment);
        segment.payload > 0 && known.into_iter().all(|known| is_after(end, known))
    }

    /// Applies a target's packet that is sent to the caller.
    pub(super) fn on_target(&mut self, now: Millis, segment: &Segment) {
        self.target_end = Some(segment.seq.wrapping_add(segment.payload));
        if segment.syn {
            // Another number than before is from the next start of the target, which got a copy of
            // the SYN.
            if self.target_isn.replace(segment.seq) != Some(segment.seq) {
                self.since = now;
            }
            if matches!(self.stage, Stage::Offered) {
                self.stage = Stage::Answered;
            }
            return;
        }
        if segment.carries_data_or_fin() {
            self.stage = Stage::Open;
        }
        if segment.payload > 0 && segment.ack {
            self.target_ack = Some(segment.ack_seq);
        }
        self.is_busy = self.is_busy && segment.payload == 0 && !segment.fin;
        self.target_ended |= segment.fin;
    }
}

const fn end_of(segment: &Segment) -> u32 {
    segment.seq.wrapping_add(segment.payload)
}

/// Whether sequence number `a` comes after `b`, with wrap-around.
const fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}
