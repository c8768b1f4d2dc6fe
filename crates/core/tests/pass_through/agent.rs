//! Tests of a single agent and its target.

use citronhollow_core::clock::Millis;
use citronhollow_core::config::RequestClass;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::GroupId;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, FlowList, Heartbeat, Holding, ListedFlow, Offer, Packet, RejectReason,
    Reset, ResetReason,
};

use crate::fixture::{
    Bytes, CALLER_ISN, FLOW_TIMEOUT, HEARTBEAT, TARGET_ISN, ack, agent, agent_limits,
    balancer_addr, beat, flow, group, heartbeat, identity, instance, packet, request, response,
    restarted_agent, service_addr, syn, syn_ack, tick_until,
};

const START: Millis = Millis(10_000);
const SOON: Millis = Millis(10_020);

type Actions = Vec<AgentAction<Bytes>>;

fn from_caller(
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

fn from_target(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId, segment: Segment) -> Actions {
    let mut out = Vec::new();
    agent.on_target_packet(now, packet(flow, segment), &mut out);
    out
}

fn returned(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId, segment: Segment) -> Actions {
    let mut out = Vec::new();
    agent.on_returned(now, packet(flow, segment), &mut out);
    out
}

fn tick(agent: &mut Agent<Bytes>, now: Millis) -> Actions {
    let mut out = Vec::new();
    agent.on_tick(now, &mut out);
    out
}

fn open(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    from_caller(agent, now, Offer::New, flow, syn());
    from_target(agent, now, flow, syn_ack(TARGET_ISN));
    from_caller(agent, now, Offer::Held, flow, ack(TARGET_ISN));
}

fn rst() -> Segment {
    Segment {
        rst: true,
        seq: TARGET_ISN + 1,
        ..Segment::default()
    }
}

/// Opens a flow and starts a request on it.
fn start_request(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    open(agent, now, flow);
    from_caller(agent, now, Offer::Held, flow, request());
}

/// Lets the agent measure 90 ms for a request, then starts two requests for each of the two slots.
fn fill(agent: &mut Agent<Bytes>) {
    complete_request(agent, Millis(90));
    for number in 1..=4 {
        open(agent, START, flow(number));
        from_caller(agent, START, Offer::Held, flow(number), request());
    }
}

/// Lets the target answer one request after `took`.
fn complete_request(agent: &mut Agent<Bytes>, took: Millis) {
    let since = Millis(START.0 - took.0);
    open(agent, since, flow(99));
    from_caller(agent, since, Offer::Held, flow(99), request());
    from_target(agent, START, flow(99), response());
}

/// Lets the target answer the SYN of a flow. The answer is lost, and the caller's copy of the SYN
/// opens the flow at another target, unless it acknowledges this one's answer later.
fn answer_syn(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) {
    from_caller(agent, now, Offer::New, flow, syn());
    from_target(agent, now, flow, syn_ack(TARGET_ISN));
}

/// Ways in which the start number 1 of a target ends. The last one is not an end, but a silence
/// after which the target counts as gone.
#[derive(Clone, Copy, Debug)]
enum End {
    Leave,
    LeaveOfTheMachine,
    RestartInPlace,
    Replacement,
    Crash,
    Silence,
}

const ENDS: [End; 6] = [
    End::Leave,
    End::LeaveOfTheMachine,
    End::RestartInPlace,
    End::Replacement,
    End::Crash,
    End::Silence,
];

/// Ends the target's start number 1, whose last heartbeat has the given sequence number and has just
/// arrived. Returns the agent's actions of the following seconds.
fn end_target(agent: &mut Agent<Bytes>, now: Millis, end: End, sequence: u64) -> Actions {
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

fn holding(agent: &mut Agent<Bytes>, now: Millis, flow: FlowId) -> Holding {
    let mut out = Vec::new();
    agent.on_question(now, balancer_addr(1), flow, &mut out);
    match out.as_slice() {
        [AgentAction::Reply { holding, .. }] => *holding,
        other => panic!("{other:?}"),
    }
}

fn is_delivered(actions: &Actions) -> bool {
    matches!(actions.as_slice(), [AgentAction::Deliver { .. }])
}

fn is_sent_to_caller(actions: &Actions) -> bool {
    let is_sent = |action: &AgentAction<Bytes>| matches!(action, AgentAction::ToCaller { .. });
    actions.iter().any(is_sent)
}

fn rejected(actions: &Actions) -> Option<RejectReason> {
    actions.iter().find_map(|action| match action {
        AgentAction::Reject { rejected, .. } => Some(rejected.reason),
        _ => None,
    })
}

fn resets(actions: &Actions) -> Vec<Reset> {
    let reset = |action: &AgentAction<Bytes>| match action {
        AgentAction::Reset(reset) => Some(*reset),
        _ => None,
    };
    actions.iter().filter_map(reset).collect()
}

fn replies(actions: &Actions) -> Vec<Holding> {
    let reply = |action: &AgentAction<Bytes>| match action {
        AgentAction::Reply { holding, .. } => Some(*holding),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

/// Sends heartbeats until `end`, so that the target counts as alive.
fn beat_until(agent: &mut Agent<Bytes>, from: Millis, end: Millis) {
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
fn run_until(agent: &mut Agent<Bytes>, from: Millis, end: Millis) {
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
fn run_start(
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

cases! {
    syn_is_delivered => {
        let mut agent = agent(START);
        let actions = from_caller(&mut agent, START, Offer::New, flow(1), syn());
        assert!(is_delivered(&actions), "{actions:?}");
    };

    syn_of_another_group_is_rejected => {
        let mut agent = agent(START);
        let mut out = Vec::new();
        let packet = packet(flow(1), syn());
        let other = GroupId::of("draw-office");
        agent.on_packet(START, balancer_addr(1), Offer::New, other, packet, &mut out);
        assert_eq!(rejected(&out), Some(RejectReason::WrongGroup));
    };

    draining_target_is_given_no_new_flow_from_its_heartbeat_on => {
        let mut agent = agent(START);
        beat(&mut agent, START, heartbeat(1, 2, TargetState::Draining));
        let actions = from_caller(&mut agent, START, Offer::New, flow(1), syn());
        assert_eq!(rejected(&actions), Some(RejectReason::NotReady));
    };

    draining_target_keeps_its_flows => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        beat(&mut agent, START, heartbeat(1, 2, TargetState::Draining));
        assert!(is_delivered(&from_caller(&mut agent, SOON, Offer::Held, flow(1), request())));
    };

    // Guards against starts that are ordered by the wall clock: it jumped back between two starts,
    // the heartbeats of the second one were dropped, and its flows were reset.
    start_that_keeps_sending_is_the_running_one_whatever_its_clock_says => {
        for (first, second) in [(1, 7), (7, 1)] {
            let mut agent = Agent::new(START, identity(1, 1), agent_limits());
            beat(&mut agent, START, heartbeat(first, 1, TargetState::Ready));
            run_start(&mut agent, START.after(Millis(700)), second, 0, 1);
            let opened_at = START.after(Millis(1_750));
            open(&mut agent, opened_at, flow(1));
            let mut all = run_start(&mut agent, opened_at, second, 1, 6);
            let later = START.after(Millis(9_000));
            all.extend(tick_until(&mut agent, later, later));
            assert_eq!(resets(&all), [], "first start {first}");
            assert_eq!(agent.state(START.after(Millis(7_750))), TargetState::Ready);
            assert_eq!(agent.running_start(), Some(second));
        }
    };

    // The wall clock may have jumped between the two starts, so the late one may seem the later.
    late_heartbeats_of_an_earlier_start_change_nothing => {
        for (first, second) in [(1, 7), (7, 1)] {
            let mut agent = restarted_agent(START);
            let from = START.after(Millis(700));
            run_start(&mut agent, from, first, 50, 3);
            let from = from.after(Millis(3_500));
            run_start(&mut agent, from, second, 0, 3);
            let now = from.after(Millis(3_000));
            open(&mut agent, now, flow(1));
            let mut all = Vec::new();
            // Late ones arrive in a burst, and later again at the pace at which they were sent.
            for step in 0..200_u64 {
                let at = now.after(Millis(step * 25));
                if step % 40 == 0 {
                    let running = heartbeat(second, 4 + step / 40, TargetState::Ready);
                    all.extend(beat(&mut agent, at, running));
                }
                if step < 3 || step % 40 == 20 {
                    let late = heartbeat(first, 54 + step, TargetState::Draining);
                    all.extend(beat(&mut agent, at, late));
                }
                all.extend(tick(&mut agent, at));
                let is_contested = step < 40 || step % 40 >= 20;
                assert!(is_contested || agent.state(at) == TargetState::Ready, "at {step}");
            }
            assert_eq!(resets(&all), []);
            let later = now.after(Millis(5_000));
            assert_eq!(agent.running_start(), Some(second));
            assert_eq!(holding(&mut agent, later, flow(1)), Holding::Here);
        }
    };

    // The first start's last heartbeat arrives after the next start has opened a flow, which it must
    // not claim.
    late_heartbeat_of_an_ended_start_claims_no_flow_of_the_next_one => {
        for (earlier_born, born) in [(1, 2), (2, 1)] {
            let mut agent = Agent::new(START, identity(1, 1), agent_limits());
            run_start(&mut agent, START, earlier_born, 0, 4);
            let crashed = START.after(Millis(4_000));
            let mut all = beat(&mut agent, crashed, heartbeat(born, 1, TargetState::Ready));
            open(&mut agent, crashed.after(Millis(50)), flow(1));
            all.extend(tick_until(&mut agent, crashed.after(Millis(50)), crashed.after(Millis(500))));
            let late = heartbeat(earlier_born, 5, TargetState::Ready);
            all.extend(beat(&mut agent, crashed.after(Millis(500)), late));
            all.extend(tick_until(&mut agent, crashed.after(Millis(500)), crashed.after(HEARTBEAT)));
            all.extend(run_start(&mut agent, crashed.after(HEARTBEAT), born, 1, 5));
            assert_eq!(resets(&all), []);
            let later = crashed.after(Millis(6_000));
            assert_eq!(agent.running_start(), Some(born));
            assert_eq!(holding(&mut agent, later, flow(1)), Holding::Here);
        }
    };

    // They were held up on the way and do not show that their start goes on sending.
    late_heartbeats_that_arrive_at_once_are_no_proof => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        beat(&mut agent, START, heartbeat(2, 1, TargetState::Ready));
        open(&mut agent, START, flow(1));
        let late = START.after(Millis(700));
        tick_until(&mut agent, START, late);
        beat(&mut agent, late, heartbeat(1, 8, TargetState::Ready));
        beat(&mut agent, late, heartbeat(1, 9, TargetState::Ready));
        // The running start's next heartbeats are late as well.
        let mut all = tick_until(&mut agent, late, late.after(Millis(1_300)));
        assert_eq!(agent.running_start(), None);
        all.extend(run_start(&mut agent, late.after(Millis(1_300)), 2, 1, 4));
        assert_eq!(resets(&all), []);
    };

    // The next agent would reset such a flow as one of the earlier start.
    list_leaves_out_flows_that_the_next_start_may_have_opened => {
        let mut agent = agent(START);
        open(&mut agent, Millis(START.0 - 100), flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Ready));
        let next = START.after(Millis(200));
        open(&mut agent, next, flow(2));
        beat(&mut agent, next, heartbeat(2, 1, TargetState::Ready));
        let list = agent.flow_list(next.after(Millis(600))).expect("a start is proved to run");
        let listed: Vec<_> = list.flows.iter().map(|listed| listed.flow).collect();
        assert_eq!((list.started_at, listed), (1, vec![flow(1)]));
    };

    // The agent has not seen the earlier start, and hears its late heartbeat first.
    late_heartbeat_at_a_new_agent_resets_nothing => {
        for (earlier, running) in [(1, 7), (7, 1)] {
            let mut agent = Agent::new(START, identity(1, 1), agent_limits());
            let flows = vec![ListedFlow { flow: flow(1), seq: 9 }];
            let list = FlowList { started_at: running, flows };
            let mut all = Vec::new();
            agent.inherit(START, list, &mut all);
            all.extend(beat(&mut agent, SOON, heartbeat(earlier, 1, TargetState::Ready)));
            all.extend(tick_until(&mut agent, SOON, START.after(Millis(800))));
            assert_eq!(holding(&mut agent, START.after(Millis(800)), flow(2)), Holding::Maybe);
            all.extend(run_start(&mut agent, START.after(Millis(800)), running, 40, 4));
            assert_eq!(resets(&all), []);
            let later = START.after(Millis(4_800));
            assert_eq!(holding(&mut agent, later, flow(1)), Holding::Here);
            assert_eq!(holding(&mut agent, later, flow(2)), Holding::Maybe, "it may hold flows of an earlier agent");
        }
    };

    // The running start's heartbeats are delayed, but its flows show that it runs.
    start_whose_flows_get_answers_is_not_replaced => {
        let mut agent = agent(START);
        open(&mut agent, Millis(START.0 - 500), flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Ready));
        let mut all = Vec::new();
        for step in 1..160_u64 {
            let at = START.after(Millis(step * 25));
            all.extend(from_target(&mut agent, at, flow(1), response()));
            if step % 40 == 10 {
                all.extend(beat(&mut agent, at, heartbeat(2, step, TargetState::Ready)));
            }
            all.extend(tick(&mut agent, at));
        }
        assert_eq!(resets(&all), []);
    };

    // Two late heartbeats arrive at the pace of a running start, while those of the running one are
    // delayed. Its packets seem to be those of the wrong start.
    start_that_was_taken_for_an_ended_one_is_adopted_again => {
        let mut agent = agent(START);
        let later = START.after(Millis(3_000));
        tick_until(&mut agent, START, later);
        run_start(&mut agent, later, 7, 0, 2);
        let back = later.after(Millis(2_000));
        open(&mut agent, back, flow(1));
        run_start(&mut agent, back.after(Millis(200)), 7, 2, 1);
        let mut all = Vec::new();
        let mut adopted_at = None;
        for step in 0..400_u64 {
            let at = back.after(Millis(1_200 + step * 25));
            if step % 40 == 0 {
                all.extend(beat(&mut agent, at, heartbeat(1, 10 + step / 40, TargetState::Draining)));
            }
            all.extend(from_target(&mut agent, at, flow(1), response()));
            all.extend(tick(&mut agent, at));
            let list = agent.flow_list(at).map(|list| list.started_at);
            adopted_at = adopted_at.or((list == Some(1)).then_some(step));
        }
        assert_eq!(resets(&all), []);
        assert!(adopted_at.is_some_and(|step| step <= 200), "{adopted_at:?}");
    };

    // A start that is not proved to run keeps its state against a late message that it drains.
    late_draining_heartbeat_keeps_new_flows_away_for_one_interval => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        beat(&mut agent, START, heartbeat(1, 1, TargetState::Ready));
        beat(&mut agent, SOON, heartbeat(7, 9, TargetState::Draining));
        assert_eq!(agent.state(SOON), TargetState::Draining);
        let next = START.after(HEARTBEAT);
        tick_until(&mut agent, SOON, next);
        beat(&mut agent, next, heartbeat(1, 2, TargetState::Ready));
        assert_eq!(agent.state(next), TargetState::Ready);
    };

    largest_sequence_number_is_accepted => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        beat(&mut agent, START, heartbeat(1, u64::MAX, TargetState::Ready));
        assert_eq!(agent.state(START), TargetState::Ready);
    };

    // The late leave notice of an earlier start of the same instance.
    leave_notice_of_a_target_that_does_not_drain_waits_for_its_heartbeat => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Ready));
        let left_at = START.after(Millis(100));
        agent.on_leave(left_at, instance(1));
        assert_eq!(agent.state(left_at), TargetState::Draining, "no new flows meanwhile");
        let mut all = tick_until(&mut agent, left_at, START.after(Millis(1_000)));
        all.extend(beat(&mut agent, START.after(Millis(1_020)), heartbeat(1, 3, TargetState::Ready)));
        all.extend(tick_until(&mut agent, START.after(Millis(1_020)), START.after(Millis(2_000))));
        assert_eq!(resets(&all), []);
        assert_eq!(agent.state(START.after(Millis(2_000))), TargetState::Ready);
        agent.on_leave(START.after(Millis(2_000)), instance(1));
        let ended = tick_until(&mut agent, START.after(Millis(2_000)), START.after(Millis(3_400)));
        assert_eq!(resets(&ended).len(), 1, "no heartbeat followed");
        assert_eq!(agent.state(START.after(Millis(3_400))), TargetState::Dead);
    };

    // A leave notice names no start. The target drains as well, as its earlier start did.
    late_leave_notice_resets_no_flow_of_a_draining_target => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
        tick_until(&mut agent, SOON, START.after(Millis(500)));
        agent.on_leave(START.after(Millis(500)), instance(1));
        let next = START.after(Millis(1_020));
        let mut all = tick_until(&mut agent, START.after(Millis(500)), next);
        all.extend(beat(&mut agent, next, heartbeat(1, 3, TargetState::Draining)));
        all.extend(tick_until(&mut agent, next, next.after(HEARTBEAT)));
        assert_eq!(resets(&all), []);
        assert_eq!(agent.state(next.after(HEARTBEAT)), TargetState::Draining);
    };

    // The notice is that of the start before, which has not been proved to run.
    leave_notice_does_not_end_a_start_that_was_adopted_since => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        beat(&mut agent, START, heartbeat(1, 9, TargetState::Ready));
        agent.on_leave(SOON, instance(1));
        let next = START.after(Millis(200));
        tick_until(&mut agent, SOON, next);
        beat(&mut agent, next, heartbeat(2, 1, TargetState::Ready));
        assert_eq!(agent.state(next), TargetState::Ready);
        for step in 1..=80 {
            let at = next.after(Millis(step * 25));
            if step % 40 == 0 {
                beat(&mut agent, at, heartbeat(2, 1 + step / 40, TargetState::Ready));
            }
            tick(&mut agent, at);
            assert_eq!(agent.state(at), TargetState::Ready, "at {at}");
        }
    };

    // Its notice shows that it is about to end, so the next start need not be proved to run first.
    start_that_follows_a_leave_notice_is_served_at_once => {
        for state in [TargetState::Ready, TargetState::Draining] {
            let mut agent = agent(START);
            beat(&mut agent, SOON, heartbeat(1, 2, state));
            agent.on_leave(SOON, instance(1));
            let next = START.after(Millis(40));
            beat(&mut agent, next, heartbeat(2, 1, TargetState::Ready));
            assert_eq!(agent.state(next), TargetState::Ready);
        }
    };

    late_heartbeat_of_the_same_start_is_ignored => {
        let mut agent = agent(START);
        beat(&mut agent, START, heartbeat(1, 9, TargetState::Draining));
        let mut out = Vec::new();
        assert_eq!(agent.on_heartbeat(SOON, heartbeat(1, 8, TargetState::Ready), &mut out), None);
        assert_eq!(agent.state(SOON), TargetState::Draining);
    };

    silent_target_is_given_no_new_flows => {
        let mut agent = agent(START);
        for at in (0..3_000).step_by(50) {
            tick(&mut agent, START.after(Millis(at)));
        }
        assert_eq!(agent.state(START.after(Millis(3_000))), TargetState::Draining);
    };

    pause_of_the_agent_is_not_taken_for_silence_of_the_target => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        let later = START.after(Millis::from_secs(9));
        assert_eq!(resets(&tick(&mut agent, later)), []);
        assert_eq!(agent.state(later), TargetState::Ready);
    };

    syn_returned_by_the_target_is_rejected => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        let actions = returned(&mut agent, SOON, flow(1), syn());
        assert_eq!(rejected(&actions), Some(RejectReason::Returned));
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::No);
    };

    unanswered_syn_is_rejected_and_the_target_is_given_no_new_flows => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        let later = START.after(Millis(200));
        let actions = tick(&mut agent, later);
        assert_eq!(rejected(&actions), Some(RejectReason::Returned));
        assert_eq!(agent.state(later), TargetState::Draining);
        from_target(&mut agent, later, flow(2), response());
        assert_eq!(agent.state(later), TargetState::Ready, "the target is alive");
    };

    late_answer_to_a_rejected_syn_claims_no_flow_of_another_target => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        tick(&mut agent, START.after(Millis(200)));
        let later = START.after(Millis(300));
        from_target(&mut agent, later, flow(1), syn_ack(TARGET_ISN));
        let elsewhere = ack(TARGET_ISN + 9);
        let actions = from_caller(&mut agent, later, Offer::Held, flow(1), elsewhere);
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
    };

    retransmitted_syn_is_delivered_again => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        assert!(is_delivered(&from_caller(&mut agent, SOON, Offer::New, flow(1), syn())));
    };

    packet_that_acknowledges_another_targets_answer_is_rejected => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        from_target(&mut agent, START, flow(1), syn_ack(TARGET_ISN));
        let actions = from_caller(&mut agent, SOON, Offer::Held, flow(1), ack(TARGET_ISN + 9));
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
    };

    unknown_flow_is_rejected_by_an_agent_that_observed_its_targets_start => {
        let mut agent = agent(START);
        let actions = from_caller(&mut agent, START, Offer::Held, flow(1), request());
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::No);
    };

    // A target may accept flows before its first heartbeat, and its agent may be restarted in
    // between. Judged by the heartbeat's sequence number alone, such a target seemed to hold no
    // flows.
    agent_younger_than_its_target_gives_no_negative_answer => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        let first = START.after(Millis(100));
        run_start(&mut agent, first, 1, 0, 4);
        assert_eq!(holding(&mut agent, START.after(Millis(4_100)), flow(1)), Holding::Maybe);
    };

    unknown_flow_is_probed_by_an_agent_that_started_later => {
        let mut agent = restarted_agent(START);
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::Maybe);
        assert!(is_delivered(&from_caller(&mut agent, START, Offer::Probe, flow(1), request())));
    };

    probe_answered_by_the_target_finds_the_flow => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let actions = from_target(&mut agent, SOON, flow(1), response());
        assert_eq!(replies(&actions), [Holding::Here]);
    };

    probe_kept_by_a_live_target_finds_the_flow => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        from_target(&mut agent, START.after(Millis(30)), flow(2), response());
        assert_eq!(replies(&tick(&mut agent, START.after(Millis(90)))), [], "the target may still return it");
        from_target(&mut agent, START.after(Millis(95)), flow(2), response());
        assert_eq!(replies(&tick(&mut agent, START.after(Millis(100)))), [Holding::Here]);
    };

    // Guards against the claim of a flow that is open at another target: on a flow that has ended,
    // a target answers data with a RST and ignores an acknowledgment, and both were taken for the
    // proof that it holds the flow.
    probe_that_an_ended_flow_leaves_unanswered_proves_nothing => {
        let fin = Segment { fin: true, ..request() };
        for probe in [ack(TARGET_ISN), fin] {
            let mut agent = restarted_agent(START);
            from_caller(&mut agent, START, Offer::Probe, flow(1), probe);
            from_target(&mut agent, START.after(Millis(95)), flow(2), response());
            let actions = tick_until(&mut agent, START.after(Millis(100)), START.after(Millis(2_500)));
            assert_eq!(replies(&actions), [], "{probe:?}");
            assert_eq!(holding(&mut agent, START.after(Millis(2_500)), flow(1)), Holding::Maybe);
        }
    };

    // The time for the target's RST begins with the data, whatever was delivered before.
    data_after_an_acknowledgment_is_a_probe_of_its_own => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), ack(TARGET_ISN));
        let later = START.after(Millis(80));
        from_caller(&mut agent, later, Offer::Probe, flow(1), request());
        from_target(&mut agent, later.after(Millis(30)), flow(2), response());
        assert_eq!(replies(&tick(&mut agent, later.after(Millis(40)))), []);
        from_target(&mut agent, later.after(Millis(70)), flow(2), response());
        assert_eq!(replies(&tick(&mut agent, later.after(Millis(75)))), [Holding::Here]);
    };

    // Guards against the claim of a flow that is open at another target, whose agent was restarted
    // too: the target had given the flow up before it was open, and answered the probe with a RST.
    rst_of_the_target_shows_that_it_does_not_hold_a_probed_flow => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let actions = from_target(&mut agent, SOON, flow(1), rst());
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld), "the balancer goes on with the packet");
        assert!(!is_sent_to_caller(&actions), "{actions:?}");
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::No);
        let later = SOON.after(Millis(200));
        let actions = from_caller(&mut agent, later, Offer::Held, flow(1), request());
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld), "it is not probed again");
    };

    // Guards against resets of flows that are open at another target, sent by one that is half-open
    // or has given the flow up.
    rst_of_a_target_that_is_not_known_to_hold_the_flow_stays_here => {
        let mut agent = restarted_agent(START);
        let unknown = from_target(&mut agent, START, flow(1), rst());
        answer_syn(&mut agent, START, flow(2));
        let answered = from_target(&mut agent, SOON, flow(2), rst());
        assert_eq!(replies(&answered), [Holding::No]);
        // The target was slow to answer the data of a probe.
        from_caller(&mut agent, START, Offer::Probe, flow(3), request());
        from_target(&mut agent, START.after(Millis(70)), flow(4), response());
        tick(&mut agent, START.after(Millis(75)));
        let presumed = from_target(&mut agent, START.after(Millis(80)), flow(3), rst());
        assert_eq!(replies(&presumed), [Holding::No]);
        for actions in [unknown, answered, presumed] {
            assert!(!is_sent_to_caller(&actions), "{actions:?}");
        }
        let later = SOON.after(Millis(100));
        assert_eq!([1, 2, 3].map(|number| holding(&mut agent, later, flow(number))), [Holding::No; 3]);
    };

    rst_of_the_target_that_holds_the_flow_reaches_the_caller => {
        let mut agent = restarted_agent(START);
        open(&mut agent, START, flow(1));
        from_target(&mut agent, START, flow(2), response());
        for number in [1, 2] {
            let actions = from_target(&mut agent, SOON, flow(number), rst());
            assert!(is_sent_to_caller(&actions), "{actions:?}");
            assert_ne!(holding(&mut agent, SOON, flow(number)), Holding::Here);
        }
    };

    // Another target may accept the flow, so the caller must not give up.
    syn_answered_with_a_rst_is_offered_elsewhere => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        let actions = from_target(&mut agent, SOON, flow(1), rst());
        assert_eq!(rejected(&actions), Some(RejectReason::Returned));
        assert!(!is_sent_to_caller(&actions), "{actions:?}");
    };

    // Guards against the claim of a flow that is open at another target: a half-open target repeats
    // its answer to the SYN, and a target acknowledges a FIN on a flow that has ended.
    answers_of_a_target_without_the_flow_find_nothing => {
        let fin = Segment { fin: true, ..ack(TARGET_ISN + 9) };
        let data = Segment { payload: 100, ..ack(TARGET_ISN + 9) };
        let acks_fin = Segment { ack: true, seq: TARGET_ISN + 1, ..Segment::default() };
        for (probe, answer) in [(data, syn_ack(TARGET_ISN)), (fin, acks_fin)] {
            let mut agent = restarted_agent(START);
            from_caller(&mut agent, START, Offer::Probe, flow(1), probe);
            let actions = from_target(&mut agent, SOON, flow(1), answer);
            assert_eq!(replies(&actions), [], "{answer:?}");
            assert!(is_sent_to_caller(&actions), "{actions:?}");
            run_until(&mut agent, SOON, SOON.after(Millis(2_000)));
            let ended = end_target(&mut agent, SOON.after(Millis(2_000)), End::Leave, 1_000);
            assert_eq!(resets(&ended), [], "{answer:?}");
        }
    };

    acknowledgment_of_data_finds_the_flow => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let acks_data = Segment { ack: true, seq: TARGET_ISN + 1, ..Segment::default() };
        let actions = from_target(&mut agent, SOON, flow(1), acks_data);
        assert_eq!(replies(&actions), [Holding::Here]);
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::Here);
    };

    // An agent claimed a flow because its crashed target had not returned the probe. When the
    // target restarted, the agent reset the flow, although another target held it (soak seed 46).
    probe_of_a_crashed_target_proves_nothing => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        for at in (0..=2_800).step_by(50) {
            assert_eq!(replies(&tick(&mut agent, START.after(Millis(at)))), []);
        }
        let later = START.after(Millis(2_800));
        assert_eq!(resets(&beat(&mut agent, later, heartbeat(2, 1, TargetState::Ready))), []);
        assert_eq!(replies(&tick(&mut agent, later)), []);
    };

    // Guards against the claim of a flow that is open at another target: the target crashed with the
    // probe, and its next start, not heard of yet, returned a packet and answered new flows.
    probe_of_a_crashed_start_is_not_claimed_by_what_the_next_one_sends => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let next = START.after(Millis(100));
        from_caller(&mut agent, next, Offer::Probe, flow(2), request());
        returned(&mut agent, next, flow(2), request());
        start_request(&mut agent, next, flow(3));
        from_target(&mut agent, next, flow(3), response());
        let actions = tick_until(&mut agent, next, next.after(Millis(200)));
        assert_eq!(replies(&actions), []);
        assert_eq!(holding(&mut agent, next.after(Millis(200)), flow(1)), Holding::Maybe);
    };

    probe_kept_until_the_next_heartbeat_finds_the_flow => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let next = START.after(HEARTBEAT);
        assert_eq!(replies(&tick_until(&mut agent, START, next)), []);
        beat(&mut agent, next, heartbeat(1, 41, TargetState::Ready));
        assert_eq!(replies(&tick(&mut agent, next)), [Holding::Here]);
    };

    // An acknowledgment was delivered long before.
    data_of_an_old_probe_has_the_whole_time_to_be_kept => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), ack(TARGET_ISN));
        beat_until(&mut agent, START, START.after(HEARTBEAT));
        let late = START.after(Millis(1_990));
        from_caller(&mut agent, late, Offer::Probe, flow(1), request());
        tick(&mut agent, late.after(Millis(50)));
        from_target(&mut agent, late.after(Millis(70)), flow(2), response());
        assert_eq!(replies(&tick(&mut agent, late.after(Millis(75)))), [Holding::Here]);
    };

    probe_of_the_last_start_proves_nothing_about_the_next => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let later = START.after(Millis(500));
        beat(&mut agent, later, heartbeat(2, 1, TargetState::Ready));
        assert_eq!(replies(&tick(&mut agent, later)), []);
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::Maybe, "it may be a late heartbeat");
    };

    start_that_follows_a_proved_one_is_observed => {
        let mut agent = restarted_agent(START);
        run_start(&mut agent, START.after(Millis(500)), 1, 40, 2);
        assert_eq!(holding(&mut agent, START.after(Millis(2_500)), flow(1)), Holding::Maybe);
        run_start(&mut agent, START.after(Millis(3_000)), 2, 0, 2);
        assert_eq!(holding(&mut agent, START.after(Millis(5_000)), flow(1)), Holding::No);
    };

    probe_of_a_target_never_seen_alive_proves_nothing => {
        let identity = identity(1, 1);
        let mut agent = Agent::new(START, identity, agent_limits());
        from_caller(&mut agent, START, Offer::Probe, flow(1), ack(TARGET_ISN));
        assert_eq!(replies(&tick(&mut agent, START.after(Millis(90)))), []);
    };

    returned_probe_causes_no_reset => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        let actions = returned(&mut agent, SOON, flow(1), request());
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
        assert_eq!(resets(&actions), []);
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::No, "the target is not probed again");
    };

    // Callers retransmit packets of lost flows for 16 s, and each packet was sent to 57 targets as
    // a probe.
    flow_returned_by_the_target_is_not_probed_again => {
        let mut agent = restarted_agent(START);
        from_caller(&mut agent, START, Offer::Probe, flow(1), request());
        returned(&mut agent, SOON, flow(1), request());
        let later = START.after(Millis::from_secs(16));
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::No);
        from_caller(&mut agent, later, Offer::New, flow(1), syn());
        from_target(&mut agent, later, flow(1), syn_ack(TARGET_ISN));
        from_caller(&mut agent, later, Offer::Held, flow(1), ack(TARGET_ISN));
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::Here, "a new flow was opened");
    };

    // A balancer that has forwarded a packet learns whether it reached the holder, and a search by
    // probes ends.
    holder_of_a_flow_confirms_it_to_each_balancer_once => {
        let mut agent = agent(START);
        answer_syn(&mut agent, START, flow(1));
        let confirmation = |number| AgentAction::Confirm { to: balancer_addr(number), flow: flow(1) };
        let first = from_caller(&mut agent, START, Offer::Held, flow(1), ack(TARGET_ISN));
        assert!(first.contains(&confirmation(1)), "{first:?}");
        let next = from_caller(&mut agent, START, Offer::Held, flow(1), request());
        assert!(!next.contains(&confirmation(1)), "{next:?}");
        let mut from_another = Vec::new();
        let again = packet(flow(1), request());
        agent.on_packet(SOON, balancer_addr(2), Offer::Held, group(), again, &mut from_another);
        assert!(from_another.contains(&confirmation(2)), "{from_another:?}");
        let probe = from_caller(&mut agent, SOON, Offer::Probe, flow(1), request());
        assert!(probe.contains(&confirmation(1)), "{probe:?}");
    };

    // Guards against a claim of a flow that is open at another target, which answered a copy of the
    // SYN: balancers followed it, and reset the flow when this target ended.
    flow_is_claimed_once_the_caller_has_acknowledged_the_targets_answer => {
        let mut agent = agent(START);
        from_caller(&mut agent, START, Offer::New, flow(1), syn());
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::Maybe);
        from_target(&mut agent, START, flow(1), syn_ack(TARGET_ISN));
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::Maybe);
        let elsewhere = ack(TARGET_ISN + 9);
        let actions = from_caller(&mut agent, SOON, Offer::Probe, flow(1), elsewhere);
        assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::Maybe);
        from_caller(&mut agent, SOON, Offer::Held, flow(1), ack(TARGET_ISN));
        assert_eq!(holding(&mut agent, SOON, flow(1)), Holding::Here);
    };

    open_flow_that_is_returned_is_reset => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        let actions = returned(&mut agent, SOON, flow(1), request());
        assert_eq!(resets(&actions), [Reset { flow: flow(1), seq: TARGET_ISN + 1, reason: ResetReason::Returned }]);
    };

    second_returned_packet_causes_no_second_reset => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        returned(&mut agent, SOON, flow(1), request());
        assert_eq!(resets(&returned(&mut agent, SOON, flow(1), request())), []);
    };

    flows_of_a_restarted_target_are_reset => {
        let mut agent = agent(START);
        open(&mut agent, Millis(START.0 - 500), flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Ready));
        let first = START.after(Millis(500));
        assert_eq!(resets(&beat(&mut agent, first, heartbeat(2, 1, TargetState::Ready))), []);
        let actions = run_start(&mut agent, first, 2, 1, 2);
        assert_eq!(resets(&actions).len(), 1);
    };

    flow_that_began_after_the_targets_start_is_kept => {
        let mut agent = agent(START);
        open(&mut agent, START.after(Millis(500)), flow(1));
        let actions = run_start(&mut agent, START.after(Millis(1_000)), 2, 0, 3);
        assert_eq!(resets(&actions), []);
    };

    // Both starts get a copy of the SYN, and the caller acknowledges the second one's answer.
    flow_that_the_next_start_accepted_again_is_kept => {
        let mut agent = agent(START);
        open(&mut agent, Millis(START.0 - 100), flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Ready));
        from_target(&mut agent, START.after(Millis(300)), flow(1), syn_ack(TARGET_ISN + 9));
        let actions = run_start(&mut agent, START.after(Millis(400)), 2, 0, 3);
        assert_eq!(resets(&actions), []);
    };

    flows_of_a_target_that_sent_a_leave_notice_are_reset_when_it_has_ended => {
        for is_stopped in [true, false] {
            let mut agent = agent(START);
            open(&mut agent, START, flow(1));
            beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
            agent.on_leave(SOON, instance(1));
            assert!(!agent.is_idle(SOON));
            if is_stopped {
                agent.stop();
            }
            let (before, ended) = if is_stopped { (40, 150) } else { (1_240, 1_300) };
            assert_eq!(resets(&tick_until(&mut agent, SOON, START.after(Millis(before)))), []);
            let ended = START.after(Millis(ended));
            assert_eq!(resets(&tick(&mut agent, ended)).len(), 1);
            assert_eq!(agent.state(ended), TargetState::Dead);
            assert!(agent.is_idle(ended));
        }
    };

    // A leave notice that was delayed in a slow agent may be processed after the first heartbeat of
    // the next start.
    late_leave_notice_of_an_earlier_start_is_ignored => {
        let mut agent = agent(START);
        run_start(&mut agent, START, 2, 0, 3);
        let now = START.after(Millis(3_000));
        open(&mut agent, now, flow(1));
        agent.on_leave(now, instance(1));
        assert_eq!(resets(&tick(&mut agent, now.after(Millis(150)))), []);
        assert_eq!(agent.state(now.after(Millis(150))), TargetState::Ready);
    };

    // The same before the next start is proved to run.
    late_leave_notice_keeps_the_flows_of_the_next_start => {
        let mut agent = agent(START);
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
        let next = START.after(Millis(100));
        open(&mut agent, next, flow(1));
        let mut all = beat(&mut agent, next, heartbeat(2, 1, TargetState::Ready));
        agent.on_leave(next, instance(1));
        all.extend(tick_until(&mut agent, next, next.after(HEARTBEAT)));
        assert_eq!(agent.state(next.after(Millis(150))), TargetState::Ready);
        all.extend(run_start(&mut agent, next.after(HEARTBEAT), 2, 1, 3));
        assert_eq!(resets(&all), []);
    };

    // The target is restarted in place, within the time that its former start has to exit.
    leave_notice_keeps_the_flows_of_a_quick_restart => {
        let mut agent = agent(START);
        open(&mut agent, Millis(START.0 - 500), flow(1));
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
        agent.on_leave(SOON, instance(1));
        // The next start takes a flow even before its first heartbeat.
        open(&mut agent, START.after(Millis(40)), flow(2));
        let next = START.after(Millis(50));
        let mut all = beat(&mut agent, next, heartbeat(2, 1, TargetState::Ready));
        assert_eq!(agent.state(next), TargetState::Ready);
        open(&mut agent, next, flow(3));
        all.extend(run_start(&mut agent, next, 2, 1, 3));
        let reset: Vec<_> = resets(&all).iter().map(|reset| reset.flow).collect();
        assert_eq!(reset, [flow(1)]);
    };

    // Guards against the reset of a flow that is open at another target, which answered a copy of
    // its SYN: the target whose answer was lost ended, and its agent reset all answered flows.
    flow_whose_answer_was_not_acknowledged_is_not_reset_when_its_target_ends => {
        for end in ENDS {
            for age in [100, 1_000, 11_000, 50_000] {
                let mut agent = agent(START);
                answer_syn(&mut agent, START, flow(1));
                open(&mut agent, START, flow(2));
                let later = START.after(Millis(age));
                run_until(&mut agent, START, later);
                let elsewhere = ack(TARGET_ISN + 9);
                let actions = from_caller(&mut agent, later, Offer::Held, flow(1), elsewhere);
                assert_eq!(rejected(&actions), Some(RejectReason::NotHeld));
                let ended = end_target(&mut agent, later, end, 1_000);
                let reset: Vec<_> = resets(&ended).iter().map(|reset| reset.flow).collect();
                assert_eq!(reset, [flow(2)], "{end:?} after {age} ms");
            }
        }
    };

    flow_whose_answer_was_acknowledged_late_is_reset_when_its_target_ends => {
        for end in ENDS {
            let mut agent = agent(START);
            answer_syn(&mut agent, START, flow(1));
            let later = START.after(Millis(9_400));
            run_until(&mut agent, START, later);
            from_target(&mut agent, later, flow(1), syn_ack(TARGET_ISN));
            from_caller(&mut agent, later, Offer::Held, flow(1), ack(TARGET_ISN));
            let next = later.after(HEARTBEAT);
            run_until(&mut agent, later, next);
            let ended = end_target(&mut agent, next, end, 1_000);
            let expected = Reset { flow: flow(1), seq: TARGET_ISN + 1, reason: ResetReason::TargetEnded };
            assert_eq!(resets(&ended), [expected], "{end:?}");
        }
    };

    // Guards against callers that hear nothing of the end of their flow's target, because its agent
    // had been restarted and knew no sequence number of the flow.
    flow_that_a_restarted_agent_has_learned_of_is_reset_when_its_target_ends => {
        for end in ENDS {
            let mut agent = restarted_agent(START);
            let list = FlowList { started_at: 1, flows: vec![ListedFlow { flow: flow(1), seq: 9 }] };
            agent.inherit(START, list, &mut Vec::new());
            from_caller(&mut agent, START, Offer::Probe, flow(2), request());
            from_target(&mut agent, START.after(Millis(95)), flow(3), response());
            tick(&mut agent, START.after(Millis(100)));
            let running = START.after(Millis(4_100));
            for step in 1..=4 {
                let at = START.after(Millis(100 + step * HEARTBEAT.0));
                beat(&mut agent, at, heartbeat(1, 40 + step, TargetState::Ready));
                tick_until(&mut agent, at, at.after(Millis(975)).min(running));
            }
            let ended = end_target(&mut agent, running, end, 1_000);
            let mut reset: Vec<_> = resets(&ended).iter().map(|reset| (reset.flow, reset.seq)).collect();
            reset.sort_unstable();
            let expected = [(flow(1), 9), (flow(2), TARGET_ISN + 1), (flow(3), TARGET_ISN + 501)];
            assert_eq!(reset, expected, "{end:?}");
        }
    };

    // Guards against a list that loses its idle flows at each restart of the agent.
    inherited_flows_are_listed_again => {
        let mut agent = restarted_agent(START);
        let inherited = FlowList { started_at: 1, flows: vec![ListedFlow { flow: flow(1), seq: 9 }] };
        agent.inherit(START, inherited.clone(), &mut Vec::new());
        run_start(&mut agent, START.after(Millis(500)), 1, 40, 3);
        assert_eq!(agent.flow_list(START.after(Millis(3_500))), Some(inherited));
    };

    flows_of_a_crashed_target_are_reset => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        let mut reset = Vec::new();
        for at in (0..4_000).step_by(50) {
            reset.extend(resets(&tick(&mut agent, START.after(Millis(at)))));
        }
        assert_eq!(reset.len(), 1);
    };

    // A target does not come back after a power loss. Its agent answered "maybe" for every flow, so
    // that no search ended, and each one sent a probe to every target.
    target_that_never_sent_anything_holds_nothing => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::Maybe);
        for at in (0..=3_050).step_by(50) {
            tick(&mut agent, START.after(Millis(at)));
        }
        let later = START.after(Millis(3_050));
        assert_eq!(agent.state(later), TargetState::Dead);
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::No);
        beat(&mut agent, later, heartbeat(1, 40, TargetState::Ready));
        assert_eq!(agent.state(later), TargetState::Ready);
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::Maybe, "the target has sent a heartbeat");
    };

    pause_of_a_new_agent_is_not_taken_for_silence_of_the_target => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        let later = START.after(Millis::from_secs(9));
        tick(&mut agent, later);
        assert_eq!(agent.state(later), TargetState::Starting);
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::Maybe);
    };

    // The traffic thread may be paused in the middle of a batch of messages, and processes the rest
    // of the batch before the next tick.
    question_after_a_pause_is_not_answered_from_the_silence => {
        let mut agent = restarted_agent(START);
        let later = START.after(Millis::from_secs(9));
        assert_eq!(holding(&mut agent, later, flow(1)), Holding::Maybe);
        assert_eq!(agent.report(later).state, TargetState::Ready);
    };

    packet_after_a_pause_is_not_rejected_for_the_silence => {
        let mut agent = restarted_agent(START);
        let later = START.after(Millis::from_secs(9));
        let actions = from_caller(&mut agent, later, Offer::Held, flow(1), request());
        assert!(is_delivered(&actions), "a probe");
        let actions = from_caller(&mut agent, later, Offer::New, flow(2), syn());
        assert!(is_delivered(&actions), "a new flow");
    };

    report_after_a_pause_does_not_declare_the_target_dead => {
        let mut agent = agent(START);
        assert_eq!(agent.report(START.after(Millis::from_secs(9))).state, TargetState::Ready);
    };

    target_that_sends_packets_but_no_heartbeats_keeps_its_flows => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        for at in (0..6_000).step_by(50) {
            let now = START.after(Millis(at));
            from_target(&mut agent, now, flow(1), response());
            assert_eq!(resets(&tick(&mut agent, now)), []);
        }
    };

    listed_flows_of_the_same_start_are_held => {
        let mut agent = restarted_agent(START);
        let flows = vec![ListedFlow { flow: flow(1), seq: 9 }];
        let mut out = Vec::new();
        agent.inherit(START, FlowList { started_at: 1, flows }, &mut out);
        assert_eq!(resets(&out), []);
        assert_eq!(holding(&mut agent, START, flow(1)), Holding::Here);
    };

    listed_flows_of_an_earlier_start_are_reset => {
        let mut agent = Agent::new(START, identity(1, 1), agent_limits());
        let flows = vec![ListedFlow { flow: flow(1), seq: 9 }];
        let mut out = Vec::new();
        agent.inherit(START, FlowList { started_at: 1, flows }, &mut out);
        assert_eq!(out, [], "nothing is known of the target yet");
        let actions = beat(&mut agent, SOON, heartbeat(2, 1, TargetState::Ready));
        assert_eq!(resets(&actions), [], "it may be a late heartbeat");
        tick_until(&mut agent, SOON, START.after(HEARTBEAT));
        let actions = run_start(&mut agent, START.after(HEARTBEAT), 2, 1, 1);
        assert_eq!(resets(&actions), [Reset { flow: flow(1), seq: 9, reason: ResetReason::TargetEnded }]);
    };

    list_contains_the_flows_that_have_been_open_for_a_while => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        from_caller(&mut agent, START, Offer::New, flow(2), syn());
        let later = START.after(Millis(600));
        let list = |agent: &Agent<Bytes>| agent.flow_list(later).expect("the target is known");
        assert_eq!(list(&agent).flows, [], "the next start may have opened it");
        beat(&mut agent, later, heartbeat(1, 2, TargetState::Ready));
        assert_eq!(list(&agent), FlowList {
            started_at: 1,
            flows: vec![ListedFlow { flow: flow(1), seq: TARGET_ISN + 1 }],
        });
    };

    list_is_replaced_when_many_flows_are_missing => {
        let list = |numbers: std::ops::Range<u16>| FlowList {
            started_at: 1,
            flows: numbers.map(|number| ListedFlow { flow: flow(number), seq: 9 }).collect(),
        };
        let kept = list(0..100);
        assert!(!list(0..100).replaces(&kept));
        assert!(!list(50..115).replaces(&list(0..110)), "listed flows that have ended do not count");
        assert!(!list(10..115).replaces(&kept), "15 of 105");
        assert!(list(10..120).replaces(&kept), "20 of 110");
        assert!(FlowList { started_at: 2, ..list(0..100) }.replaces(&kept), "another start of the target");
    };

    list_is_replaced_when_its_sequence_numbers_are_outdated => {
        let list = |seq: u32| FlowList { started_at: 1, flows: vec![ListedFlow { flow: flow(1), seq }] };
        let kept = list(u32::MAX - 10);
        assert!(!list(30_000).replaces(&kept));
        assert!(list(50_000).replaces(&kept));
    };

    request_is_in_progress_until_the_first_byte_of_its_answer => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        from_caller(&mut agent, START, Offer::Held, flow(1), request());
        from_caller(&mut agent, SOON, Offer::Held, flow(1), request());
        assert_eq!(agent.report(SOON).busy, 1, "a retransmission is not a second request");
        from_target(&mut agent, SOON, flow(1), response());
        assert_eq!(agent.report(SOON).busy, 0);
    };

    // After a restart of all agents, retransmissions of requests that had been answered were
    // counted as in progress for as long as their flows existed, so targets seemed to be full.
    retransmitted_request_is_not_in_progress_after_its_answer_passed_a_new_agent => {
        let mut agent = restarted_agent(START);
        from_target(&mut agent, START, flow(1), Segment { ack_seq: CALLER_ISN + 101, ..response() });
        from_caller(&mut agent, SOON, Offer::Held, flow(1), request());
        assert_eq!(agent.report(SOON).busy, 0);
        let next = Segment { seq: CALLER_ISN + 101, ..request() };
        from_caller(&mut agent, SOON, Offer::Held, flow(1), next);
        assert_eq!(agent.report(SOON).busy, 1);
    };

    stopping_agent_accepts_no_new_flow => {
        let mut agent = agent(START);
        agent.stop();
        for offer in [Offer::IfIdle, Offer::New] {
            let actions = from_caller(&mut agent, START, offer, flow(1), syn());
            assert_eq!(rejected(&actions), Some(RejectReason::NotReady));
        }
    };

    stopping_agent_waits_for_the_request_of_a_flow_just_accepted => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        agent.stop();
        assert!(!agent.is_idle(START.after(Millis(20))), "the first request is expected");
        from_caller(&mut agent, START.after(Millis(30)), Offer::Held, flow(1), request());
        assert!(!agent.is_idle(START.after(Millis(200))), "it is in progress");
        from_target(&mut agent, START.after(Millis(210)), flow(1), response());
        assert!(agent.is_idle(START.after(Millis(220))));
    };

    // A silent target may still be running, and may answer when it can be reached again.
    non_repeatable_request_is_not_reset_while_its_target_is_silent => {
        for (is_repeatable, expected) in [(true, 1), (false, 0)] {
            let mut agent = agent(START);
            let class = RequestClass { is_repeatable, ..RequestClass::default() };
            agent.set_request_class(START, service_addr(1), class);
            start_request(&mut agent, START, flow(1));
            let mut found = Vec::new();
            for tick_at in 1..200 {
                found.extend(resets(&tick(&mut agent, START.after(Millis(tick_at * 25)))));
            }
            assert_eq!(found.len(), expected);
            let later = START.after(Millis(5_000));
            let answer = from_target(&mut agent, later, flow(1), response());
            assert!(matches!(answer.as_slice(), [AgentAction::ToCaller { .. }]), "{answer:?}");
        }
    };

    // After the loss of many machines most SYNs are retransmissions, whose callers are late in any
    // case.
    retransmitted_syn_is_queued_behind_a_first_copy => {
        let mut agent = agent(START);
        fill(&mut agent);
        from_caller(&mut agent, START, Offer::New, flow(11), syn());
        let copy = Packet { age: Millis(600), ..packet(flow(12), syn()) };
        let later = START.after(Millis(1));
        agent.on_packet(later, balancer_addr(1), Offer::New, group(), copy, &mut Vec::new());
        let actions = from_target(&mut agent, SOON, flow(1), response());
        let delivered = actions.iter().find_map(|action| match action {
            AgentAction::Deliver { bytes } => Some(bytes.0),
            _ => None,
        });
        assert_eq!(delivered, Some(flow(11)));
    };

    flow_for_a_free_slot_is_rejected_at_once_when_all_are_taken => {
        let mut agent = agent(START);
        for number in 1..=2 {
            let actions = from_caller(&mut agent, START, Offer::IfIdle, flow(number), syn());
            assert!(is_delivered(&actions));
        }
        let actions = from_caller(&mut agent, START, Offer::IfIdle, flow(3), syn());
        assert_eq!(rejected(&actions), Some(RejectReason::Full));
    };

    new_flow_is_queued_while_the_target_has_two_requests_per_slot => {
        let mut agent = agent(START);
        fill(&mut agent);
        let actions = from_caller(&mut agent, START, Offer::New, flow(7), syn());
        assert_eq!(replies(&actions), [Holding::Waiting]);
        assert_eq!(agent.report(START).busy, 5, "queued requests are reported");
        let actions = from_target(&mut agent, SOON, flow(1), response());
        assert!(matches!(actions[..], [AgentAction::ToCaller { .. }, AgentAction::Deliver { .. }]));
    };

    target_with_short_requests_is_given_what_it_completes_within_60_ms => {
        let mut agent = agent(START);
        complete_request(&mut agent, Millis(30));
        for number in 1..=6 {
            assert!(is_delivered(&from_caller(&mut agent, START, Offer::New, flow(number), syn())));
        }
        let actions = from_caller(&mut agent, START, Offer::New, flow(7), syn());
        assert_eq!(replies(&actions), [Holding::Waiting]);
        let actions = from_caller(&mut agent, START.after(Millis(101)), Offer::New, flow(8), syn());
        assert!(is_delivered(&actions), "the first requests of the others are overdue");
    };

    target_is_never_given_more_than_it_queues => {
        let mut agent = agent(START);
        complete_request(&mut agent, Millis(1));
        for number in 1..=8 {
            assert!(is_delivered(&from_caller(&mut agent, START, Offer::New, flow(number), syn())));
        }
        let actions = from_caller(&mut agent, START, Offer::New, flow(9), syn());
        assert_eq!(replies(&actions), [Holding::Waiting]);
    };

    stalled_target_is_given_one_more_flow => {
        let mut agent = agent(START);
        fill(&mut agent);
        let later = START.after(Millis(1_000));
        beat(&mut agent, later, heartbeat(1, 2, TargetState::Ready));
        assert!(is_delivered(&from_caller(&mut agent, later, Offer::New, flow(7), syn())));
        let actions = from_caller(&mut agent, later, Offer::New, flow(8), syn());
        assert_eq!(replies(&actions), [Holding::Waiting]);
    };

    queued_flows_are_rejected_once_the_target_drains => {
        let mut agent = agent(START);
        fill(&mut agent);
        from_caller(&mut agent, START, Offer::New, flow(7), syn());
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
        assert_eq!(rejected(&tick(&mut agent, SOON)), Some(RejectReason::NotReady));
    };

    // Capacity that became free between the draining heartbeat and the next tick was used for a new
    // flow.
    queued_flow_is_not_offered_once_the_target_drains => {
        let mut agent = agent(START);
        fill(&mut agent);
        from_caller(&mut agent, START, Offer::New, flow(7), syn());
        beat(&mut agent, SOON, heartbeat(1, 2, TargetState::Draining));
        let actions = from_target(&mut agent, SOON, flow(1), response());
        assert!(matches!(actions[..], [AgentAction::ToCaller { .. }]), "{actions:?}");
    };

    target_that_resets_requests_is_reported_as_failing => {
        let mut agent = agent(START);
        for number in 1..=4 {
            start_request(&mut agent, START, flow(number));
            let rst = Segment { rst: true, ..response() };
            from_target(&mut agent, SOON, flow(number), rst);
        }
        let failing = agent.report(SOON).failing_milli;
        assert!(failing >= 300, "{failing}");
        assert!(agent.is_failing());
    };

    single_failures_are_not_reported_as_failing => {
        let mut agent = agent(START);
        for number in 1..=9 {
            start_request(&mut agent, START, flow(number));
            let is_reset = number % 8 == 0;
            from_target(&mut agent, SOON, flow(number), Segment { rst: is_reset, ..response() });
            assert!(!agent.is_failing(), "{number}");
        }
    };

    target_that_answers_again_stays_failing_for_some_more_requests => {
        let mut agent = agent(START);
        for number in 1..=3 {
            start_request(&mut agent, START, flow(number));
            from_target(&mut agent, SOON, flow(number), Segment { rst: true, ..response() });
        }
        assert!(agent.is_failing());
        let mut answers = 0;
        while agent.is_failing() {
            answers += 1;
            start_request(&mut agent, SOON, flow(10 + answers));
            from_target(&mut agent, SOON, flow(10 + answers), response());
        }
        assert!((4..=12).contains(&answers), "{answers}");
    };

    answers_and_idle_flows_do_not_count_as_failures => {
        let mut agent = agent(START);
        start_request(&mut agent, START, flow(1));
        from_target(&mut agent, SOON, flow(1), response());
        open(&mut agent, SOON, flow(2));
        from_target(&mut agent, SOON, flow(2), Segment { rst: true, ..response() });
        beat_until(&mut agent, SOON, SOON.after(Millis::from_secs(3)));
        assert_eq!(agent.report(SOON.after(Millis::from_secs(3))).failing_milli, 0);
    };

    request_without_an_answer_counts_as_failed => {
        let mut agent = agent(START);
        complete_request(&mut agent, Millis(60));
        start_request(&mut agent, START, flow(1));
        let soon = START.after(Millis(450));
        tick(&mut agent, soon);
        assert_eq!(agent.report(soon).failing_milli, 0, "a retransmission may still be answered");
        let later = START.after(Millis(500));
        tick(&mut agent, later);
        assert!(agent.report(later).failing_milli > 0);
    };

    request_during_a_pause_of_the_agent_does_not_count_as_failed => {
        let mut agent = agent(START);
        start_request(&mut agent, START, flow(1));
        let later = START.after(Millis::from_secs(3));
        tick(&mut agent, later);
        assert_eq!(agent.report(later).failing_milli, 0);
    };

    request_behind_others_may_take_longer => {
        let mut agent = agent(START);
        complete_request(&mut agent, Millis(200));
        for number in 1..=4 {
            start_request(&mut agent, START, flow(number));
        }
        from_target(&mut agent, SOON, flow(1), response());
        from_target(&mut agent, SOON, flow(2), response());
        from_target(&mut agent, SOON, flow(3), response());
        let later = START.after(Millis(1_000));
        for at in (0..=1_000).step_by(50) {
            tick(&mut agent, START.after(Millis(at)));
        }
        assert_eq!(agent.report(later).failing_milli, 0);
    };

    flow_reset_by_its_caller_does_not_count_as_failed => {
        let mut agent = agent(START);
        start_request(&mut agent, START, flow(1));
        let rst = Segment { rst: true, ..request() };
        from_caller(&mut agent, SOON, Offer::Held, flow(1), rst);
        beat_until(&mut agent, SOON, SOON.after(Millis::from_secs(2)));
        assert_eq!(agent.report(SOON.after(Millis::from_secs(2))).failing_milli, 0);
    };

    failing_share_decays_without_requests => {
        let mut agent = agent(START);
        for number in 1..=4 {
            start_request(&mut agent, START, flow(number));
            from_target(&mut agent, SOON, flow(number), Segment { rst: true, ..response() });
        }
        let later = SOON.after(Millis::from_secs(20));
        beat_until(&mut agent, SOON, later);
        assert!(agent.report(later).failing_milli < 50);
    };

    restarted_target_does_not_inherit_failures => {
        let mut agent = agent(START);
        for number in 1..=4 {
            start_request(&mut agent, START, flow(number));
            from_target(&mut agent, SOON, flow(number), Segment { rst: true, ..response() });
        }
        run_start(&mut agent, SOON, 2, 0, 2);
        let later = SOON.after(Millis(2_000));
        assert_eq!(agent.report(later).failing_milli, 0);
        assert!(!agent.is_failing());
    };

    ended_flow_is_no_longer_counted_and_its_last_packets_are_delivered => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        let fin = Segment { fin: true, ..ack(TARGET_ISN) };
        from_caller(&mut agent, START, Offer::Held, flow(1), fin);
        from_target(&mut agent, START, flow(1), Segment { fin: true, ..response() });
        assert_eq!(agent.report(SOON).flows, 0);
        assert!(is_delivered(&from_caller(&mut agent, SOON, Offer::Held, flow(1), fin)));
    };

    idle_flow_is_removed_after_its_timeout => {
        let mut agent = agent(START);
        open(&mut agent, START, flow(1));
        beat_until(&mut agent, START, START.after(FLOW_TIMEOUT).after(HEARTBEAT));
        assert_eq!(agent.report(START.after(FLOW_TIMEOUT)).flows, 0);
    };
}
