//! Publishing from a draft at the stand-in of the platform to a revision in force at balancers.
//!
//! Guards against drafts that are lost or published twice when the publisher stops or dies, the
//! platform fails, watches are closed, or responses are lost or garbled.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_balancer::publish::{self, FleetView, PublishSettings, WATCHERS};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{self, Documents, Pool, Refusal};
use citronhollow_core::publisher::DraftStatus;
use citronhollow_platform::drafts::{self, Applied, Outcome};
use citronhollow_platform::published::read_published;
use citronhollow_platform::{Client, ClientConfig};
use citronhollow_testkit::platform::{Faults, Reads, Service, StandIn};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time limit that only ends a test that hangs.
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
        timeout: Millis(500),
        ..ClientConfig::new(platform.address())
    })
}

fn start_balancer(platform: &StandIn, rank: usize) -> Balancer {
    start_balancer_with(platform, rank, |_| {})
}

fn start_balancer_with(
    platform: &StandIn,
    rank: usize,
    adjust: fn(&mut PublishSettings),
) -> Balancer {
    let revisions = RevisionStore::default();
    let (stop, stopped) = watch::channel(false);
    let mut cfg = PublishSettings::new(format!("balancer-{rank}"));
    cfg.poll_every = Millis(100);
    cfg.takeover_delay_per_rank = Millis(200);
    cfg.lease.ttl = Millis(1_500);
    cfg.lease.renew_every = Millis(300);
    cfg.lease.poll_every = Millis(300);
    adjust(&mut cfg);
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
    let services = ports.iter().map(|&port| config::Service {
        name: format!("service-{port}"),
        addresses: vec![SocketAddr::from(([10, 1, 0, 1], port))],
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

/// Applies the set with the writer of run number `run` of the operator's command.
async fn apply(operator: &Client, documents: &Documents, run: u32) -> Vec<Applied> {
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
    applied
}

async fn last_status(operator: &Client, applied: &[Applied]) -> DraftStatus {
    let changes = applied.iter().filter_map(Applied::change);
    let last = changes
        .max_by_key(|change| change.version)
        .expect("a change");
    let status = drafts::await_status(operator, &last, Millis::from_secs(30)).await;
    status.expect("the platform answers")
}

async fn await_services(balancer: &Balancer, count: usize) {
    let mut update = balancer.revisions.subscribe();
    let has_them = update.wait_for(|latest| latest.documents.services.len() == count);
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

    killed_publisher_is_replaced => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let first = start_balancer(&platform, 0);
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        await_services(&first, 1).await;
        let second = start_balancer(&platform, 1);
        first.task.abort();
        apply(&operator, &documents(&[443, 444]), 2).await;
        await_services(&second, 2).await;
        assert_eq!(second.revisions.latest().epoch, 2);
    };

    outage_keeps_the_last_revision => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let balancers = [start_balancer(&platform, 0), start_balancer(&platform, 1)];
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        for balancer in &balancers {
            await_services(balancer, 1).await;
        }
        platform.set_faults(Faults { service: Service::Outage, ..Faults::default() });
        // Longer than the lease's ttl, so that its holder loses it.
        tokio::time::sleep(Duration::from_secs(3)).await;
        for balancer in &balancers {
            assert_eq!(balancer.revisions.latest().number, 1);
        }
        platform.set_faults(Faults::default());
        apply(&operator, &documents(&[443, 444]), 2).await;
        for balancer in &balancers {
            await_services(balancer, 2).await;
        }
    };

    closed_watches_are_replaced_by_polling => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        platform.set_faults(Faults { closed_watches: true, ..Faults::default() });
        let balancers = [start_balancer(&platform, 0), start_balancer(&platform, 1)];
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        for balancer in &balancers {
            await_services(balancer, 1).await;
        }
    };

    garbled_answers_change_nothing => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let balancer = start_balancer(&platform, 0);
        let follower = start_balancer(&platform, 1);
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        await_services(&follower, 1).await;
        platform.set_faults(Faults { reads: Reads::Garbled, ..Faults::default() });
        tokio::time::sleep(Duration::from_secs(1)).await;
        for balancer in [&balancer, &follower] {
            assert_eq!(balancer.revisions.latest().documents.services.len(), 1);
        }
        platform.set_faults(Faults::default());
        apply(&operator, &documents(&[443, 444]), 2).await;
        await_services(&follower, 2).await;
    };

    lost_answers_of_the_publisher_lose_nothing => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let balancers = [start_balancer(&platform, 0), start_balancer(&platform, 1)];
        let operator = client(&platform);
        apply(&operator, &documents(&[443]), 1).await;
        for balancer in &balancers {
            await_services(balancer, 1).await;
        }
        for (run, ports) in [(2, &[443, 444][..]), (3, &[443, 444, 445])] {
            apply(&operator, &documents(ports), run).await;
            platform.set_faults(Faults { lost_answers: 2, ..Faults::default() });
            for balancer in &balancers {
                await_services(balancer, ports.len()).await;
            }
        }
        let numbers = balancers.map(|balancer| balancer.revisions.latest().number);
        assert_eq!(numbers, [3, 3], "no revision is written twice");
    };

    operator_gets_the_revision_or_the_errors => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let _balancer = start_balancer(&platform, 0);
        let operator = client(&platform);
        let applied = apply(&operator, &documents(&[443]), 1).await;
        assert_eq!(last_status(&operator, &applied).await, DraftStatus::Published(1));
        let mut wrong = documents(&[443, 444]);
        wrong.services[1].addresses = wrong.services[0].addresses.clone();
        let applied = apply(&operator, &wrong, 2).await;
        let DraftStatus::Refused(errors) = last_status(&operator, &applied).await else {
            panic!("two services have one address");
        };
        assert_eq!(errors[0].object.name, "service-444");
        let published = read_published(&operator).await.expect("a revision");
        assert_eq!(published.documents, documents(&[443]));
    };

    balancers_that_do_not_watch_make_no_calls => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let _balancers = [WATCHERS, WATCHERS + 1, 1_000].map(|rank| start_balancer(&platform, rank));
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(platform.counts().total(), 0);
    };

    split_set_reaches_every_follower => {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let balancers = [0, 1].map(|rank| start_balancer_with(&platform, rank, |cfg| {
            cfg.publication.max_inline_bytes = 600;
        }));
        let operator = client(&platform);
        for (run, last) in [(1, 450), (2, 451)] {
            let ports: Vec<u16> = (440..=last).collect();
            apply(&operator, &documents(&ports), run).await;
            for balancer in &balancers {
                await_services(balancer, ports.len()).await;
                assert_eq!(balancer.revisions.latest().documents, documents(&ports));
            }
        }
        assert!(platform.store().list("part", "").objects.len() > 2);
    };
}
