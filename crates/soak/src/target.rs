//! Model of a target, a server that answers requests, without sockets.
//!
//! A target accepts flows, starts each request when its packet arrives and responds after a fixed
//! service time. A packet of a flow that it does not hold is returned to the agent with the mark
//! for an unknown flow. The answer to a SYN is repeated until it is acknowledged, and given up after
//! some seconds. On a flow that has ended, also on one that was given up, data is answered with a
//! RST, a FIN with an acknowledgement, and other packets are ignored.

use std::collections::HashMap;

use bytes::{Bytes, BytesMut};
use citronhollow_adapter::packet::from_caller;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::members::TargetState;
use citronhollow_standin::packet::{Writer, data, encode, is_genuine, returned};

/// Length of a response, in bytes.
pub const ANSWER_LEN: usize = 600;

/// Time to process one request.
const SERVICE_TIME: Millis = Millis(15);

/// Number of requests processed concurrently.
pub const SLOTS: u16 = 2;

/// Time after which the answer to a SYN is repeated first, and the longest time between two repeats.
const REPEAT_AFTER: Millis = Millis(200);
const REPEAT_AFTER_MAX: Millis = Millis(1_600);

/// Number of repeats after which a flow that is not established is given up.
const REPEATS_MAX: u32 = 8;

/// Ticks per millisecond of the clock that gives sequence numbers.
const ISN_TICKS_PER_MS: u64 = 250;

/// Number of different distances from that clock, less than the window in which callers take a RST.
const CLOCK_OFFSETS: u32 = 60_000;

/// A request, which a caller sends in a single packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Unique number of the request.
    pub id: u64,
    /// Whether the request is idempotent and may run more than once.
    pub may_repeat: bool,
}

impl Request {
    /// Length of a request, in bytes.
    pub const LEN: usize = 9;

    /// Encodes the request as packet payload.
    #[must_use]
    pub fn to_bytes(self) -> [u8; Self::LEN] {
        let mut bytes = [u8::from(self.may_repeat); Self::LEN];
        bytes[..8].copy_from_slice(&self.id.to_be_bytes());
        bytes
    }

    /// Decodes a request from packet payload, or returns `None` if it is not a request.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (id, rest) = bytes.split_first_chunk::<8>()?;
        let id = u64::from_be_bytes(*id);
        let may_repeat = *rest.first()? != 0;
        Some(Self { id, may_repeat })
    }
}

/// Generates the response to a request. The data depends on the request number.
#[must_use]
pub fn answer(request: u64) -> Bytes {
    let mut buf = BytesMut::with_capacity(ANSWER_LEN);
    let mut word = request;
    while buf.len() < ANSWER_LEN {
        word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        buf.extend_from_slice(&word.to_be_bytes());
    }
    buf.truncate(ANSWER_LEN);
    buf.freeze()
}

/// An action of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetEvent {
    /// Sends a packet to its agent.
    Send(Bytes),
    /// A flow was established.
    Opened(FlowId),
    /// A request starts to run.
    RequestStarted(Request),
    /// A packet was altered after its caller sent it.
    Altered(FlowId),
}

/// Stage of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The SYN was answered. The answer is repeated at `next`.
    HalfOpen {
        next: Millis,
        wait: Millis,
        repeats: u32,
    },
    Open,
    Ended,
}

#[derive(Debug)]
struct HeldFlow {
    caller_isn: u32,
    /// Sequence number of the next byte sent to the caller.
    next_seq: u32,
    /// Sequence number of the next byte expected from the caller.
    expected: u32,
    stage: Stage,
    last_answer: Option<Bytes>,
}

/// One run of a target, from start to exit.
#[derive(Debug)]
pub struct Target {
    /// State reported to its agent.
    pub state: TargetState,
    flows: HashMap<FlowId, HeldFlow>,
    /// Pending responses with their times and flows.
    due: Vec<(Millis, FlowId, Bytes)>,
    busy_until: [Millis; SLOTS as usize],
    next_isn: u32,
    /// Distance of first sequence numbers from those of a clock that all targets share, `None` if
    /// they are not taken from it. It keeps two targets that answer copies of a SYN in the same
    /// millisecond apart: a caller's acknowledgement must fit one of them only.
    clock_offset: Option<u32>,
}

