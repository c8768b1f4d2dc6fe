//! Replays recorded traces and compares them with their expected outcomes.
//!
//! A trace starts with a line that gives its outcome: which agents opened a flow, which agents
//! delivered packets after the SYN, and how many flows were refused or reset. Every other line is
//! an event at one agent, with its time and all actions that follow from it. Agents and callers are
//! numbered.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::flow::Segment;
use citronhollow_core::flows::{Action, Arrival, FlowLimits, Flows, Holding, LoadReport, Packet};
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{TargetRecord, TargetState};
use serde::{Deserialize, Serialize};

use crate::fixture::{Actions, Bytes, agent_with, flow, id, idle, packet, record};

#[derive(Deserialize)]
#[serde(untagged, deny_unknown_fields)]
enum Line {
    Header {
        trace: String,
        #[serde(rename = "says")]
        #[expect(dead_code, reason = "it is for the reader of the trace")]
        description: Option<String>,
        outcome: Outcome,
    },
    Event {
        at: Millis,
        agent: u16,
        event: Event,
        #[serde(default)]
        actions: Vec<String>,
    },
}

#[derive(Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
struct Outcome {
    opened_at: BTreeSet<u16>,
    delivered_at: BTreeSet<u16>,
    refused: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Event {
    /// Starts a ready agent, one of `of` agents that know one another.
    Start {
        of: u16,
        #[serde(default)]
        limits: FlowLimits,
    },
    Packet(PacketEvent),
    Isn {
        caller: u16,
        isn: u32,
    },
    Established {
        caller: u16,
    },
    Closed {
        caller: u16,
    },
    ConnectFailed {
        caller: u16,
    },
    Busy {
        caller: u16,
        busy: bool,
    },
    Question {
        from: u16,
        caller: u16,
    },
    Reply {
        from: u16,
        caller: u16,
        holding: HoldingAt,
    },
    Load(LoadEvent),
    Peers(Vec<PeerEvent>),
    PeersConfirmed,
    State(TargetState),
    Services(Revision),
    Tick,
    Leave,
    /// Expected values of the agent's own load report.
    Report {
        open: u32,
        busy: u32,
        takes_new: bool,
    },
    /// Expected number of entries of each named table.
    Count(BTreeMap<String, usize>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PacketEvent {
    caller: u16,
    service: Option<SocketAddr>,
    segment: Segment,
    #[serde(rename = "handed_by")]
    redirected_by: Option<u16>,
    passed_by: Option<u16>,
    #[serde(default, rename = "chain")]
    candidates: Vec<u16>,
    #[serde(default)]
    hops: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadEvent {
    from: u16,
    sequence: u64,
    #[serde(default)]
    open: u32,
    #[serde(default)]
    busy: u32,
    #[serde(default)]
    full: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PeerEvent {
    number: u16,
    state: TargetState,
    #[serde(default = "first_start")]
    incarnation: u64,
}

const fn first_start() -> u64 {
    1
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HoldingAt {
    Here,
    At(u16),
    No,
}

impl From<HoldingAt> for Holding {
    fn from(holding: HoldingAt) -> Self {
        match holding {
            HoldingAt::Here => Self::Here,
            HoldingAt::At(number) => Self::At(id(number)),
            HoldingAt::No => Self::No,
        }
    }
}

impl From<PacketEvent> for Packet<Bytes> {
    fn from(event: PacketEvent) -> Self {
        let redirected = event
            .redirected_by
            .map(|number| Arrival::Redirected(id(number)));
        let passed = event.passed_by.map(|number| Arrival::Passed(id(number)));
        let mut flow = flow(event.caller);
        flow.service = event.service.unwrap_or(flow.service);
        Self {
            arrival: redirected.or(passed).unwrap_or(Arrival::Balancer),
            candidates: event.candidates.into_iter().map(id).collect(),
            hops: event.hops,
            ..packet(flow, event.segment)
        }
    }
}

impl From<LoadEvent> for LoadReport {
    fn from(event: LoadEvent) -> Self {
        Self {
            open: event.open,
            busy: event.busy,
            takes_new: !event.full,
            ..idle(event.from, event.sequence)
        }
    }
}

impl From<PeerEvent> for TargetRecord {
    fn from(event: PeerEvent) -> Self {
        Self {
            incarnation: event.incarnation,
            sequence: 2,
            ..record(event.number, event.state)
        }
    }
}

fn apply(flows: &mut Flows<Bytes>, now: Millis, event: Event) -> Actions {
    let mut out = Vec::new();
    match event {
        Event::Start { .. } => unreachable!("it makes the agent"),
        Event::Packet(event) => flows.on_packet(now, event.into(), &mut out),
        Event::Isn { caller, isn } => flows.on_isn(&flow(caller), isn),
        Event::Established { caller } => flows.on_established(now, &flow(caller)),
        Event::Closed { caller } => flows.on_closed(now, &flow(caller)),
        Event::ConnectFailed { caller } => flows.on_connect_failed(now, &flow(caller)),
        Event::Busy { caller, busy } => flows.on_busy(&flow(caller), busy),
        Event::Question { from, caller } => {
            flows.on_question(now, id(from), flow(caller), &mut out);
        }
        Event::Reply {
            from,
            caller,
            holding,
        } => {
            flows.on_reply(now, id(from), flow(caller), holding.into(), &mut out);
        }
        Event::Load(event) => flows.on_load(now, event.into()),
        Event::Peers(peers) => {
            let records: Vec<_> = peers.into_iter().map(TargetRecord::from).collect();
            flows.set_peers(now, &records);
        }
        Event::PeersConfirmed => flows.confirm_peers(now),
        Event::State(state) => flows.set_state(now, state),
        Event::Services(revision) => flows.set_services(&revision),
        Event::Tick => flows.on_tick(now, &mut out),
        Event::Leave => flows.on_leave(now, &mut out),
        Event::Report {
            open,
            busy,
            takes_new,
        } => {
            let report = flows.load_report(now);
            let seen = (report.open, report.busy, report.takes_new);
            assert_eq!(seen, (open, busy, takes_new));
        }
        Event::Count(counts) => {
            for (table, expected) in counts {
                assert_eq!(count(flows, &table), expected, "{table}");
            }
        }
    }
    out
}

fn count(flows: &Flows<Bytes>, table: &str) -> usize {
    match table {
        "flows" => flows.len(),
        "half_open" => flows.half_open_count(),
        "redirects" => flows.redirect_count(),
        "ended" => flows.ended_count(),
        "searches" => flows.search_count(),
        "search_packets" => flows.search_packet_count(),
        other => panic!("no table {other}"),
    }
}

/// Short text of an action, as recorded in the traces.
fn summary(action: &Action<Bytes>) -> String {
    match action {
        Action::Open { .. } => String::from("open"),
        Action::Deliver { packet } if packet.segment.syn => String::from("deliver_opening"),
        Action::Deliver { .. } => String::from("deliver"),
        Action::Send { to, relay, .. } => format!("{} {}", name(relay), number_of(*to)),
        Action::Ask { to, .. } => format!("ask {}", number_of(*to)),
        Action::Reply { to, holding, .. } => {
            let to = number_of(*to);
            match holding {
                Holding::At(at) => format!("tell {to} at {}", number_of(*at)),
                other => format!("tell {to} {}", name(other)),
            }
        }
        Action::Refuse { kind, .. } => format!("refuse {}", name(kind)),
        Action::Close { reason, .. } => format!("close {}", name(reason)),
        Action::Drop { reason } => format!("drop {}", name(reason)),
    }
}

fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).expect("a name");
    value.as_str().expect("a name").to_owned()
}

fn number_of(target: TargetId) -> u16 {
    let found = (1..99).find(|number| id(*number) == target);
    found.expect("an agent of the trace")
}

/// A trace that is being replayed.
#[derive(Default)]
struct Replay {
    agents: BTreeMap<u16, Flows<Bytes>>,
    expected: Outcome,
    seen: Outcome,
}

impl Replay {
    fn on_event(&mut self, now: Millis, number: u16, event: Event) -> Vec<String> {
        if let Event::Start { of, limits } = event {
            self.agents.insert(number, agent_with(number, of, limits));
            return Vec::new();
        }
        let flows = self.agents.get_mut(&number).expect("an agent that started");
        let actions: Vec<_> = apply(flows, now, event).iter().map(summary).collect();
        for action in &actions {
            self.count_action(number, action);
        }
        actions
    }

    fn count_action(&mut self, agent: u16, action: &str) {
        match action.split(' ').next() {
            Some("open") => drop(self.seen.opened_at.insert(agent)),
            Some("deliver") => drop(self.seen.delivered_at.insert(agent)),
            Some("refuse") => self.seen.refused += 1,
            _ => {}
        }
    }
}

fn lines_of(file: &str) -> impl Iterator<Item = Line> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let text = fs::read_to_string(path.join(file)).expect("a file of traces");
    let lines: Vec<Line> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|err| panic!("{line}: {err}")))
        .collect();
    lines.into_iter()
}

fn replay(file: &str, wanted: &str) {
    let mut replay = None;
    for line in lines_of(file) {
        match line {
            Line::Header { trace, outcome, .. } if trace == wanted => {
                let expected = outcome;
                replay = Some(Replay {
                    expected,
                    ..Replay::default()
                });
            }
            Line::Header { .. } if replay.is_some() => break,
            Line::Header { .. } => {}
            Line::Event {
                at,
                agent,
                event,
                actions,
            } => {
                if let Some(replay) = &mut replay {
                    let seen = replay.on_event(at, agent, event);
                    assert_eq!(seen, actions, "{wanted}, agent {agent} at {at}");
                }
            }
        }
    }
    let replay = replay.expect("a trace of this name");
    assert_eq!(replay.seen, replay.expected, "{wanted}");
}

/// Defines a test for each named trace of a file, and one that fails on a trace without a test.
macro_rules! traces {
    ($($file:ident: $($name:ident)*;)*) => {
        $(mod $file {
            const FILE: &str = concat!(stringify!($file), ".jsonl");

            $(#[test] fn $name() { super::replay(FILE, stringify!($name)) })*

            #[test]
            fn every_trace_has_a_case() {
                let cases = [$(stringify!($name)),*];
                super::assert_every_trace_has_a_case(FILE, &cases);
            }
        })*
    };
}

fn assert_every_trace_has_a_case(file: &str, cases: &[&str]) {
    for line in lines_of(file) {
        if let Line::Header { trace, .. } = line {
            assert!(cases.contains(&trace.as_str()), "{trace} has no case");
        }
    }
}

traces! {
    opening_packet_steered: opening_packet_steered;
    balancer_change: balancer_change;
    target_drain: target_drain;
    agent_death: agent_death;
    doubled_opening_packet: doubled_opening_packet;
    address_reassigned: address_reassigned;
    steering:
        busy_agent_hands_the_flow_to_the_idle_peer
        full_redirects_lose_the_one_that_is_idle_for_longest
        handed_flow_is_handed_on_until_it_has_been_handed_often_enough
        handed_flow_is_handed_on_or_refused_by_an_agent_that_drains
        idle_agent_opens_the_flow_in_place_of_busy_peers
        late_report_changes_nothing
        lone_agent_opens_the_flow
        new_connection_between_the_same_ends_is_decided_by_the_old_holder
        opening_packet_of_an_established_flow_goes_to_its_endpoint
        packets_of_a_handed_flow_go_straight_to_the_peer
        repeated_opening_packet_leaves_a_peer_that_fell_silent
        repeated_opening_packet_reaches_the_same_place
        restarted_peer_counts_as_full_until_it_reports
    ;
    search:
        more_peers_than_questions_forbid_no_search
        agent_in_the_middle_tells_where_the_flow_is
        answer_that_names_an_unknown_target_forbids_the_reset
        chain_that_names_an_unknown_target_forbids_the_reset
        dead_peer_in_the_chain_is_skipped
        flow_of_a_dead_peer_is_reset_without_delay_if_a_redirect_names_it
        flow_of_a_dead_peer_is_reset_without_delay_if_the_hint_names_it
        flow_of_a_new_target_is_found_when_the_target_becomes_known
        flow_of_an_earlier_start_of_this_agent_is_reset_without_delay
        hint_beats_the_chain_once
        hop_limit_ends_in_a_search
        packet_does_not_go_back_to_its_sender
        peer_long_missing_from_the_list_is_forgotten_when_it_answers_nothing
        peer_missing_from_the_list_is_asked
        peer_that_is_known_dead_is_not_waited_for
        peer_that_joins_during_the_search_is_asked
        question_is_answered_from_what_is_known
        reset_of_an_unknown_flow_starts_no_search
        search_keeps_few_packets_of_one_flow
        second_hand_answer_is_used_when_the_others_are_late
        second_hand_answer_is_void_when_its_target_denies
        starting_peer_may_hold_flows_too
        unclaimed_flow_is_first_dropped_and_reset_when_the_peers_are_settled
        unclaimed_flow_is_reset_when_unchanged_peers_are_confirmed
    ;
    handshake:
        acknowledgement_before_the_endpoint_has_answered_is_not_delivered
        acknowledgement_of_another_endpoint_is_passed_and_not_delivered
        acknowledgement_of_another_endpoint_is_searched_and_never_reset
        acknowledgement_of_this_endpoint_is_delivered
        caller_that_gives_up_reaches_the_half_open_endpoint
        flow_found_elsewhere_stays_found_while_it_is_half_open_here
        half_open_flow_times_out_in_silence
        packet_of_another_connection_is_not_delivered_to_an_established_flow
    ;
    ended:
        reset_after_the_end_reaches_the_other_agent_that_answered
        ended_flow_is_forgotten
        handshake_that_did_not_finish_leaves_nothing
        late_packets_of_an_ended_flow_start_no_search
        new_connection_between_the_same_ends_is_not_taken_for_the_old_one
    ;
    services:
        address_of_a_service_of_other_targets_is_wrong
        address_of_no_service_is_wrong
        established_flow_outlives_the_move_of_its_service
        established_flow_outlives_the_release_of_its_address
        lower_revision_changes_nothing
        redirect_of_a_reassigned_address_is_not_followed
        redirect_outlives_the_move_of_its_service
        rule_pool_serves_the_service_too
        several_groups_may_share_a_pool
        tick_closes_the_flows_of_a_reassigned_address
    ;
    draining:
        draining_agent_hands_a_passed_flow_back_if_nobody_else_takes_it
        draining_agent_hands_new_flows_to_peers_however_busy
        draining_agent_keeps_its_flows_and_redirects
        draining_agent_opens_nothing_that_is_handed_or_passed
        draining_agent_refuses_when_no_peer_takes_new_flows
        redirects_to_dead_peers_are_not_told
        starting_agent_opens_nothing
    ;
}
