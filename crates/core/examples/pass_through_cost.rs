//! Measures the cost of the decisions of pass-through delivery: time per packet, memory per flow,
//! and time per search by number of agents.
//!
//! `cargo run --release -p citronhollow-core --example pass_through_cost`

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, RequestClass, Revision, Service, Spill};
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::{DomainId, GroupId, InstanceId, TargetId};
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{
    Agent, AgentIdentity, AgentLimits, Balancer, BalancerAction, BalancerLimits, Heartbeat,
    Holding, Offer, Packet, REMOTE_REPORT_INTERVAL, Report,
};

const NOW: Millis = Millis(10_000);
const FLOWS: u32 = 100_000;
const ROUNDS: u32 = 10;
const SEARCHES: u32 = 2_000;
const FLEETS: [u16; 3] = [10, 60, 300];

fn flow(number: u32) -> FlowId {
    let [_, a, b, c] = number.to_be_bytes();
    FlowId {
        caller: SocketAddr::from(([100, a, b, c], 40_000)),
        service: SocketAddr::from(([198, 18, 0, 1], 443)),
    }
}

fn agent_addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn revision() -> Revision {
    let name = String::from("desk");
    Revision {
        number: 1,
        epoch: 0,
        documents: Documents {
            services: vec![Service {
                name: name.clone(),
                addresses: vec![flow(0).service],
                pool: name.clone(),
                refusal: Refusal::Reset,
                new_flows_per_s: None,
                new_flows_per_s_per_caller: None,
                spill: Spill::Normal,
                requests: RequestClass::default(),
            }],
            pools: vec![Pool {
                name: name.clone(),
                groups: vec![name],
                flows_per_target: None,
            }],
            rules: Vec::new(),
        },
    }
}

fn balancer(targets: u16) -> Balancer<u32> {
    let limits = BalancerLimits {
        flows: FLOWS as usize,
        flow_timeout: Millis::from_secs(60),
        searches: SEARCHES as usize,
        search_packets: 4,
    };
    let mut balancer = Balancer::new(NOW, DomainId::of("a"), limits, 1);
    balancer.set_revision(&revision());
    for number in 0..targets {
        balancer.on_report(NOW, report(number));
    }
    balancer
}

fn report(number: u16) -> Report {
    Report {
        target: target(number),
        incarnation: 1,
        sequence: 1,
        agent: agent_addr(number),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        state: TargetState::Ready,
        is_stopping: false,
        slots: 2,
        cold_left: Millis::ZERO,
        flows: 0,
        busy: 0,
        mean_busy_milli: 0,
        failing_milli: 0,
        remote_interval: REMOTE_REPORT_INTERVAL,
    }
}

fn target(number: u16) -> TargetId {
    TargetId(u64::from(number) + 1)
}

fn packet(number: u32, segment: Segment) -> Packet<u32> {
    Packet {
        flow: flow(number),
        segment,
        bytes: number,
        age: Millis::ZERO,
    }
}

const SYN: Segment = Segment {
    syn: true,
    ack: false,
    rst: false,
    fin: false,
    seq: 1,
    ack_seq: 0,
    payload: 0,
    echo: 0,
};

const DATA: Segment = Segment {
    syn: false,
    ack: true,
    payload: 100,
    ack_seq: 2,
    ..SYN
};

/// Resident memory, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}

/// Runs `work` for each flow and returns the mean time per call, in ns.
fn each(rounds: u32, mut work: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    for _ in 0..rounds {
        (0..FLOWS).for_each(&mut work);
    }
    start.elapsed().as_nanos() / u128::from(rounds * FLOWS)
}

fn measure_balancer() {
    let mut out = Vec::new();
    let before = resident();
    let mut balancer = balancer(60);
    let new_flow = each(1, |number| {
        balancer.on_packet(NOW, packet(number, SYN), 0, &mut out);
        out.clear();
    });
    let bytes = (resident() - before) / u64::from(FLOWS);
    let known = each(ROUNDS, |number| {
        balancer.on_packet(NOW, packet(number, DATA), 0, &mut out);
        black_box(&out);
        out.clear();
    });
    println!(
        "balancer, 60 targets: new flow {new_flow} ns, known flow {known} ns, {bytes} bytes a flow"
    );
}

fn measure_agent() {
    let identity = AgentIdentity {
        target: target(0),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        agent: agent_addr(0),
        incarnation: 1,
    };
    let limits = AgentLimits {
        flows: FLOWS as usize,
        flow_timeout: Millis::from_secs(60),
        heartbeat: Millis(1_000),
    };
    let mut out = Vec::new();
    let before = resident();
    let mut agent = Agent::new(Millis::ZERO, identity, limits);
    let heartbeat = Heartbeat {
        instance: InstanceId::of("i-1"),
        started_at: 1,
        sequence: 1,
        state: TargetState::Ready,
        slots: 2,
        cold_left: Millis::ZERO,
    };
    agent.on_heartbeat(NOW, heartbeat, &mut out);
    let (from, group) = (agent_addr(1), identity.group);
    let answer = Segment { ack: true, ..SYN };
    let new_flow = each(1, |number| {
        agent.on_packet(NOW, from, Offer::New, group, packet(number, SYN), &mut out);
        agent.on_target_packet(NOW, packet(number, answer), &mut out);
        out.clear();
    });
    let bytes = (resident() - before) / u64::from(FLOWS);
    let known = each(ROUNDS, |number| {
        agent.on_packet(
            NOW,
            from,
            Offer::Held,
            group,
            packet(number, DATA),
            &mut out,
        );
        black_box(&out);
        out.clear();
    });
    println!(
        "agent: new flow and its answer {new_flow} ns, known flow {known} ns, {bytes} bytes a flow"
    );
}

fn measure_search(targets: u16) {
    let mut balancer = balancer(targets);
    let mut out = Vec::new();
    let mut questions = 0;
    let start = Instant::now();
    for number in 0..SEARCHES {
        balancer.on_packet(NOW, packet(number, DATA), 0, &mut out);
        let is_question =
            |action: &&BalancerAction<u32>| matches!(action, BalancerAction::Ask { .. });
        questions += out.iter().filter(is_question).count();
        out.clear();
        for agent in 1..targets {
            balancer.on_reply(NOW, target(agent), flow(number), Holding::No, &mut out);
        }
        balancer.on_reply(NOW, target(0), flow(number), Holding::Here, &mut out);
        out.clear();
    }
    let time = start.elapsed().as_micros() / u128::from(SEARCHES);
    let questions = questions / SEARCHES as usize;
    println!("search, {targets} agents: {questions} questions, {time} us of the balancer");
}

fn main() {
    measure_balancer();
    measure_agent();
    FLEETS.into_iter().for_each(measure_search);
}
