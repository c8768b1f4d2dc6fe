//! Packets of flows that this agent does not know.

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flows::{Action, DropReason, FlowLimits, Flows, Holding, Packet, Relay};
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;

use crate::fixture::{
    Actions, Bytes, START, ack, agent, agent_with, establish, flow, id, idle, is_delivered,
    on_packet, passed, ready, record, sent,
};

const SETTLED: Millis = START.after(Millis::from_secs(4));

fn asked(actions: &Actions) -> Vec<TargetId> {
    let question = |action: &Action<Bytes>| match action {
        Action::Ask { to, .. } => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(question).collect()
}

fn on_reply(flows: &mut Flows<Bytes>, now: Millis, from: u16, holding: Holding) -> Actions {
    let mut out = Vec::new();
    flows.on_reply(now, id(from), flow(1), holding, &mut out);
    out
}

fn on_tick(flows: &mut Flows<Bytes>, now: Millis) -> Actions {
    let mut out = Vec::new();
    flows.on_tick(now, &mut out);
    out
}

fn is_dropped(actions: &Actions, wanted: DropReason) -> bool {
    matches!(actions[..], [Action::Drop { reason }] if reason == wanted)
}

fn is_reset(actions: &Actions) -> bool {
    let unknown = |action: &Action<Bytes>| {
        matches!(
            action,
            Action::Refuse {
                kind: ErrorKind::UnknownFlow,
                ..
            }
        )
    };
    actions.iter().any(unknown)
}

fn chained(chain: &[u16]) -> Packet<Bytes> {
    let mut packet = ack(1, 6, 1_000);
    packet.chain = chain.iter().map(|number| id(*number)).collect();
    packet
}

/// One search that agents 2 and 3 deny.
fn denied_search(flows: &mut Flows<Bytes>, now: Millis, packet: Packet<Bytes>) -> Actions {
    let actions = on_packet(flows, now, packet);
    assert_eq!(asked(&actions), peers_of(1, 3));
    assert!(on_reply(flows, now, 2, Holding::No).is_empty());
    on_reply(flows, now, 3, Holding::No)
}

/// Identities of all agents but one, in the order in which they are asked.
fn peers_of(me: u16, count: u16) -> Vec<TargetId> {
    let mut peers: Vec<_> = (1..=count).filter(|n| *n != me).map(id).collect();
    peers.sort_unstable();
    peers
}

/// An agent for which the flow is a suspect and whose peers were confirmed since.
fn suspicious_agent() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    denied_search(&mut flows, START, ack(1, 6, 1_000));
    flows.set_peers(SETTLED, &ready(1..=3));
    flows
}

