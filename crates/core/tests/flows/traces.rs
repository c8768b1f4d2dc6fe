//! Recorded traces, replayed against their stated outcomes.
//!
//! The first line of a trace states the outcome: which agents opened a flow, which got packets
//! after the opening one, and how many flows were refused or reset. Every other line is an event at one agent with
//! its time and the actions that follow. Agents are numbered from one.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::Segment;
use citronhollow_core::flows::{Action, Arrival, Flows, Holding, LoadReport, Packet};
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;
use serde::{Deserialize, Serialize};

use crate::fixture::{
    Actions, Bytes, SERVICE, agent, flow, id, idle, packet, record, revision, service,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    outcome: Outcome,
    agents: u16,
}

#[derive(Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
struct Outcome {
    says: String,
    opened_at: BTreeSet<u16>,
    delivered_at: BTreeSet<u16>,
    refused: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at: Millis,
    agent: u16,
    event: Event,
    #[serde(default)]
    actions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Event {
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
    Question {
        from: u16,
        caller: u16,
    },
    Reply {
        from: u16,
        caller: u16,
        holding: HoldingAt,
    },
    Load {
        from: u16,
        sequence: u64,
        busy: u32,
    },
    Peers {
        ready: Vec<u16>,
        draining: Vec<u16>,
        dead: Vec<u16>,
    },
    State(TargetState),
    /// A revision in which this service has the address and the pool `desk` serves it.
    Reassigned {
        number: u64,
        to: String,
    },
    Tick,
    Leave,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PacketEvent {
    caller: u16,
    segment: Segment,
    #[serde(default)]
    handed_by: Option<u16>,
    #[serde(default)]
    passed_by: Option<u16>,
    #[serde(default)]
    chain: Vec<u16>,
    #[serde(default)]
    hops: u32,
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
        let handed = event.handed_by.map(|number| Arrival::Handed(id(number)));
        let passed = event.passed_by.map(|number| Arrival::Passed(id(number)));
        Self {
            arrival: handed.or(passed).unwrap_or(Arrival::Balancer),
            chain: event.chain.into_iter().map(id).collect(),
            hops: event.hops,
            ..packet(flow(event.caller), event.segment)
        }
    }
}

fn apply(flows: &mut Flows<Bytes>, now: Millis, event: Event) -> Actions {
    let mut out = Vec::new();
    match event {
        Event::Packet(event) => flows.on_packet(now, event.into(), &mut out),
        Event::Isn { caller, isn } => flows.on_isn(&flow(caller), isn),
        Event::Established { caller } => flows.on_established(now, &flow(caller)),
        Event::Closed { caller } => flows.on_closed(now, &flow(caller)),
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
        Event::Load {
            from,
            sequence,
            busy,
        } => {
            let open = busy;
            flows.on_load(
                now,
                LoadReport {
                    open,
                    busy,
                    ..idle(from, sequence)
                },
            );
        }
        Event::Peers {
            ready,
            draining,
            dead,
        } => {
            let in_state = |numbers: Vec<u16>, state| {
                numbers.into_iter().map(move |number| record(number, state))
            };
            let records: Vec<_> = in_state(ready, TargetState::Ready)
                .chain(in_state(draining, TargetState::Draining))
                .chain(in_state(dead, TargetState::Dead))
                .collect();
            flows.set_peers(now, &records);
        }
        Event::State(state) => flows.set_state(now, state),
        Event::Reassigned { number, to } => {
            let mut next = revision();
            next.number = number;
            next.documents.services = vec![service(&to, SERVICE, "desk")];
            flows.set_services(&next);
        }
        Event::Tick => flows.on_tick(now, &mut out),
        Event::Leave => flows.on_leave(now, &mut out),
    }
    out
}

/// An action in a few words.
fn words(action: &Action<Bytes>) -> String {
    match action {
        Action::Open { .. } => String::from("open"),
        Action::Deliver { packet } if packet.segment.syn => String::from("deliver_opening"),
        Action::Deliver { .. } => String::from("deliver"),
        Action::Send { to, relay, .. } => format!("{} {}", name(relay), number_of(*to)),
        Action::Ask { to, .. } => format!("ask {}", number_of(*to)),
        Action::Reply {
            to,
            holding: Holding::At(at),
            ..
        } => {
            format!("tell {} at {}", number_of(*to), number_of(*at))
        }
        Action::Reply { to, holding, .. } => format!("tell {} {}", number_of(*to), name(holding)),
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
    (1..99)
        .find(|number| id(*number) == target)
        .expect("an agent of the trace")
}

fn replay(file: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(file);
    let text = fs::read_to_string(&path).expect("a trace");
    let mut lines = text.lines();
    let first = lines.next().expect("a first line");
    let header: Header = serde_json::from_str(first).expect("a stated outcome");
    let mut agents: Vec<_> = (1..=header.agents)
        .map(|n| agent(n, header.agents))
        .collect();
    let mut seen = Outcome {
        says: header.outcome.says.clone(),
        ..Outcome::default()
    };
    for (number, line) in lines.enumerate() {
        let line: Line = serde_json::from_str(line).expect("an event");
        let flows = &mut agents[usize::from(line.agent) - 1];
        let actions = apply(flows, line.at, line.event);
        let actions: Vec<_> = actions.iter().map(words).collect();
        assert_eq!(actions, line.actions, "{file}, line {}", number + 2);
        for action in actions {
            note(&mut seen, line.agent, &action);
        }
    }
    assert_eq!(seen, header.outcome, "{file}");
}

fn note(seen: &mut Outcome, agent: u16, action: &str) {
    match action.split(' ').next() {
        Some("open") => drop(seen.opened_at.insert(agent)),
        Some("deliver") => drop(seen.delivered_at.insert(agent)),
        Some("refuse") => seen.refused += 1,
        _ => {}
    }
}

cases! {
    opening_packet_is_steered => replay("opening_packet_steered.jsonl");
    balancer_changes_during_a_flow => replay("balancer_change.jsonl");
    target_drains => replay("target_drain.jsonl");
    agent_dies_with_redirects_to_it => replay("agent_death.jsonl");
    opening_packet_is_doubled_under_uneven_views => replay("doubled_opening_packet.jsonl");
    address_is_reassigned => replay("address_reassigned.jsonl");
}
