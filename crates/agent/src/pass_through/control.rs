//! The control thread of an agent: heartbeats of the target and the way to the balancers.

use std::time::{Duration, Instant};

use citronhollow_adapter::heartbeat;
use citronhollow_adapter::store::{self, Entry, EntryKind};
use citronhollow_core::id::InstanceId;
use citronhollow_core::pass_through::FlowList;
use citronhollow_operator::listener;
use citronhollow_platform::Client;
use citronhollow_platform::registration::{self, Registration};
use citronhollow_platform::retry::RetryDelay;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use volo_http::http::StatusCode;
use volo_http::server::Server;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, put};

use super::link::Command;
use super::time_of_day_ms;

/// Time in which the traffic thread applies a heartbeat. The target waits for a second.
const APPLY_WITHIN: Duration = Duration::from_millis(800);

/// Time between two looks at the platform's lists. A balancer that starts greets all agents, so the
/// list only finds what was missed.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The same while the platform does not answer or the own entry is missing: two looks make the entry
/// again, within 2 s of the platform's return.
const LIST_INTERVAL_UNSURE: Duration = Duration::from_millis(800);

/// Time between two looks at whether the list of flows that is kept is still good.
const FLOW_LIST_INTERVAL: Duration = Duration::from_secs(3);

/// Age at which a list of flows is replaced by one that differs at all.
const FLOW_LIST_AGE: Duration = Duration::from_secs(15);

/// Takes heartbeats until the process ends.
pub(super) async fn serve_target(
    listener: TcpListener,
    group: String,
    commands: UnboundedSender<Command>,
) {
    let serve = |incoming| {
        let router = router(group.clone(), commands.clone());
        Server::new(router).run(incoming)
    };
    if let Err(err) = listener::serve(listener, serve).await {
        log::error!("target: heartbeats cannot be taken: {err}");
    }
}

fn router(group: String, commands: UnboundedSender<Command>) -> Router {
    let leaving = commands.clone();
    let announce = move |PathParams(name): PathParams<String>, body: Vec<u8>| {
        let (group, commands) = (group.clone(), commands.clone());
        async move { announce(&name, &body, &group, &commands).await }
    };
    let leave = move |PathParams(name): PathParams<String>| {
        let commands = leaving.clone();
        let instance = InstanceId::of(&name);
        async move { apply(&commands, |applied| Command::Goodbye(instance, applied)).await }
    };
    Router::new().route(heartbeat::ROUTE, put(announce).delete(leave))
}

async fn announce(
    name: &str,
    body: &[u8],
    group: &str,
    commands: &UnboundedSender<Command>,
) -> (StatusCode, &'static str) {
    match heartbeat::parse(name, body, group, time_of_day_ms()) {
        Ok(heartbeat) => apply(commands, |applied| Command::Heartbeat(heartbeat, applied)).await,
        Err(err) => {
            log::warn!("target: {err}");
            (StatusCode::BAD_REQUEST, "{}")
        }
    }
}

/// Acknowledges what the target says once the traffic thread acts by it.
async fn apply(
    commands: &UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<()>) -> Command,
) -> (StatusCode, &'static str) {
    let (applied, done) = oneshot::channel();
    let is_sent = commands.send(command(applied)).is_ok();
    if is_sent && matches!(timeout(APPLY_WITHIN, done).await, Ok(Ok(()))) {
        (StatusCode::OK, "{}")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "{}")
    }
}

/// Looks for balancers at the platform for as long as the process runs, after its own entry was
/// written there: of two processes that start at once, one at least sees the other then.
pub(super) async fn follow_balancers(
    client: Client,
    commands: UnboundedSender<Command>,
    is_listed: watch::Sender<bool>,
) {
    let mut may_be_stale = false;
    let mut pause = RetryDelay::default();
    registration::wait_until_listed(&is_listed).await;
    loop {
        let was_listed = *is_listed.borrow();
        match store::list(&client, EntryKind::Balancers, may_be_stale).await {
            Ok(found) => {
                may_be_stale = was_listed;
                let addrs = found.into_iter().map(|entry| entry.address).collect();
                // The traffic thread is gone only while the process ends.
                let _ = commands.send(Command::Balancers(addrs));
                pause.reset();
                sleep(LIST_INTERVAL).await;
            }
            Err(err) => {
                log::warn!("platform: balancers not listed: {err}");
                sleep(pause.after_failure()).await;
            }
        }
    }
}