cases! {
    chain_is_followed_first => {
        let mut flows = agent(1, 4);
        let actions = on_packet(&mut flows, START, chained(&[1, 3, 2]));
        let [Action::Send { to, relay: Relay::Pass, packet }] = &actions[..] else {
            panic!("{actions:?}");
        };
        assert_eq!((*to, packet.chain.clone()), (id(3), vec![id(2)]));
    };

    packet_does_not_go_back_to_its_sender => {
        let mut flows = agent(1, 4);
        let actions = on_packet(&mut flows, START, passed(3, chained(&[3, 2])));
        assert_eq!(sent(&actions), Some((id(2), Relay::Pass)));
    };

    dead_peer_in_the_chain_is_skipped => {
        let mut flows = agent(1, 4);
        let mut peers = ready(1..=4);
        peers[2].state = TargetState::Dead;
        flows.set_peers(START, &peers);
        let actions = on_packet(&mut flows, START, chained(&[3, 2]));
        assert_eq!(sent(&actions), Some((id(2), Relay::Pass)));
    };

    hint_beats_the_chain_once => {
        let mut flows = agent(1, 4);
        let mut packet = chained(&[3, 2]);
        packet.segment.echo = id(4).hint();
        let actions = on_packet(&mut flows, START, packet.clone());
        assert_eq!(sent(&actions), Some((id(4), Relay::Pass)));
        let actions = on_packet(&mut flows, START, passed(2, packet));
        assert_eq!(sent(&actions), Some((id(3), Relay::Pass)));
    };

    hop_limit_ends_in_a_search => {
        let mut flows = agent(1, 4);
        let mut packet = passed(4, chained(&[3, 2]));
        packet.hops = 4;
        let actions = on_packet(&mut flows, START, packet.clone());
        let mut others = vec![id(2), id(3)];
        others.sort_unstable();
        assert_eq!(asked(&actions), others, "not the sender, which does not hold it");
        packet.hops = 5;
        assert!(is_dropped(&on_packet(&mut flows, START, packet), DropReason::HopLimit));
    };

    holder_gets_the_kept_packets_and_all_later_ones => {
        let mut flows = agent(1, 3);
        on_packet(&mut flows, START, ack(1, 6, 1_000));
        let more = on_packet(&mut flows, START, ack(1, 8, 1_000));
        assert!(more.is_empty(), "one search for both packets: {more:?}");
        assert!(on_reply(&mut flows, START, 2, Holding::No).is_empty());
        let actions = on_reply(&mut flows, START, 3, Holding::Here);
        let sequence = |action: &Action<Bytes>| match action {
            Action::Send { to, packet, .. } if *to == id(3) => packet.segment.seq,
            other => panic!("{other:?}"),
        };
        assert_eq!(actions.iter().map(sequence).collect::<Vec<_>>(), [6, 8]);
        assert_eq!(flows.search_packet_count(), 0);
        let later = on_packet(&mut flows, START, ack(1, 9, 1_000));
        assert_eq!(sent(&later), Some((id(3), Relay::Pass)));
    };

    second_hand_answer_is_used_when_the_others_are_late => {
        let mut flows = agent(1, 4);
        on_packet(&mut flows, START, ack(1, 6, 1_000));
        assert!(on_reply(&mut flows, START, 2, Holding::At(id(4))).is_empty());
        assert!(on_tick(&mut flows, START.after(Millis(40))).is_empty());
        let actions = on_tick(&mut flows, START.after(Millis(60)));
        assert_eq!(sent(&actions), Some((id(4), Relay::Pass)));
    };

    second_hand_answer_is_void_when_its_target_denies => {
        let mut flows = suspicious_agent();
        on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        assert!(on_reply(&mut flows, SETTLED, 2, Holding::At(id(3))).is_empty());
        assert!(is_reset(&on_reply(&mut flows, SETTLED, 3, Holding::No)));
    };

    unclaimed_flow_is_first_dropped_and_reset_when_the_peers_are_settled => {
        let mut flows = agent(1, 3);
        let first = denied_search(&mut flows, START, ack(1, 6, 1_000));
        assert!(is_dropped(&first, DropReason::Unanswered));
        let soon = START.after(Millis::from_secs(1));
        flows.set_peers(soon, &ready(1..=3));
        let second = denied_search(&mut flows, soon, ack(1, 6, 1_000));
        assert!(is_dropped(&second, DropReason::Unanswered));
        flows.set_peers(SETTLED, &ready(1..=3));
        assert!(is_reset(&denied_search(&mut flows, SETTLED, ack(1, 6, 1_000))));
    };

    unclaimed_flow_is_not_reset_while_the_peers_are_not_confirmed => {
        let mut flows = agent(1, 3);
        for secs in 0..50 {
            let now = START.after(Millis::from_secs(secs));
            let actions = denied_search(&mut flows, now, ack(1, 6, 1_000));
            assert!(is_dropped(&actions, DropReason::Unanswered));
        }
    };

    flow_of_a_new_target_is_found_when_the_target_becomes_known => {
        let mut flows = agent(1, 3);
        denied_search(&mut flows, START, ack(1, 6, 1_000));
        flows.set_peers(SETTLED, &ready(1..=4));
        let actions = on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        assert_eq!(asked(&actions), peers_of(1, 4));
        let actions = on_reply(&mut flows, SETTLED, 4, Holding::Here);
        assert_eq!(sent(&actions), Some((id(4), Relay::Pass)));
    };

    silent_peer_is_asked_again_and_the_flow_is_never_reset => {
        let mut flows = suspicious_agent();
        on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        assert!(on_reply(&mut flows, SETTLED, 2, Holding::No).is_empty());
        let mut rounds = Vec::new();
        for ms in 1..2_000 {
            let actions = on_tick(&mut flows, SETTLED.after(Millis(ms)));
            match &actions[..] {
                [] => {}
                [Action::Ask { to, .. }] if *to == id(3) => rounds.push(ms),
                [Action::Drop { reason: DropReason::Unanswered }] => rounds.push(ms),
                _ => panic!("{actions:?}"),
            }
        }
        assert_eq!(rounds, [50, 150, 350, 750], "three more questions, then the drop");
        assert_eq!((flows.search_count(), flows.search_packet_count()), (0, 0));
    };

    peer_that_is_known_dead_is_not_waited_for => {
        let mut flows = suspicious_agent();
        on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        on_reply(&mut flows, SETTLED, 2, Holding::No);
        let mut peers = ready(1..=3);
        peers[2].state = TargetState::Dead;
        flows.set_peers(SETTLED, &peers);
        assert!(is_reset(&on_tick(&mut flows, SETTLED)));
    };

    peer_that_joins_during_the_search_is_asked => {
        let mut flows = suspicious_agent();
        on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        on_reply(&mut flows, SETTLED, 2, Holding::No);
        flows.set_peers(SETTLED, &ready(1..=4));
        assert!(on_reply(&mut flows, SETTLED, 3, Holding::No).is_empty());
        let actions = on_tick(&mut flows, SETTLED.after(Millis(60)));
        assert_eq!(asked(&actions), [id(4)]);
    };

    peer_missing_from_the_list_is_asked => {
        let mut flows = agent(1, 3);
        flows.set_peers(SETTLED, &ready(1..=2));
        let actions = on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        assert_eq!(asked(&actions), peers_of(1, 3));
    };

    peer_long_missing_from_the_list_is_forgotten_when_it_answers_nothing => {
        let mut flows = agent(1, 3);
        flows.set_peers(START, &ready(1..=2));
        let mut now = START.after(Millis::from_secs(70));
        flows.set_peers(now, &ready(1..=2));
        on_packet(&mut flows, now, ack(1, 6, 1_000));
        on_reply(&mut flows, now, 2, Holding::No);
        for _ in 0..20 {
            now = now.after(Millis(50));
            on_tick(&mut flows, now);
        }
        let actions = on_packet(&mut flows, now, ack(1, 6, 1_000));
        assert_eq!(asked(&actions), [id(2)]);
    };

    flow_of_a_dead_peer_is_reset_without_delay_if_a_redirect_names_it => {
        let mut flows = agent(1, 3);
        flows.on_load(START, idle(2, 1));
        assert!(on_reply(&mut flows, START, 2, Holding::Here).is_empty());
        let mut peers = ready(1..=3);
        peers[1].state = TargetState::Dead;
        flows.set_peers(START, &peers);
        let actions = on_packet(&mut flows, START, ack(1, 6, 1_000));
        assert_eq!(asked(&actions), [id(3)]);
        assert!(is_reset(&on_reply(&mut flows, START, 3, Holding::No)));
    };

    flow_of_a_dead_peer_is_reset_without_delay_if_the_hint_names_it => {
        let mut flows = agent(1, 3);
        let mut peers = ready(1..=3);
        peers[1].state = TargetState::Dead;
        flows.set_peers(START, &peers);
        let mut packet = ack(1, 6, 1_000);
        packet.segment.echo = id(2).hint();
        on_packet(&mut flows, START, packet);
        assert!(is_reset(&on_reply(&mut flows, START, 3, Holding::No)));
    };

    flow_of_an_earlier_start_of_this_agent_is_reset_without_delay => {
        let mut flows = agent(1, 1);
        let mut packet = ack(1, 6, 1_000);
        packet.segment.echo = id(1).hint();
        assert!(is_reset(&on_packet(&mut flows, START, packet)));
    };

    chain_that_names_an_unknown_target_forbids_the_reset => {
        let mut flows = suspicious_agent();
        let packet = chained(&[77]);
        let actions = denied_search(&mut flows, SETTLED, packet);
        assert!(is_dropped(&actions, DropReason::Unanswered));
    };

    answer_that_names_an_unknown_target_forbids_the_reset => {
        let mut flows = suspicious_agent();
        on_packet(&mut flows, SETTLED, ack(1, 6, 1_000));
        on_reply(&mut flows, SETTLED, 2, Holding::At(id(77)));
        let actions = on_reply(&mut flows, SETTLED, 3, Holding::No);
        assert!(is_dropped(&actions, DropReason::Unanswered));
    };

    reset_of_an_unknown_flow_starts_no_search => {
        let mut flows = agent(1, 3);
        let mut packet = ack(1, 6, 1_000);
        packet.segment.rst = true;
        assert!(is_dropped(&on_packet(&mut flows, START, packet), DropReason::Stale));
    };

    flood_of_unknown_packets_stays_within_its_bounds => {
        let limits = FlowLimits {
            searches: 30,
            search_packets: 40,
            questions_per_s: 100,
            guesses_per_s: 50,
            ..FlowLimits::default()
        };
        let mut flows = agent_with(1, 3, limits);
        let mut questions = 0;
        let mut guesses = 0;
        for number in 0..6_000_u16 {
            let now = START.after(Millis(u64::from(number / 6)));
            let mut packet = ack(number % 2_000, 6, 1_000);
            packet.chain = if number % 2 == 0 { vec![id(2)] } else { Vec::new() };
            let mut actions = on_packet(&mut flows, now, packet);
            actions.extend(on_tick(&mut flows, now));
            questions += asked(&actions).len();
            guesses += usize::from(sent(&actions).is_some());
            assert!(flows.search_count() <= 30 && flows.search_packet_count() <= 40);
        }
        // A second's worth at once and another one in the second that the flood lasts.
        assert!((100..=200).contains(&questions), "{questions}");
        assert!((50..=100).contains(&guesses), "{guesses}");
        assert!(flows.counters().dropped_unknown_limit > 5_000);
    };

    search_keeps_few_packets_of_one_flow => {
        let mut flows = agent(1, 3);
        for seq in 0..4 {
            on_packet(&mut flows, START, ack(1, seq, 1_000));
        }
        let actions = on_packet(&mut flows, START, ack(1, 5, 1_000));
        assert!(is_dropped(&actions, DropReason::UnknownLimit));
        assert_eq!(flows.search_packet_count(), 4);
    };

    holder_tells_the_agent_that_passes_packets_once_a_second => {
        let mut holder = agent(2, 3);
        establish(&mut holder, START, 1, 5, 999);
        let mut notices = 0;
        for ms in 0..2_000 {
            let packet = passed(1, ack(1, 6, 1_000));
            let actions = on_packet(&mut holder, START.after(Millis(ms)), packet);
            assert!(is_delivered(&actions));
            notices += actions.len() - 1;
        }
        assert_eq!(notices, 2);
    };

    agent_in_the_middle_tells_where_the_flow_is => {
        let mut middle = agent(2, 3);
        on_reply(&mut middle, START, 3, Holding::Here);
        let actions = on_packet(&mut middle, START, passed(1, ack(1, 6, 1_000)));
        assert_eq!(sent(&actions), Some((id(3), Relay::Pass)));
        let told = |action: &Action<Bytes>| {
            matches!(action, Action::Reply { to, holding, .. }
                if *to == id(1) && *holding == Holding::At(id(3)))
        };
        assert!(actions.iter().any(told), "{actions:?}");
        let mut first = agent(1, 3);
        on_reply(&mut first, START, 2, Holding::Here);
        on_reply(&mut first, START, 2, Holding::At(id(3)));
        let actions = on_packet(&mut first, START, ack(1, 6, 1_000));
        assert_eq!(sent(&actions), Some((id(3), Relay::Pass)));
    };

    question_is_answered_from_what_is_known => {
        let mut flows = agent(1, 4);
        establish(&mut flows, START, 1, 5, 999);
        let mut out = Vec::new();
        flows.on_question(START, id(2), flow(1), &mut out);
        flows.on_question(START, id(2), flow(2), &mut out);
        flows.on_reply(START, id(4), flow(3), Holding::Here, &mut out);
        flows.on_question(START, id(2), flow(3), &mut out);
        flows.on_question(START, id(4), flow(3), &mut out);
        let holding = |action: &Action<Bytes>| match action {
            Action::Reply { holding, .. } => *holding,
            other => panic!("{other:?}"),
        };
        let answers: Vec<_> = out.iter().map(holding).collect();
        let expected = [Holding::Here, Holding::No, Holding::At(id(4)), Holding::No];
        assert_eq!(answers, expected);
    };

    starting_peer_may_hold_flows_too => {
        let mut flows = agent(1, 1);
        flows.set_peers(START, &[record(2, TargetState::Starting)]);
        let actions = on_packet(&mut flows, START, ack(1, 6, 1_000));
        assert_eq!(asked(&actions), [id(2)]);
    };
}
