//! Which flows an agent takes its target to hold: probes, claims and returned packets.

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::Segment;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentAction, Holding, Offer, RejectReason, Reset, ResetReason,
};

use crate::fixture::{
    HEARTBEAT, TARGET_ISN, ack, agent, agent_limits, balancer_addr, beat, flow, group, heartbeat,
    identity, packet, request, response, restarted_agent, syn, syn_ack, tick_until,
};
use crate::steps::{
    End, SOON, START, answer_syn, beat_until, end_target, from_caller, from_target, holding,
    is_delivered, is_sent_to_caller, open, rejected, replies, resets, returned, rst, run_start,
    run_until, start_request, tick,
};

cases! {
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
}
