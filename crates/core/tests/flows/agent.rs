//! Tests of a single agent that are too long for a recorded trace, or check more than its action
//! texts.

use citronhollow_core::clock::Millis;
use citronhollow_core::flows::{
    Action, CloseReason, DropReason, FlowLimits, Flows, Holding, Packet, Relay,
};
use citronhollow_core::id::{GroupId, TargetId};
use citronhollow_core::members::TargetState;
use citronhollow_core::routes::Routes;

use crate::fixture::{
    Actions, Bytes, SERVICE, START, ack, agent, agent_with, busy, establish, flow, id, idle,
    is_delivered, on_packet, passed, ready, record, redirected, revision, sent, service, syn,
};

const SETTLED: Millis = START.after(Millis::from_secs(4));
const CALLER_ISN: u32 = 5;
const ISN: u32 = 70;
const WRONG: DropReason = DropReason::WrongService;

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

fn with_candidates(candidates: &[u16]) -> Packet<Bytes> {
    let mut packet = ack(1, 6, 1_000);
    packet.candidates = candidates.iter().map(|number| id(*number)).collect();
    packet
}

/// Runs a search that agents 2 and 3 answer with not held. Returns the last actions.
fn search_without_holder(flows: &mut Flows<Bytes>, now: Millis, packet: Packet<Bytes>) -> Actions {
    let actions = on_packet(flows, now, packet);
    assert_eq!(asked(&actions), peers_of(1, 3));
    assert!(on_reply(flows, now, 2, Holding::No).is_empty());
    on_reply(flows, now, 3, Holding::No)
}

/// IDs of all agents but one, in the order in which they are asked.
fn peers_of(me: u16, count: u16) -> Vec<TargetId> {
    let mut peers: Vec<_> = (1..=count).filter(|n| *n != me).map(id).collect();
    peers.sort_unstable();
    peers
}

/// An agent that suspects flow 1 and whose peers were confirmed since.
fn agent_with_suspect() -> Flows<Bytes> {
    let mut flows = agent(1, 3);
    search_without_holder(&mut flows, START, ack(1, 6, 1_000));
    flows.set_peers(SETTLED, &ready(1..=3));
    flows
}

/// Agent 1 of 3. It is busy, peer 2 is idle and peer 3 is busy.
fn busy_agent(limits: FlowLimits) -> Flows<Bytes> {
    let mut flows = agent_with(1, 3, limits);
    for number in 900..905 {
        establish(&mut flows, START, number, 7, 70);
        flows.on_busy(&flow(number), true);
    }
    flows.on_load(START, idle(2, 1));
    flows.on_load(START, busy(3, 1, 5));
    flows
}

