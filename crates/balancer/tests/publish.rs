//! From a draft at the stand-in of the platform to a revision in a balancer.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_balancer::publish::{self, FleetView, PublishSettings};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Service};
use citronhollow_platform::drafts::{self, Outcome};
use citronhollow_platform::{Client, ClientConfig};
use citronhollow_testkit::platform::StandIn;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Only ends a test that hangs.
const GUARD: Duration = Duration::from_mins(1);

struct Balancer {
    revisions: RevisionStore,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(platform: &StandIn) -> Client {
    Client::new(ClientConfig {
        address: platform.address(),
        deadline: Millis(500),
    })
}

fn start_balancer(platform: &StandIn, rank: usize) -> Balancer {
    let revisions = RevisionStore::default();
    let (stop, stopped) = watch::channel(false);
    let mut cfg = PublishSettings::new(format!("balancer-{rank}"));
    cfg.poll_every = Millis(100);
    cfg.patience_per_rank = Millis(200);
    cfg.lease.ttl = Millis(1_500);
    cfg.lease.renew_every = Millis(300);
    cfg.lease.look_every = Millis(300);
    let view = move || FleetView {
        rank,
        lowest_reported: 0,
    };
    let task = tokio::spawn(publish::run(
        cfg,
        client(platform),
        revisions.clone(),
        view,
        stopped,
    ));
    Balancer {
        revisions,
        stop,
        task,
    }
}

fn documents(ports: &[u16]) -> Documents {
    let services = ports.iter().map(|&port| Service {
        name: format!("service-{port}"),
        addresses: vec![SocketAddr::from(([10, 1, 0, 1], port))],
        pool: String::from("desk"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
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

/// Applies the set as run number `run` of the operator's command.
async fn apply(operator: &Client, documents: &Documents, run: u32) {
    let writer = format!("operator-{run}");
    let applied = drafts::apply(operator, documents, &writer, false)
        .await
        .expect("the platform answers");
    let is_done =
        |outcome: &Outcome| matches!(outcome, Outcome::Written { .. } | Outcome::Unchanged);
    assert!(
        applied.iter().all(|one| is_done(&one.outcome)),
        "{applied:?}"
    );
}

async fn await_services(balancer: &Balancer, count: usize) {
    let mut news = balancer.revisions.subscribe();
    let has_them = news.wait_for(|latest| latest.documents.services.len() == count);
    tokio::time::timeout(GUARD, has_them)
        .await
        .expect("no revision with the services in time")
        .expect("the store is alive");
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body })*
    };
}

cases! {
    draft_becomes_a_revision => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let balancer = start_balancer(&platform, 0);
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        await_services(&balancer, 1).await;
        assert_eq!(balancer.revisions.latest().number, 1);
    };

    stopped_publisher_hands_over_at_once => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let first = start_balancer(&platform, 0);
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        await_services(&first, 1).await;
        let second = start_balancer(&platform, 1);
        await_services(&second, 1).await;
        first.stop.send(true).expect("it runs");
        let ended = tokio::time::timeout(GUARD, first.task).await;
        ended.expect("it ends").expect("it does not panic");
        apply(&operator, &documents(&[443, 444]), 2).await;
        await_services(&second, 2).await;
        assert_eq!(second.revisions.latest().number, 2);
        assert_eq!(second.revisions.latest().epoch, 2);
    };
}