/// Keeps this agent's entry at the platform for as long as the process runs.
///
/// The platform may come back from a copy that lacks the entry. That is seen by the era of its answers, and
/// sooner by the era that balancers name, `heard_era`, since they call it more often.
pub(super) async fn keep_entry(
    client: Client,
    own: Entry,
    is_listed: watch::Sender<bool>,
    mut heard_era: watch::Receiver<u64>,
) {
    let mut registration = Registration::default();
    let mut pause = RetryDelay::default();
    let mut interval = LIST_INTERVAL;
    let mut was_written = false;
    registration::wait_until_answered(client.eras()).await;
    let mut rises = client.eras().new_eras();
    loop {
        if registration.needs_write() {
            let written = if was_written {
                store::rewrite(&client, EntryKind::Agents, &own).await
            } else {
                store::add(&client, EntryKind::Agents, &own).await
            };
            match written {
                Ok(()) => {
                    was_written = true;
                    registration.on_written();
                    is_listed.send_replace(true);
                    pause.reset();
                }
                Err(err) => {
                    log::warn!("platform: own entry not written: {err}");
                    sleep(pause.after_failure()).await;
                    continue;
                }
            }
        }
        tokio::select! {
            () = sleep(interval) => {}
            () = later_era(&mut heard_era, &client) => {}
            era = rises.next() => {
                log::warn!("platform: it came back from a copy, era {era}");
                is_listed.send_replace(false);
                registration.on_new_era();
                sleep(registration::rewrite_jitter()).await;
                continue;
            }
        }
        interval = LIST_INTERVAL_UNSURE;
        match store::list_with_revisions(&client, EntryKind::Agents, true).await {
            Ok(found) => {
                let is_listed = found
                    .iter()
                    .any(|listed| listed.entry == own && listed.is_current());
                registration.on_listed(is_listed);
                if is_listed {
                    interval = LIST_INTERVAL;
                }
            }
            Err(err) => log::warn!("platform: agents not listed: {err}"),
        }
    }
}

/// Waits until a balancer names a later era than the platform has named here.
async fn later_era(heard: &mut watch::Receiver<u64>, client: &Client) {
    loop {
        if heard.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        let known = client.eras().latest().map_or(0, u64::from);
        if *heard.borrow_and_update() > known {
            return;
        }
    }
}

/// Keeps the target's list of flows at the platform, after the last one was read.
pub(super) async fn keep_flows(client: Client, name: String, commands: UnboundedSender<Command>) {
    inherit_flows(&client, &name, &commands).await;
    let mut written = FlowList::default();
    let mut written_at = Instant::now();
    let mut written_in = client.eras().latest();
    loop {
        sleep(FLOW_LIST_INTERVAL).await;
        // The platform came back from a copy, which has an earlier list.
        if client.eras().latest() != written_in {
            written_in = client.eras().latest();
            written = FlowList::default();
        }
        let (listed, list) = oneshot::channel();
        if commands.send(Command::ListFlows(listed)).is_err() {
            return;
        }
        let Ok(Some(list)) = list.await else {
            continue;
        };
        let is_old = written_at.elapsed() >= FLOW_LIST_AGE && list != written;
        if !is_old && !list.replaces(&written) {
            continue;
        }
        match store::write_flows(&client, &name, &list).await {
            Ok(()) => (written, written_at) = (list, Instant::now()),
            Err(err) => log::warn!("platform: list of flows not written: {err}"),
        }
    }
}

async fn inherit_flows(client: &Client, name: &str, commands: &UnboundedSender<Command>) {
    let mut pause = RetryDelay::default();
    loop {
        match store::read_flows(client, name).await {
            Ok(list) => {
                if let Some(list) = list {
                    // The traffic thread is gone only while the process ends.
                    let _ = commands.send(Command::Inherit(list));
                }
                return;
            }
            Err(err) => {
                log::warn!("platform: list of flows not read: {err}");
                sleep(pause.after_failure()).await;
            }
        }
    }
}