cases! {
    redirect_to_a_dead_peer_is_not_followed => {
        let mut flows = busy_agent(FlowLimits::default());
        on_packet(&mut flows, START, syn(1, 5));
        let mut dead = record(2, TargetState::Dead);
        dead.sequence = 2;
        flows.set_peers(START, &[dead, record(3, TargetState::Ready)]);
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert_ne!(sent(&actions).map(|(to, _)| to), Some(id(2)));
    };

    flows_redirected_since_the_last_report_count => {
        let mut flows = busy_agent(FlowLimits::default());
        flows.on_load(START, idle(3, 2));
        let mut counts = [0_u32; 4];
        for number in 0..8 {
            let actions = on_packet(&mut flows, START, syn(number, 5));
            let (to, _) = sent(&actions).expect("a redirected flow");
            let at = (2..=3).find(|peer| id(*peer) == to).expect("a peer");
            counts[usize::from(at)] += 1;
        }
        assert_eq!(counts, [0, 0, 4, 4]);
    };

    first_live_candidate_gets_the_packet => {
        let mut flows = agent(1, 4);
        let actions = on_packet(&mut flows, START, with_candidates(&[1, 3, 2]));
        let [Action::Send { to, relay: Relay::Pass, packet }] = &actions[..] else {
            panic!("{actions:?}");
        };
        assert_eq!((*to, packet.candidates.clone()), (id(3), vec![id(2)]));
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

    flow_without_holder_is_not_reset_while_the_peers_are_not_confirmed => {
        let mut flows = agent(1, 3);
        for secs in 0..50 {
            let now = START.after(Millis::from_secs(secs));
            let actions = search_without_holder(&mut flows, now, ack(1, 6, 1_000));
            assert!(is_dropped(&actions, DropReason::Unanswered));
        }
    };

    unresponsive_peer_is_asked_again_and_the_flow_is_never_reset => {
        let mut flows = agent_with_suspect();
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

    flood_of_unknown_packets_stays_within_the_limits => {
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
            packet.candidates = if number % 2 == 0 { vec![id(2)] } else { Vec::new() };
            let mut actions = on_packet(&mut flows, now, packet);
            actions.extend(on_tick(&mut flows, now));
            questions += asked(&actions).len();
            guesses += usize::from(sent(&actions).is_some());
            assert!(flows.search_count() <= 30 && flows.search_packet_count() <= 40);
        }
        // A burst of one second's worth, and another in the second that the flood lasts.
        assert!((100..=200).contains(&questions), "{questions}");
        assert!((50..=100).contains(&guesses), "{guesses}");
        assert!(flows.counters().dropped_unknown_limit > 5_000);
    };

    holder_notifies_the_agent_that_passes_packets_once_a_second => {
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

    numbers_of_an_established_flow_may_wrap_around => {
        let mut flows = agent(1, 3);
        establish(&mut flows, START, 1, 5, ISN);
        let mut seq = 6_u32;
        for _ in 0..1_200 {
            seq = seq.wrapping_add(4_000_000);
            assert!(is_delivered(&on_packet(&mut flows, START, ack(1, seq, ISN + 1))));
        }
    };

    too_many_half_open_flows_evict_the_oldest_and_no_established_one => {
        let limits = FlowLimits { half_open: 3, ..FlowLimits::default() };
        let mut flows = agent_with(1, 1, limits);
        establish(&mut flows, START, 100, 5, ISN);
        for number in 0..50 {
            let actions = on_packet(&mut flows, START, syn(number, 5));
            let gone = actions.iter().find_map(|action| match action {
                Action::Close { flow, reason: CloseReason::HalfOpenLimit } => Some(*flow),
                _ => None,
            });
            assert_eq!(gone, (number >= 3).then(|| flow(number - 3)));
            assert!(flows.len() <= 4);
        }
        assert!(is_delivered(&on_packet(&mut flows, START, ack(100, 6, ISN + 1))));
    };

    ended_flows_are_bounded => {
        let limits = FlowLimits { ended: 4, ..FlowLimits::default() };
        let mut flows = agent_with(1, 3, limits);
        for number in 0..20 {
            establish(&mut flows, START, number, CALLER_ISN, ISN);
            flows.on_connect_failed(START, &flow(number));
            assert!(flows.ended_count() <= 4);
        }
        assert!(!asked(&on_packet(&mut flows, START, ack(15, 6, ISN + 1))).is_empty());
        assert!(is_dropped(&on_packet(&mut flows, START, ack(16, 6, ISN + 1)), DropReason::Stale));
    };

    agent_without_a_group_or_a_revision_serves_nothing => {
        let mut flows = Flows::new(id(1), FlowLimits::default(), 1);
        assert!(is_dropped(&on_packet(&mut flows, START, syn(1, CALLER_ISN)), WRONG));
        flows.set_services(&revision());
        assert!(is_dropped(&on_packet(&mut flows, START, syn(1, CALLER_ISN)), WRONG));
        flows.set_group(GroupId::of("draw"));
        assert!(is_dropped(&on_packet(&mut flows, START, syn(1, CALLER_ISN)), WRONG));
    };

    reassigned_address_closes_its_flows_before_anything_else => {
        let mut flows = agent(1, 3);
        establish(&mut flows, START, 1, CALLER_ISN, ISN);
        on_packet(&mut flows, START, redirected(2, syn(2, CALLER_ISN)));
        let mut next = revision();
        next.number = 2;
        next.documents.services = vec![service("draw-office", SERVICE, "desk")];
        flows.set_services(&next);
        let actions = on_packet(&mut flows, START, ack(1, 6, ISN + 1));
        let closed = |action: &Action<Bytes>| match action {
            Action::Close { flow, reason: CloseReason::Reassigned } => *flow,
            other => panic!("{other:?}"),
        };
        let first: Vec<_> = actions[..2].iter().map(closed).collect();
        assert_eq!(first, [flow(1), flow(2)]);
        assert!(matches!(actions[2..], [Action::Drop { reason: DropReason::Stale }]));
        assert!(flows.is_empty());
        // A flow of the new service between the same endpoints is served.
        establish(&mut flows, START, 1, 1 << 30, 1 << 29);
    };

    leaving_agent_hands_over_its_redirects_to_the_next_owners => {
        let peers = ready(2..=4);
        let routes = Routes::build(&revision(), &peers, None);
        let mut flows = agent(1, 4);
        for number in 0..50 {
            flows.on_reply(START, id(2), flow(number), Holding::Here, &mut Vec::new());
        }
        let mut out = Vec::new();
        flows.on_leave(START, &mut out);
        for action in &out {
            let Action::Reply { to, flow, holding: Holding::At(at) } = action else {
                panic!("{action:?}");
            };
            let packet = ack(0, 6, 71);
            let choice = routes.choose(flow, &packet.segment).expect("an owner");
            assert_eq!((*to, *at), (routes.target(choice.target).id, id(2)));
        }
        assert!((20..50).contains(&out.len()), "the holder itself is not told: {}", out.len());
    };
}
