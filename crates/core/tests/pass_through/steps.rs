//! Events of a single agent and its target, and what the agent's actions contain.

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, Heartbeat, Holding, Offer, RejectReason, Reset,
};

use crate::fixture::{
    Bytes, HEARTBEAT, TARGET_ISN, ack, balancer_addr, beat, flow, group, heartbeat, instance,
    packet, request, response, syn, syn_ack, tick_until,
};

pub const START: Millis = Millis(10_000);
pub const SOON: Millis = Millis(10_020);

pub type Actions = Vec<AgentAction<Bytes>>;

pub fn from_caller(
    agent: &mut Agent<Bytes>,
    now: Millis,
    offer: Offer,
    flow: FlowId,
    segment: Segment,
) -> Actions {
    let mut out = Vec::new();
    let packet = packet(flow, segment);
    agent.on_packet(now, balancer_addr(1), offer, group(), packet, &mut out);
    out
}

pub fn from_target(
    agent: &mut Agent<Bytes>,
    now: Millis,
    flow: FlowId,
    segment: Segment,
) -> Actions {
    let mut out = Vec::new();
    agent.on_target_packet(now, packet(flow, segment), &mut out);
    out
}

pub fn returned(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId, segment: Segment) -> Actions {
    let mut out = Vec::new();
    agent.on_returned(now, packet(flow, segment), &mut out);
    out
}

pub fn tick(agent: &mut Agent<Bytes>, now: Millis) -> Actions {
    let mut out = Vec::new();
    agent.on_tick(now, &mut out);
    out
}

pub fn open(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    from_caller(agent, now, Offer::New, flow, syn());
    from_target(agent, now, flow, syn_ack(TARGET_ISN));
    from_caller(agent, now, Offer::Held, flow, ack(TARGET_ISN));
}

pub fn rst() -> Segment {
    Segment {
        rst: true,
        seq: TARGET_ISN + 1,
        ..Segment::default()
    }
}

/// Opens a flow and starts a request on it.
pub fn start_request(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    open(agent, now, flow);
    from_caller(agent, now, Offer::Held, flow, request());
}

/// Lets the agent measure 90 ms for a request, then starts two requests for each of the two slots.
pub fn fill(agent: &mut Agent<Bytes>) {
    complete_request(agent, Millis(90));
    for number in 1..=4 {
        open(agent, START, flow(number));
        from_caller(agent, START, Offer::Held, flow(number), request());
    }
}

/// Lets the target answer one request after `took`.
pub fn complete_request(agent: &mut Agent<Bytes>, took: Millis) {
    let since = Millis(START.0 - took.0);
    open(agent, since, flow(99));
    from_caller(agent, since, Offer::Held, flow(99), request());
    from_target(agent, START, flow(99), response());
}

/// Lets the target answer the SYN of a flow. The answer is lost, and the caller's copy of the SYN
/// opens the flow at another target, unless it acknowledges this one's answer later.
pub fn answer_syn(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    from_caller(agent, now, Offer::New, flow, syn());
    from_target(agent, now, flow, syn_ack(TARGET_ISN));
}

/// Ways in which the start number 1 of a target ends. The last one is not an end, but a silence
/// after which the target counts as gone.
#[derive(Clone, Copy, Debug)]
pub enum End {
    Leave,
    LeaveOfTheMachine,
    RestartInPlace,
    Replacement,
    Crash,
    Silence,
}

pub const ENDS: [End; 6] = [
    End::Leave,
    End::LeaveOfTheMachine,
    End::RestartInPlace,
    End::Replacement,
    End::Crash,
    End::Silence,
];

