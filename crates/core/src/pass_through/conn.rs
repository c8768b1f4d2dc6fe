//! One flow as the agent sees it from outside, from the packets of both ends.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::Segment;

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The target was given the new_flow packet and has not answered it.
    Offered,
    /// The target answered the new_flow packet.
    Answered,
    /// The caller acknowledged the target's answer, or the target sent more than its answer.
    Open,
    /// Taken to be open since the target did not return a packet of it.
    Presumed,
}

/// A flow at this agent's target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conn {
    pub(super) stage: Stage,
    /// Sequence number of the new_flow packet, none if the agent did not see it.
    pub(super) caller_isn: Option<u32>,
    /// Sequence number of the target's answer to it.
    target_isn: Option<u32>,
    /// The balancer that sent the last packet.
    pub(super) balancer: Option<SocketAddr>,
    /// The caller waits for an answer to a request.
    pub(super) is_busy: bool,
    /// When that request came, and how many others the target had then.
    pub(super) request: Option<(Millis, u32)>,
    /// When the caller sent a request last.
    pub(super) last_request: Option<Millis>,
    /// End of what the caller sent so far.
    caller_end: Option<u32>,
    /// End of a request that was dropped.
    dropped_end: Option<u32>,
    /// What the caller acknowledged last.
    caller_ack: Option<u32>,
    /// End of what the target sent last.
    target_end: Option<u32>,
    /// What the target had received when it sent data last.
    answered: Option<u32>,
    caller_ended: bool,
    target_ended: bool,
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
            answered: None,
            caller_ended: false,
            target_ended: false,
            since: now,
        }
    }

    pub(super) const fn offered(now: Millis, isn: u32, balancer: SocketAddr) -> Self {
        let mut conn = Self::new(now, Stage::Offered, Some(balancer));
        conn.caller_isn = Some(isn);
        conn
    }

    /// Whether the caller's packet acknowledges the answer of another target to the same new_flow
    /// packet.
    pub(super) fn acks_other_target(&self, segment: &Segment) -> bool {
        let own = self.target_isn.map(|isn| isn.wrapping_add(1));
        self.stage == Stage::Answered && segment.ack && own != Some(segment.ack_seq)
    }

    /// Sequence number at which the caller accepts a reset, none if too little was seen.
    pub(super) fn reset_seq(&self) -> Option<u32> {
        self.caller_ack.or(self.target_end)
    }

    /// Whether the caller has sent nothing yet on a flow that was seen to open.
    pub(super) const fn awaits_request(&self) -> bool {
        self.caller_end.is_none()
    }

    /// Both ends have closed.
    pub(super) const fn has_ended(&self) -> bool {
        self.caller_ended && self.target_ended
    }

    /// The caller's packet goes to the target.
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

    /// Whether the packet begins a request that the target has not seen.
    pub(super) fn begins_request(&self, segment: &Segment) -> bool {
        !self.is_busy && !segment.rst && self.is_new(segment)
    }

    /// A packet of the caller is not given to the target.
    pub(super) const fn on_dropped(&mut self, segment: &Segment) {
        self.dropped_end = Some(end_of(segment));
    }

    /// Whether a copy of the packet was not given to the target.
    pub(super) fn was_dropped(&self, segment: &Segment) -> bool {
        self.dropped_end == Some(end_of(segment))
    }

    /// Whether the packet carries data that was not seen before.
    fn is_new(&self, segment: &Segment) -> bool {
        // An agent that was started again knows a repeated request only by its answer.
        let known = [self.caller_end, self.answered].into_iter().flatten();
        let end = end_of(segment);
        segment.payload > 0 && known.into_iter().all(|known| is_after(end, known))
    }

    /// The target's packet goes to the caller.
    pub(super) const fn on_target(&mut self, segment: &Segment) {
        self.target_end = Some(segment.seq.wrapping_add(segment.payload));
        if segment.syn {
            self.target_isn = Some(segment.seq);
            if matches!(self.stage, Stage::Offered) {
                self.stage = Stage::Answered;
            }
            return;
        }
        self.stage = Stage::Open;
        if segment.payload > 0 && segment.ack {
            self.answered = Some(segment.ack_seq);
        }
        self.is_busy = self.is_busy && segment.payload == 0 && !segment.fin;
        self.target_ended |= segment.fin;
    }
}

const fn end_of(segment: &Segment) -> u32 {
    segment.seq.wrapping_add(segment.payload)
}

/// Whether sequence number `a` comes after `b`, across the wrap-around.
const fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}
