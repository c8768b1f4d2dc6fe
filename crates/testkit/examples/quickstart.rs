//! Demonstrates the complete data path, with balancers, agents and targets as separate processes.
//!
//! Starts stand-ins for the platform, the fabric, callers and targets, three balancers and four
//! targets with their agents, all on loopback, and sends real TCP flows whose packets the fabric
//! sprays over the balancers. During the run one balancer is replaced and one target is drained.
//! Prints the outcome of the flows, as JSON with `--json`, and fails if a required outcome is
//! missed.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_testkit::fabric::Fabric;
use citronhollow_testkit::fleet::Fleet;
use citronhollow_testkit::load::{Load, Session};
use citronhollow_testkit::outcome::Outcome;
use citronhollow_testkit::sample;
use gumdrop::Options;

const BALANCERS: usize = 3;
const TARGETS: u16 = 4;
const FLOWS: u32 = 400;
const SEED: u64 = 1;

/// Time span in which flows start.
const START_SPAN: Millis = Millis(6_000);

/// When one balancer is replaced.
const REPLACE_AT: Millis = Millis(2_000);

/// When one target is drained.
const DRAIN_AT: Millis = Millis(3_000);

/// Time after the drain request from which the target must get no new flow.
const DRAIN_BOUND: Millis = Millis(3_000);

/// Latest end of the run.
const END_AT: Millis = Millis(14_000);

/// Time for which the fabric waits for a packet.
const FABRIC_WAIT: Duration = Duration::from_millis(1);

/// Demonstrates the complete data path on loopback.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object instead of a summary")]
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run() {
        Ok(outcome) => report(&outcome, arguments.json),
        Err(err) => {
            eprintln!("quickstart: {err}");
            ExitCode::FAILURE
        }
    }
}

fn report(outcome: &Outcome, as_json: bool) -> ExitCode {
    if as_json {
        match serde_json::to_string(outcome) {
            Ok(json) => println!("{json}"),
            Err(err) => eprintln!("quickstart: {err}"),
        }
    } else {
        print!("{outcome}");
    }
    let failures = outcome.failures();
    for failure in &failures {
        eprintln!("quickstart: {failure}");
    }
    if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run() -> Result<Outcome, Box<dyn Error>> {
    let fabric = Fabric::bind(FABRIC_WAIT, SEED)?;
    let mut fleet = Fleet::start("quickstart", fabric.local_addr()?, BALANCERS)?;
    for number in 1..=TARGETS {
        fleet.add_target(&sample::target(number))?;
    }
    fleet.apply(&sample::documents())?;
    fleet.wait_for_ready_targets(usize::from(TARGETS))?;

    let mut load = Load::new(fabric, sessions());
    load.fabric().set_balancers(fleet.fabric_addrs());
    load.run_until(REPLACE_AT);
    fleet.add_balancer()?;
    load.fabric().set_balancers(fleet.fabric_addrs());
    let retired = fleet.begin_retirement(0)?;
    load.fabric().set_balancers(fleet.fabric_addrs());
    load.run_until(DRAIN_AT);
    let drained = sample::target(1).name;
    let requested_at = load.now();
    fleet.drain(&drained)?;
    load.run_until(END_AT);
    Fleet::end_retirement(retired)?;

    let ran = fleet.ran()?;
    let late = load
        .starts_at(&drained)
        .iter()
        .filter(|start| start.since(requested_at) > DRAIN_BOUND)
        .count();
    let mut outcome = load.into_outcome(&ran, &[drained]);
    outcome.late_to_draining = late as u64;
    Ok(outcome)
}

fn sessions() -> Vec<Session> {
    (0..FLOWS)
        .map(|number| Session {
            flow: sample::flow(number),
            service: String::from(sample::NAME),
            start: Millis(u64::from(number) * START_SPAN.0 / u64::from(FLOWS)),
            requests: 10,
            think: Millis(300),
            answer_bytes: 3_000,
            with_timestamps: true,
        })
        .collect()
}