impl Target {
    /// Creates a target without flows. An even `seed` makes its sequence numbers differ from other
    /// targets', and an odd one takes them from a clock.
    #[must_use]
    pub fn new(seed: u32) -> Self {
        Self {
            state: TargetState::Ready,
            flows: HashMap::new(),
            due: Vec::new(),
            busy_until: [Millis::ZERO; SLOTS as usize],
            next_isn: seed,
            clock_offset: (seed % 2 == 1).then_some(seed / 2 % CLOCK_OFFSETS),
        }
    }

    /// Whether the target holds this established flow.
    #[must_use]
    pub fn holds(&self, flow: &FlowId) -> bool {
        let held = self.flows.get(flow);
        held.is_some_and(|held| held.stage == Stage::Open)
    }

    /// Handles a packet from the agent.
    pub fn on_packet(&mut self, now: Millis, bytes: &Bytes, out: &mut Vec<TargetEvent>) {
        let Ok(caller) = from_caller(bytes.clone()) else {
            return;
        };
        let (flow, segment) = (caller.packet.flow, caller.packet.segment);
        if !is_genuine(bytes) {
            out.push(TargetEvent::Altered(flow));
        } else if segment.is_initial_syn() {
            self.on_syn(now, flow, &segment, out);
        } else if segment.rst {
            self.flows.remove(&flow);
        } else if self.has_ended(&flow) {
            let answer = self.answer_on_ended(flow, &segment);
            out.extend(answer.map(TargetEvent::Send));
        } else if self.is_for_held(&flow, &segment) {
            self.on_held(now, flow, &segment, bytes, out);
        } else {
            out.push(TargetEvent::Send(returned(bytes)));
        }
    }

    /// Returns the repeated answers to SYNs that are due, and gives up flows whose SYN was answered
    /// often enough.
    pub fn take_repeated(&mut self, now: Millis) -> Vec<Bytes> {
        let mut due = Vec::new();
        for (flow, held) in &mut self.flows {
            let Stage::HalfOpen {
                next,
                wait,
                repeats,
            } = &mut held.stage
            else {
                continue;
            };
            if now < *next {
                continue;
            }
            if *repeats == REPEATS_MAX {
                held.stage = Stage::Ended;
                continue;
            }
            *wait = Millis(wait.0 * 2).min(REPEAT_AFTER_MAX);
            *next = now.after(*wait);
            *repeats += 1;
            due.push(held.syn_answer(*flow));
        }
        due
    }

    /// Removes and returns the packets of the responses that are due.
    pub fn take_due(&mut self, now: Millis) -> Vec<Bytes> {
        let due = self.due.extract_if(.., |(at, ..)| *at <= now);
        let due: Vec<_> = due.collect();
        due.into_iter()
            .filter_map(|(_, flow, answer)| self.write_answer(flow, &answer))
            .collect()
    }

