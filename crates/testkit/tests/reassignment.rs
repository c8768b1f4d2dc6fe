//! Reassignment of an address from one service to another, with real processes.
//!
//! Guards against misdelivery: flows of the old service may end, but none of their packets may
//! reach the new service's targets, and callers of the new service may reach only its targets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Service};
use citronhollow_testkit::fabric::Fabric;
use citronhollow_testkit::fleet::{Fleet, TargetPlan, wait_until};
use citronhollow_testkit::load::{Load, Session};
use citronhollow_testkit::sample;

const OFFICE: &str = "draw-office";
const OFFICE_ADDRESS: &str = "10.1.0.2:443";
const SPARE_ADDRESS: &str = "10.1.0.3:443";
const FLOWS: u32 = 20;
const END_AT: Millis = Millis::from_secs(120);

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("address of the test")
}

/// Returns the documents of both services with these addresses.
fn documents(desk: &[SocketAddr], office: &[SocketAddr]) -> Documents {
    let mut documents = sample::documents();
    let mut services = documents.services.clone();
    services[0].addresses = desk.to_vec();
    services.push(Service {
        name: String::from(OFFICE),
        addresses: office.to_vec(),
        pool: String::from(OFFICE),
        ..services[0].clone()
    });
    documents.services = services;
    documents.pools.push(Pool {
        name: String::from(OFFICE),
        groups: vec![String::from(OFFICE)],
        flows_per_target: None,
    });
    documents
}

fn sessions(service: &str, first: u32, requests: u32) -> Vec<Session> {
    (first..first + FLOWS)
        .map(|number| Session {
            flow: sample::flow(number),
            service: String::from(service),
            start: Millis::ZERO,
            requests,
            think: Millis(200),
            answer_bytes: 100,
            with_timestamps: number % 2 == 0,
        })
        .collect()
}

#[test]
fn reassigned_address_never_reaches_the_wrong_service() -> io::Result<()> {
    let fabric = Fabric::bind(Duration::from_millis(1), 3)?;
    let mut fleet = Fleet::start("reassignment", fabric.local_addr()?, 2)?;
    for number in 1..=2 {
        fleet.add_target(&sample::target(number))?;
        fleet.add_target(&TargetPlan {
            name: format!("office-{number}"),
            group: String::from(OFFICE),
            service: String::from(OFFICE),
            ..sample::target(number)
        })?;
    }
    let (desk, office, spare) = (sample::ADDRESS, addr(OFFICE_ADDRESS), addr(SPARE_ADDRESS));
    fleet.apply(&documents(&[desk], &[office]))?;
    fleet.wait_for_ready_targets(4)?;

    let mut load = Load::new(fabric, sessions(sample::NAME, 0, 1_000));
    load.fabric().set_balancers(fleet.fabric_addrs());
    load.run_until(Millis(1_500));
    assert_eq!(load.open(), FLOWS as usize, "every flow is open");
    let in_one_step = fleet.apply(&documents(&[spare], &[office, desk]));
    assert!(in_one_step.is_err(), "the address is in use until now");
    fleet.apply(&documents(&[spare], &[office]))?;
    wait_until(|| {
        load.run_until(load.now().after(Millis(200)));
        Ok(fleet.apply(&documents(&[spare], &[office, desk])).is_ok())
    })?;

    load.add(sessions(OFFICE, FLOWS, 5));
    load.run_until(END_AT);
    let ran = fleet.ran()?;
    let outcome = load.into_outcome(&ran, &[]);
    assert_eq!(outcome.misdelivered, 0, "{outcome:?}");
    assert_eq!(outcome.doubled, 0, "{outcome:?}");
    assert_eq!(outcome.completed, u64::from(FLOWS), "{outcome:?}");
    assert_eq!(outcome.silent, 0, "{outcome:?}");
    Ok(())
}
