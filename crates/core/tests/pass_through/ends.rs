//! Flows of a target that ends, and the list of flows that outlives the machine.

use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, FlowList, Holding, ListedFlow, Offer, RejectReason, Reset, ResetReason,
};

use crate::fixture::{
    Bytes, HEARTBEAT, TARGET_ISN, ack, agent, agent_limits, beat, flow, heartbeat, identity,
    instance, request, response, restarted_agent, syn, syn_ack, tick_until,
};
use crate::steps::{
    ENDS, End, SOON, START, answer_syn, end_target, from_caller, from_target, holding, open,
    rejected, resets, run_start, run_until, tick,
};

cases! {
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

    // Guards against callers that hear nothing of the end of their flow's target, because its agent
    // had just been started and had no certain sign of the target's start yet.
    inherited_flows_are_reset_when_the_target_ends_beside_an_agent_that_has_just_started => {
        for end in ENDS {
            let mut agent = restarted_agent(START);
            let list = FlowList { started_at: 1, flows: vec![ListedFlow { flow: flow(1), seq: 9 }] };
            agent.inherit(START, list, &mut Vec::new());
            open(&mut agent, SOON, flow(2));
            let ended = end_target(&mut agent, SOON, end, 1_000);
            let mut reset: Vec<_> = resets(&ended).iter().map(|reset| (reset.flow, reset.seq)).collect();
            reset.sort_unstable();
            let expected = [(flow(1), 9), (flow(2), TARGET_ISN + 1)];
            // Unless the target is silent, its next start may have opened the young flow.
            let is_silent = matches!(end, End::Crash | End::Silence);
            assert_eq!(reset, expected[..if is_silent { 2 } else { 1 }], "{end:?}");
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
}
