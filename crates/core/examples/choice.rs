//! Measures the cost of a balancer's choice by the number of services and targets.
//!
//! Prints nanoseconds per choice, the time to build the routes from scratch and after one change,
//! and the memory that they take, for fleets from 10 targets to twice the design size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_core::routes::Routes;

/// Number of services and targets of each row.
const SIZES: [(u32, u32); 6] = [
    (10, 10),
    (10, 50),
    (370, 1_900),
    (1_000, 5_000),
    (3_700, 19_000),
    (7_400, 38_000),
];

const CHOICES: u32 = 2_000_000;
const FLOWS: usize = 4_096;

/// Size of a memory page, in bytes.
const PAGE: u64 = 4_096;

fn main() {
    println!("services  targets  ns/choice  ns/hinted  build ms  rebuild ms  memory KB");
    for (services, targets) in SIZES {
        row(services, targets);
    }
}

fn row(services: u32, targets: u32) {
    let revision = revision(services);
    let mut records: Vec<_> = (0..targets).map(|at| record(at, services)).collect();
    let before = resident();
    let started = Instant::now();
    let routes = Routes::build(&revision, &records, None);
    let build = started.elapsed();
    let memory = resident().saturating_sub(before);

    records[0].state = TargetState::Draining;
    let started = Instant::now();
    let changed = Routes::build(&revision, &records, Some(&routes));
    let rebuild = started.elapsed();
    black_box(&changed);

    let by_table = nanos_per_choice(&routes, services, |_| 0);
    let by_hint = nanos_per_choice(&routes, services, |service| {
        TargetId::of(&format!("target-{service}")).hint()
    });
    println!(
        "{services:>8} {targets:>8} {by_table:>10.0} {by_hint:>10.0} {:>9.2} {:>11.2} {:>10}",
        build.as_secs_f64() * 1e3,
        rebuild.as_secs_f64() * 1e3,
        memory / 1_024,
    );
}

fn nanos_per_choice(routes: &Routes, services: u32, hint: impl Fn(u32) -> u32) -> f64 {
    let packets: Vec<_> = (0_u32..)
        .take(FLOWS)
        .map(|at| {
            let service = at * 7 % services;
            let segment = Segment {
                ack: true,
                echo: hint(service),
                ..Segment::default()
            };
            (flow(at, service), segment)
        })
        .collect();
    let started = Instant::now();
    for at in 0..CHOICES as usize {
        let (flow, segment) = &packets[at % FLOWS];
        black_box(routes.choose(flow, segment).ok());
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES)
}

fn revision(services: u32) -> Revision {
    let documents = Documents {
        services: (0..services).map(service).collect(),
        pools: (0..services).map(pool).collect(),
        rules: Vec::new(),
    };
    Revision {
        number: 1,
        epoch: 1,
        documents,
    }
}

fn service(number: u32) -> Service {
    Service {
        name: format!("service-{number}"),
        addresses: vec![address(number)],
        pool: format!("pool-{number}"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    }
}

fn pool(number: u32) -> Pool {
    Pool {
        name: format!("pool-{number}"),
        groups: vec![format!("group-{number}")],
        flows_per_target: None,
    }
}

fn record(number: u32, services: u32) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(&format!("target-{number}")),
        group: GroupId::of(&format!("group-{}", number % services)),
        domain: DomainId::of("domain-a"),
        agent: SocketAddr::from((number.to_be_bytes(), 9_000)),
        slots: 2,
        state: TargetState::Ready,
        incarnation: 1,
        sequence: 1,
    }
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(((0x0a01_0000 + number).to_be_bytes(), 443))
}

fn flow(number: u32, service: u32) -> FlowId {
    FlowId {
        caller: SocketAddr::from(((0x0a09_0000 + number).to_be_bytes(), 20_000)),
        service: address(service),
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0_u64) * PAGE
}
