//! Tests of a single agent and its target.

use citronhollow_core::clock::Millis;
use citronhollow_core::config::RequestClass;
use citronhollow_core::flow::Segment;
use citronhollow_core::id::GroupId;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, FlowList, Holding, ListedFlow, Offer, Packet, RejectReason,
};

use crate::fixture::{
    CALLER_ISN, FLOW_TIMEOUT, HEARTBEAT, TARGET_ISN, ack, agent, agent_limits, balancer_addr, beat,
    flow, group, heartbeat, identity, instance, packet, request, response, restarted_agent,
    service_addr, syn, syn_ack, tick_until,
};
use crate::steps::{
    SOON, START, beat_until, complete_request, fill, from_caller, from_target, holding,
    is_delivered, open, rejected, replies, resets, returned, run_start, start_request, tick,
};

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
