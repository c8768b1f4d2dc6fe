//! The control thread of an agent: heartbeats of the target, discovery of balancers, and the
//! agent's entries in the platform's store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use citronhollow_adapter::heartbeat;
use citronhollow_adapter::store::{self, Entry, EntryKind, Version};
use citronhollow_core::id::InstanceId;
use citronhollow_core::pass_through::FlowList;
use citronhollow_core::unusable::UnusableInputs;
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

/// Time limit for the traffic thread to apply a heartbeat. The target waits for 1 s.
const APPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two reads of the platform's lists. A balancer that starts sends a hello to all
/// agents, so the list only finds balancers whose hello was lost.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// [`LIST_INTERVAL`] while the platform does not answer or the agent's own entry is missing. Two
/// reads lead to the entry being written again, within 2 s after the platform is available again.
const LIST_INTERVAL_UNCONFIRMED: Duration = Duration::from_millis(800);

/// Time between two checks of whether the stored list of flows is still up to date.
const FLOW_LIST_INTERVAL: Duration = Duration::from_secs(3);

/// Age of the stored list of flows from which any difference causes a new write.
const FLOW_LIST_AGE_MAX: Duration = Duration::from_secs(15);

/// Serves the target's heartbeats over HTTP until the process ends.
pub(super) async fn serve_heartbeats(
    listener: TcpListener,
    group: String,
    commands: UnboundedSender<Command>,
    unusable: Arc<UnusableInputs>,
) {
    let serve = |incoming| {
        let router = router(group.clone(), commands.clone(), Arc::clone(&unusable));
        Server::new(router).run(incoming)
    };
    if let Err(err) = listener::serve(listener, serve).await {
        log::error!("target: heartbeats cannot be served: {err}");
    }
}

fn router(
    group: String,
    commands: UnboundedSender<Command>,
    unusable: Arc<UnusableInputs>,
) -> Router {
    let leaving = commands.clone();
    let announce = move |PathParams(name): PathParams<String>, body: Vec<u8>| {
        let (group, commands) = (group.clone(), commands.clone());
        let unusable = Arc::clone(&unusable);
        async move {
            match heartbeat::parse(&name, &body, &group) {
                Ok(heartbeat) => {
                    apply(&commands, |applied| Command::Heartbeat(heartbeat, applied)).await
                }
                Err(err) => {
                    if unusable.count(&(&name, err.to_string())) {
                        log::warn!("target: heartbeat of {name} is left out: {err}");
                    }
                    (StatusCode::BAD_REQUEST, "{}")
                }
            }
        }
    };
    let leave = move |PathParams(name): PathParams<String>| {
        let commands = leaving.clone();
        let instance = InstanceId::of(&name);
        async move { apply(&commands, |applied| Command::TargetLeave(instance, applied)).await }
    };
    Router::new().route(heartbeat::ROUTE, put(announce).delete(leave))
}

/// Sends a command to the traffic thread and answers the target once the command is applied.
///
/// Answers 503 if that takes longer than [`APPLY_TIMEOUT`].
async fn apply(
    commands: &UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<()>) -> Command,
) -> (StatusCode, &'static str) {
    let (applied, done) = oneshot::channel();
    let is_sent = commands.send(command(applied)).is_ok();
    if is_sent && matches!(timeout(APPLY_TIMEOUT, done).await, Ok(Ok(()))) {
        (StatusCode::OK, "{}")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "{}")
    }
}

/// Reads the list of balancers from the platform for as long as the process runs.
///
/// Starts after the agent's own entry has been written, so that of two processes that start at the
/// same time at least one finds the other.
pub(super) async fn poll_balancers(
    client: Client,
    commands: UnboundedSender<Command>,
    registered: watch::Sender<Option<Version>>,
) {
    let mut may_be_stale = false;
    let mut retry_delay = RetryDelay::default();
    registration::wait_until_registered(&registered).await;
    loop {
        let was_listed = registered.borrow().is_some();
        match store::list(&client, EntryKind::Balancers, may_be_stale).await {
            Ok(found) => {
                may_be_stale = was_listed;
                let addrs = found.into_iter().map(|entry| entry.address).collect();
                // Sending fails only when the traffic thread has ended, while the process exits.
                let _ = commands.send(Command::Balancers(addrs));
                retry_delay.reset();
                sleep(LIST_INTERVAL).await;
            }
            Err(err) => {
                log::warn!("platform: balancers not listed: {err}");
                sleep(retry_delay.after_failure()).await;
            }
        }
    }
}

