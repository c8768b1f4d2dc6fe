//! The models of a caller's flow and of a target, connected without sockets.

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::pass_through::{Reset, ResetReason};
use citronhollow_soak::exchange::{Exchange, ExchangeEvent, REQUEST_TIMEOUT};
use citronhollow_soak::target::{Request, Target, TargetEvent};
use citronhollow_standin::packet::{Writer, encode, returned};

const START: Millis = Millis(1_000);
const LATER: Millis = Millis(1_100);
const REQUEST: Request = Request {
    id: 7,
    may_repeat: false,
};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn flow() -> FlowId {
    FlowId {
        caller: "127.3.0.1:20000".parse().expect("an address"),
        service: "198.18.0.1:8001".parse().expect("an address"),
    }
}

fn to_target(target: &mut Target, now: Millis, packet: &Bytes) -> Vec<TargetEvent> {
    let mut out = Vec::new();
    target.on_packet(now, packet, &mut out);
    out
}

/// Packets sent among a target's actions.
fn sent(events: &[TargetEvent]) -> Vec<Bytes> {
    let packet = |event: &TargetEvent| match event {
        TargetEvent::Send(bytes) => Some(bytes.clone()),
        _ => None,
    };
    events.iter().filter_map(packet).collect()
}

/// Returns an accepted flow and the packet of its first request.
fn ask(target: &mut Target) -> (Exchange, Bytes) {
    let mut exchange = Exchange::new(START, flow(), 500);
    let accepted = sent(&to_target(target, START, &exchange.syn_packet()));
    assert_eq!(
        exchange.on_packet(&accepted[0]),
        Some(ExchangeEvent::Accepted)
    );
    let request = exchange.send_request(START, REQUEST);
    (exchange, request)
}