    fn on_syn(&mut self, now: Millis, flow: FlowId, segment: &Segment, out: &mut Vec<TargetEvent>) {
        let is_copy = |held: &HeldFlow| held.caller_isn == segment.seq;
        if !self.flows.get(&flow).is_some_and(is_copy) {
            self.next_isn = if let Some(offset) = self.clock_offset {
                let clock = u32::try_from(now.0 * ISN_TICKS_PER_MS % (1 << 32));
                clock.unwrap_or_default().wrapping_add(offset)
            } else {
                self.next_isn
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223)
            };
            let held = HeldFlow {
                caller_isn: segment.seq,
                next_seq: self.next_isn.wrapping_add(1),
                expected: segment.seq.wrapping_add(1),
                stage: Stage::HalfOpen {
                    next: now.after(REPEAT_AFTER),
                    wait: REPEAT_AFTER,
                    repeats: 0,
                },
                last_answer: None,
            };
            self.flows.insert(flow, held);
        }
        let held = self.flows.get(&flow);
        let half_open = held.filter(|held| matches!(held.stage, Stage::HalfOpen { .. }));
        out.extend(half_open.map(|held| TargetEvent::Send(held.syn_answer(flow))));
    }

    fn has_ended(&self, flow: &FlowId) -> bool {
        let held = self.flows.get(flow);
        held.is_some_and(|held| held.stage == Stage::Ended)
    }

    fn answer_on_ended(&self, flow: FlowId, segment: &Segment) -> Option<Bytes> {
        let held = self.flows.get(&flow)?;
        let answer = Segment {
            ack: segment.fin,
            rst: !segment.fin,
            seq: held.next_seq,
            ack_seq: held.expected,
            ..Segment::default()
        };
        let is_answered = segment.fin || segment.payload > 0;
        is_answered.then(|| encode(Writer::Target, flow, &answer, b""))
    }

    /// Whether the packet belongs to a flow of this target. A first packet that acknowledges
    /// another target's SYN-ACK belongs to that target.
    fn is_for_held(&self, flow: &FlowId, segment: &Segment) -> bool {
        let is_ours =
            |held: &HeldFlow| held.stage == Stage::Open || segment.ack_seq == held.next_seq;
        self.flows.get(flow).is_some_and(is_ours)
    }

    fn on_held(
        &mut self,
        now: Millis,
        flow: FlowId,
        segment: &Segment,
        bytes: &Bytes,
        out: &mut Vec<TargetEvent>,
    ) {
        let Some(held) = self.flows.get_mut(&flow) else {
            return;
        };
        if held.stage != Stage::Open {
            held.stage = Stage::Open;
            out.push(TargetEvent::Opened(flow));
        }
        if segment.fin {
            let segment = Segment {
                ack: true,
                fin: true,
                seq: held.next_seq,
                ack_seq: segment.seq.wrapping_add(1),
                ..Segment::default()
            };
            let bytes = encode(Writer::Target, flow, &segment, b"");
            out.push(TargetEvent::Send(bytes));
            held.next_seq = held.next_seq.wrapping_add(1);
            held.stage = Stage::Ended;
        } else if let Some(request) = Request::from_bytes(data(bytes)) {
            if segment.seq == held.expected {
                held.expected = held.expected.wrapping_add(segment.payload);
                held.last_answer = None;
                out.push(TargetEvent::RequestStarted(request));
                self.work(now, flow, request);
            } else if let Some(answer) = held.last_answer.clone() {
                // The caller did not receive the response and retransmitted its request.
                out.push(TargetEvent::Send(answer));
            }
        }
    }

    fn work(&mut self, now: Millis, flow: FlowId, request: Request) {
        if let Some(slot) = self.busy_until.iter_mut().min() {
            *slot = (*slot).max(now).after(SERVICE_TIME);
            self.due.push((*slot, flow, answer(request.id)));
        }
    }

    fn write_answer(&mut self, flow: FlowId, answer: &[u8]) -> Option<Bytes> {
        let held = self.flows.get_mut(&flow)?;
        let segment = Segment {
            ack: true,
            seq: held.next_seq,
            ack_seq: held.expected,
            ..Segment::default()
        };
        let len = u32::try_from(answer.len()).unwrap_or_default();
        held.next_seq = held.next_seq.wrapping_add(len);
        let bytes = encode(Writer::Target, flow, &segment, answer);
        held.last_answer = Some(bytes.clone());
        Some(bytes)
    }
}

impl HeldFlow {
    fn syn_answer(&self, flow: FlowId) -> Bytes {
        let segment = Segment {
            syn: true,
            ack: true,
            seq: self.next_seq.wrapping_sub(1),
            ack_seq: self.expected,
            ..Segment::default()
        };
        encode(Writer::Target, flow, &segment, b"")
    }
}