/// Keeps this agent's entry in the platform's store for as long as the process runs.
///
/// The store may be restored from a backup that lacks the entry. The era in the store's answers
/// shows this. `advertised_era`, the era in balancers' messages, shows it sooner, because balancers
/// call the store more often.
pub(super) async fn keep_entry(
    client: Client,
    own: Entry,
    registered: watch::Sender<Option<Version>>,
    mut advertised_era: watch::Receiver<u64>,
) {
    let mut registration = Registration::default();
    let mut retry_delay = RetryDelay::default();
    let mut interval = LIST_INTERVAL;
    registration::wait_until_answered(client.eras()).await;
    let mut new_eras = client.eras().new_eras();
    loop {
        if registration.needs_write() {
            match store::register(&client, EntryKind::Agents, &own).await {
                Ok(version) => {
                    registration.on_written();
                    registered.send_replace(Some(version));
                    retry_delay.reset();
                }
                Err(err) => {
                    log::warn!("platform: own entry not written: {err}");
                    sleep(retry_delay.after_failure()).await;
                    continue;
                }
            }
        }
        tokio::select! {
            () = sleep(interval) => {}
            () = wait_for_later_era(&mut advertised_era, &client) => {}
            era = new_eras.next() => {
                log::warn!("platform: the store was restored from a backup, era {era}");
                registered.send_replace(None);
                registration.on_new_era();
                sleep(registration::rewrite_jitter()).await;
                continue;
            }
        }
        interval = LIST_INTERVAL_UNCONFIRMED;
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

/// Waits until a balancer advertises a later era than the store's own answers have shown.
async fn wait_for_later_era(advertised: &mut watch::Receiver<u64>, client: &Client) {
    loop {
        if advertised.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        let known = client.eras().latest().map_or(0, u64::from);
        if *advertised.borrow_and_update() > known {
            return;
        }
    }
}

/// Keeps the target's list of flows in the platform's store. `stored` is set to the version of the
/// stored list.
///
/// The list of an earlier agent is read first, so that this agent takes over its flows.
pub(super) async fn keep_flows(
    client: Client,
    name: String,
    commands: UnboundedSender<Command>,
    stored: watch::Sender<Option<Version>>,
) {
    stored.send_replace(inherit_flows(&client, &name, &commands).await);
    let mut written = FlowList::default();
    let mut written_at = Instant::now();
    let mut written_in = client.eras().latest();
    loop {
        sleep(FLOW_LIST_INTERVAL).await;
        // The store was restored from a backup and may hold an earlier list, so write again.
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
        let is_old = written_at.elapsed() >= FLOW_LIST_AGE_MAX && list != written;
        if !is_old && !list.replaces(&written) {
            continue;
        }
        let version = *stored.borrow();
        match store::write_flows(&client, &name, &list, version).await {
            Ok(version) => {
                stored.send_replace(Some(version));
                (written, written_at) = (list, Instant::now());
            }
            Err(err) => log::warn!("platform: list of flows not written: {err}"),
        }
    }
}

/// Passes the stored list of flows of an earlier agent to the traffic thread, if there is one.
/// Returns its version.
async fn inherit_flows(
    client: &Client,
    name: &str,
    commands: &UnboundedSender<Command>,
) -> Option<Version> {
    let mut retry_delay = RetryDelay::default();
    loop {
        match store::read_flows(client, name).await {
            Ok(stored) => {
                let stored = stored?;
                if let Some(list) = stored.list {
                    // Sending fails only while the process exits.
                    let _ = commands.send(Command::Inherit(list));
                }
                return Some(stored.version);
            }
            Err(err) => {
                log::warn!("platform: list of flows not read: {err}");
                sleep(retry_delay.after_failure()).await;
            }
        }
    }
}