cases! {
    request_runs_once_and_is_answered_completely => {
        let mut target = Target::new(1);
        let (mut exchange, request) = ask(&mut target);
        let events = to_target(&mut target, START, &request);
        assert_eq!(events, [TargetEvent::Opened(flow()), TargetEvent::RequestStarted(REQUEST)]);
        assert_eq!(to_target(&mut target, START, &request), [], "a copy while it is worked on");
        let answers = target.take_due(LATER);
        assert_eq!(exchange.on_packet(&answers[0]), Some(ExchangeEvent::Answered(REQUEST)));
        let again = to_target(&mut target, LATER, &request);
        assert_eq!(sent(&again), answers, "a copy after the answer");
        assert_eq!(exchange.on_packet(&answers[0]), None);
        assert!(target.holds(&flow()));
    };

    packet_of_an_unknown_flow_is_returned => {
        let (_, request) = ask(&mut Target::new(1));
        let events = to_target(&mut Target::new(2), START, &request);
        assert_eq!(events, [TargetEvent::Send(returned(&request))]);
    };

    packet_that_acknowledges_another_target_is_returned => {
        let (exchange, request) = ask(&mut Target::new(1));
        let mut other = Target::new(2);
        to_target(&mut other, START, &Exchange::new(START, exchange.flow, 500).syn_packet());
        assert_eq!(to_target(&mut other, START, &request), [TargetEvent::Send(returned(&request))]);
        assert!(!other.holds(&flow()));
    };

    answer_to_a_syn_is_repeated_and_given_up => {
        let (_, request) = ask(&mut Target::new(1));
        let mut target = Target::new(2);
        let syn = Exchange::new(START, flow(), 500).syn_packet();
        let answer = sent(&to_target(&mut target, START, &syn));
        let mut repeats = Vec::new();
        for ms in 0..12_000 {
            let at = START.after(Millis(ms));
            for repeated in target.take_repeated(at) {
                assert_eq!(repeated, answer[0]);
                repeats.push(ms);
            }
        }
        assert_eq!(repeats, [200, 600, 1_400, 3_000, 4_600, 6_200, 7_800, 9_400]);
        let rst = sent(&to_target(&mut target, START, &request));
        assert!(segment_of(&rst[0]).rst, "data of a flow that was given up");
    };

    // Guards against a request that runs at two targets: both had answered a copy of the SYN with the
    // same number, in the same millisecond (seed 9044).
    targets_that_share_a_clock_answer_a_syn_with_different_numbers => {
        let syn = Exchange::new(START, flow(), 500).syn_packet();
        let isns = [3, 5, 7, 70_001].map(|seed| {
            seq_of(&sent(&to_target(&mut Target::new(seed), START, &syn))[0])
        });
        for (number, isn) in isns.iter().enumerate() {
            assert!(!isns[..number].contains(isn), "{isns:?}");
            assert!(isn.abs_diff(isns[0]) < 60_000, "{isns:?}");
        }
    };

    ended_flow_answers_data_with_a_rst_and_a_fin_with_an_acknowledgement => {
        let mut target = Target::new(1);
        let (mut exchange, request) = ask(&mut target);
        to_target(&mut target, START, &request);
        let fin = exchange.close();
        to_target(&mut target, START, &fin);
        assert!(!target.holds(&flow()));
        let acknowledged = segment_of(&sent(&to_target(&mut target, START, &fin))[0]);
        assert!(acknowledged.ack && !acknowledged.fin && !acknowledged.rst);
        let rst = segment_of(&sent(&to_target(&mut target, START, &request))[0]);
        assert!(rst.rst);
    };

    altered_packets_are_detected_at_both_ends => {
        let mut target = Target::new(1);
        let (mut exchange, request) = ask(&mut target);
        let mut changed = request.to_vec();
        *changed.last_mut().expect("a byte") ^= 1;
        let events = to_target(&mut target, START, &Bytes::from(changed));
        assert_eq!(events, [TargetEvent::Altered(flow())]);
        to_target(&mut target, START, &request);
        let mut changed = target.take_due(LATER)[0].to_vec();
        *changed.last_mut().expect("a byte") ^= 1;
        assert_eq!(exchange.on_packet(&Bytes::from(changed)), Some(ExchangeEvent::Invalid));
    };

    answer_to_another_request_is_wrong => {
        let mut target = Target::new(1);
        let (mut exchange, request) = ask(&mut target);
        to_target(&mut target, START, &request);
        let seq = seq_of(&target.take_due(LATER)[0]);
        let segment = Segment { ack: true, seq, ..Segment::default() };
        let other = encode(Writer::Target, flow(), &segment, b"something else");
        assert_eq!(exchange.on_packet(&other), Some(ExchangeEvent::Invalid));
    };

    reset_ends_a_flow_if_its_sequence_number_is_in_window => {
        let mut target = Target::new(1);
        let (mut exchange, _) = ask(&mut target);
        let syn_packet = Exchange::new(START, flow(), 500).syn_packet();
        let seq = seq_of(&sent(&to_target(&mut Target::new(1), START, &syn_packet))[0]);
        let reset = |seq| {
            let reason = ResetReason::TargetEnded;
            citronhollow_adapter::packet::reset(&Reset { flow: flow(), seq, reason })
        };
        assert_eq!(exchange.on_packet(&reset(seq.wrapping_add(90_000))), None);
        assert_eq!(exchange.on_packet(&reset(seq)), Some(ExchangeEvent::Reset(true)));
    };

    syn_is_retransmitted_twice_and_then_times_out => {
        let mut exchange = Exchange::new(START, flow(), 500);
        let at = |exchange: &mut Exchange, ms| exchange.on_tick(START.after(Millis(ms)));
        assert_eq!(at(&mut exchange, 199), (None, None));
        assert_eq!(at(&mut exchange, 200).0, Some(exchange.syn_packet()));
        assert_eq!(at(&mut exchange, 600).0, Some(exchange.syn_packet()));
        assert_eq!(at(&mut exchange, 1_400), (None, Some(ExchangeEvent::TimedOut)));
    };

    unanswered_request_is_retransmitted_and_times_out => {
        let (mut exchange, request) = ask(&mut Target::new(1));
        assert_eq!(exchange.on_tick(START.after(Millis(200))), (Some(request), None));
        assert_eq!(
            exchange.on_tick(START.after(REQUEST_TIMEOUT)),
            (None, Some(ExchangeEvent::TimedOut))
        );
    };
}

fn seq_of(packet: &Bytes) -> u32 {
    segment_of(packet).seq
}

fn segment_of(packet: &Bytes) -> Segment {
    match citronhollow_adapter::packet::from_target(packet.clone()) {
        Ok(citronhollow_adapter::packet::FromTarget::ToCaller(packet)) => packet.segment,
        other => panic!("{other:?}"),
    }
}
