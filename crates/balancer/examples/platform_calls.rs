//! Measures the calls to the platform, idle and per publication, and the time from an operator's
//! write until every watching balancer has the revision.
//!
//! Run with `cargo run --release -p citronhollow-balancer --example platform_calls`. All balancers
//! run in this process, against the stand-in on loopback, with the default settings.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use citronhollow_balancer::publish::{self, FleetView, PublishSettings, WATCHERS};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::config::{Documents, Pool, Refusal, Service};
use citronhollow_platform::{Client, ClientConfig, drafts};
use citronhollow_testkit::platform::{CallCounts, Faults, StandIn};
use tokio::sync::watch;

const BALANCERS: usize = 10;
const IDLE: Duration = Duration::from_secs(30);
const PUBLICATIONS: u16 = 100;
/// Time between two publications.
const PAUSE: Duration = Duration::from_millis(300);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let platform = StandIn::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let (_stop, stopped) = watch::channel(false);
    let stores: Vec<RevisionStore> = (0..BALANCERS)
        .map(|rank| start_balancer(&platform, rank, stopped.clone()))
        .collect();
    let watching = &stores[..WATCHERS];
    let operator = Client::new(ClientConfig::new(platform.address()));
    publish_one(&operator, watching, &documents(1), 1).await?;

    let before = platform.counts();
    tokio::time::sleep(IDLE).await;
    print_counts(
        "idle, calls/s",
        &before,
        &platform.counts(),
        IDLE.as_secs_f64(),
    );

    publish_many(&platform, &operator, watching, 2).await?;
    println!("the same with all watches closed:");
    platform.set_faults(Faults {
        closed_watches: true,
        ..Faults::default()
    });
    publish_many(&platform, &operator, watching, 2 + PUBLICATIONS).await?;
    Ok(())
}

async fn publish_many(
    platform: &StandIn,
    operator: &Client,
    watching: &[RevisionStore],
    first: u16,
) -> Result<(), Box<dyn Error>> {
    let before = platform.counts();
    let mut times = Vec::new();
    for run in first..first + PUBLICATIONS {
        times.push(publish_one(operator, watching, &documents(run), run).await?);
        tokio::time::sleep(PAUSE).await;
    }
    let title = "publications, calls each";
    print_counts(title, &before, &platform.counts(), f64::from(PUBLICATIONS));
    print_times(times);
    Ok(())
}

fn start_balancer(platform: &StandIn, rank: usize, stop: watch::Receiver<bool>) -> RevisionStore {
    let revisions = RevisionStore::default();
    let client = Client::new(ClientConfig::new(platform.address()));
    let cfg = PublishSettings::new(format!("balancer-{rank}"));
    let fleet = move || FleetView {
        rank,
        lowest_reported: 0,
    };
    tokio::spawn(publish::run(cfg, client, revisions.clone(), fleet, stop));
    revisions
}

fn documents(services: u16) -> Documents {
    let services = (1..=services).map(|number| Service {
        name: format!("service-{number}"),
        addresses: vec![SocketAddr::from(([10, 1, 0, 1], number))],
        pool: String::from("desk"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    });
    Documents {
        services: services.collect(),
        pools: vec![Pool {
            name: String::from("desk"),
            groups: vec![String::from("desk")],
            flows_per_target: None,
        }],
        rules: Vec::new(),
    }
}

/// Publishes a set. Returns the time from the last write of a draft until every watching balancer
/// has it.
async fn publish_one(
    operator: &Client,
    watching: &[RevisionStore],
    documents: &Documents,
    run: u16,
) -> Result<Duration, Box<dyn Error>> {
    drafts::apply(operator, documents, &format!("operator-{run}"), false).await?;
    let start = Instant::now();
    let count = documents.services.len();
    for store in watching {
        let mut update = store.subscribe();
        update
            .wait_for(|latest| latest.documents.services.len() == count)
            .await?;
    }
    Ok(start.elapsed())
}

fn print_counts(title: &str, before: &CallCounts, after: &CallCounts, divisor: f64) {
    println!("{title}:");
    let mut total = 0.0;
    let before: &BTreeMap<String, u64> = &before.0;
    for (call, count) in &after.0 {
        let calls = count - before.get(call).copied().unwrap_or(0);
        let calls = f64::from(u32::try_from(calls).unwrap_or(u32::MAX)) / divisor;
        total += calls;
        println!("  {call:<16} {calls:>8.2}");
    }
    println!("  {:<16} {total:>8.2}", "all");
}

fn print_times(mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "time to every watching balancer: p50 {:.2?}, p99 {:.2?}, max {:.2?}",
        at(50),
        at(99),
        at(100)
    );
}