/// Ends the target's start number 1, whose last heartbeat has the given sequence number and has just
/// arrived. Returns the agent's actions of the following seconds.
pub fn end_target(agent: &mut Agent<Bytes>, now: Millis, end: End, sequence: u64) -> Actions {
    let mut all = Vec::new();
    match end {
        End::Leave | End::LeaveOfTheMachine => {
            let draining = heartbeat(1, sequence + 1, TargetState::Draining);
            all.extend(beat(agent, now, draining));
            agent.on_leave(now, instance(1));
            if matches!(end, End::LeaveOfTheMachine) {
                agent.stop();
            }
            all.extend(tick_until(agent, now, now.after(Millis(1_300))));
        }
        End::RestartInPlace | End::Replacement => {
            let is_replaced = matches!(end, End::Replacement);
            let next_instance = instance(if is_replaced { 2 } else { 1 });
            for number in 0..3 {
                let at = now.after(Millis(500 + number * HEARTBEAT.0));
                let next = Heartbeat {
                    instance: next_instance,
                    ..heartbeat(2, number, TargetState::Ready)
                };
                all.extend(beat(agent, at, next));
                all.extend(tick_until(agent, at, at.after(HEARTBEAT)));
            }
            assert_eq!(agent.running_start(), Some(2));
        }
        End::Crash | End::Silence => {
            // A crashed target is started again, after it counted as gone.
            let gone = now.after(Millis(4_000));
            all.extend(tick_until(agent, now, gone));
            assert_eq!(agent.state(gone), TargetState::Dead);
            if matches!(end, End::Crash) {
                all.extend(run_start(agent, gone, 2, 0, 3));
            }
        }
    }
    all
}

pub fn holding(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) -> Holding {
    let mut out = Vec::new();
    agent.on_question(now, balancer_addr(1), flow, &mut out);
    match out.as_slice() {
        [AgentAction::Reply { holding, .. }] => *holding,
        other => panic!("{other:?}"),
    }
}

pub fn is_delivered(actions: &Actions) -> bool {
    matches!(actions.as_slice(), [AgentAction::Deliver { .. }])
}

pub fn is_sent_to_caller(actions: &Actions) -> bool {
    let is_sent = |action: &AgentAction<Bytes>| matches!(action, AgentAction::ToCaller { .. });
    actions.iter().any(is_sent)
}

pub fn rejected(actions: &Actions) -> Option<RejectReason> {
    actions.iter().find_map(|action| match action {
        AgentAction::Reject { rejected, .. } => Some(rejected.reason),
        _ => None,
    })
}

pub fn resets(actions: &Actions) -> Vec<Reset> {
    let reset = |action: &AgentAction<Bytes>| match action {
        AgentAction::Reset(reset) => Some(*reset),
        _ => None,
    };
    actions.iter().filter_map(reset).collect()
}

pub fn replies(actions: &Actions) -> Vec<Holding> {
    let reply = |action: &AgentAction<Bytes>| match action {
        AgentAction::Reply { holding, .. } => Some(*holding),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

/// Sends heartbeats until `end`, so that the target counts as alive.
pub fn beat_until(agent: &mut Agent<Bytes>, from: Millis, end: Millis) {
    let mut at = from;
    let mut sequence = 100;
    while at < end {
        at = at.after(HEARTBEAT);
        sequence += 1;
        beat(agent, at, heartbeat(1, sequence, TargetState::Ready));
        tick(agent, at);
    }
}

/// Lets the target's start number 1 send heartbeats every second, the last one at `end`.
pub fn run_until(agent: &mut Agent<Bytes>, from: Millis, end: Millis) {
    let mut sequence = from.0 / 1_000 + 1;
    for at in (from.0..=end.0).step_by(25).map(Millis) {
        if (end.0 - at.0).is_multiple_of(HEARTBEAT.0) {
            sequence += 1;
            beat(agent, at, heartbeat(1, sequence, TargetState::Ready));
        }
        tick(agent, at);
    }
}

/// Lets a start of the target send `count` heartbeats after its number `sequence`, the first one at
/// `from`. Returns the agent's actions until one interval after the last.
pub fn run_start(
    agent: &mut Agent<Bytes>,
    from: Millis,
    started_at: u64,
    sequence: u64,
    count: u64,
) -> Actions {
    let mut all = Vec::new();
    for number in 1..=count {
        let at = Millis(from.0 + (number - 1) * HEARTBEAT.0);
        all.extend(beat(
            agent,
            at,
            heartbeat(started_at, sequence + number, TargetState::Ready),
        ));
        all.extend(tick_until(agent, at, at.after(HEARTBEAT)));
    }
    all
}
