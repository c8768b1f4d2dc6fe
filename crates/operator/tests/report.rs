//! Status as text and as JSON.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::TargetState;
use citronhollow_operator::problem::Problem;
use citronhollow_operator::status::{
    BalancerState, BalancerStatus, DrainStatus, FleetStatus, PlatformStatus, PublishStatus,
    RefusalCount, RejectedDraft, Status, TargetStatus, TrafficStatus,
};

fn balancer(revision: Option<u64>, state: BalancerState) -> BalancerStatus {
    BalancerStatus {
        id: String::from("00000000000000b1"),
        domain: String::from("00000000000000d1"),
        control: SocketAddr::from(([10, 0, 0, 1], 7_946)),
        state,
        revision,
        last_seen_ms: Some(Millis(300)),
    }
}

fn target(revision: Option<u64>, state: TargetState, open: Option<u32>) -> TargetStatus {
    TargetStatus {
        id: String::from("00000000000000a1"),
        group: String::from("00000000000000c1"),
        domain: String::from("00000000000000d1"),
        agent: SocketAddr::from(([10, 0, 1, 1], 6_081)),
        slots: 2,
        state,
        is_suspect: false,
        revision,
        open,
        last_seen_ms: None,
    }
}

fn drain(target: &str, state: Option<TargetState>, open: Option<u32>) -> DrainStatus {
    DrainStatus {
        target: String::from(target),
        state,
        open,
    }
}

fn status() -> Status {
    Status {
        balancer: String::from("entry-a1"),
        domain: String::from("ahmedabad"),
        version: String::from("0.1.0"),
        uptime_ms: Millis::from_secs(3 * 3_600 + 12 * 60),
        fleet: FleetStatus {
            revision: 42,
            balancers: vec![
                balancer(Some(42), BalancerState::Alive),
                balancer(Some(41), BalancerState::Alive),
                balancer(None, BalancerState::Suspect),
            ],
            targets: vec![
                target(Some(42), TargetState::Ready, Some(7)),
                target(None, TargetState::Draining, None),
                target(Some(42), TargetState::Draining, Some(12)),
            ],
            drains: vec![
                drain("desk-2", Some(TargetState::Draining), None),
                drain("desk-3", Some(TargetState::Draining), Some(12)),
                drain("desk-4", None, Some(0)),
            ],
            lowest_reported: 41,
            refused_frames: 5,
            ..FleetStatus::default()
        },
        publish: PublishStatus {
            publisher: Some(String::from("entry-b1")),
            epoch: 7,
            is_publisher: false,
            published: Some(43),
            rejected: vec![RejectedDraft {
                kind: String::from("rule"),
                name: String::from("canary"),
                problems: vec![Problem::new(
                    "pool",
                    "there is no pool \"new\"",
                    "create it",
                )],
            }],
            platform: PlatformStatus {
                reachable: false,
                last_answer_ms: Some(Millis(95_000)),
                calls: 120,
                retries: 4,
                last_error: Some(String::from("platform GET /v1/objects: no answer")),
            },
        },
        traffic: TrafficStatus {
            packets: 100,
            forwarded: 96,
            malformed: 1,
            refused: vec![RefusalCount {
                kind: ErrorKind::NoTarget,
                count: 3,
            }],
        },
    }
}

#[test]
fn text_shows_each_topic_in_a_line() {
    let expected = "\
balancer   entry-a1 in ahmedabad, version 0.1.0, up 3 h 12 min
revision   42 in force here, 43 published
           42: 1 balancers, 2 targets
           41: 1 balancers, 0 targets
rejected   rule canary
           pool: there is no pool \"new\"; create it
publisher  entry-b1, epoch 7
platform   DOWN, 120 calls, 4 repeated, last answer 1 min 35 s ago
           platform GET /v1/objects: no answer
balancers  2 alive, 0 leaving, 1 suspect
targets    1 ready, 0 starting, 2 draining, 0 suspect, 0 dead
refused    5 frames from other processes
drain      desk-2: draining, flows not known
drain      desk-3: draining, 12 flows left
drain      desk-4: gone, 0 flows left
packets    100 taken, 96 forwarded, 1 malformed
refused    3, because no target is ready
";
    assert_eq!(status().to_string(), expected);
}

#[test]
fn json_round_trips() {
    let json = serde_json::to_string(&status()).expect("JSON");
    let read: Status = serde_json::from_str(&json).expect("a status");
    assert_eq!(read, status());
}
