//! Startup and shutdown of the agent process in pass-through delivery.
//!
//! On SIGTERM the agent leaves: balancers send its target no new flows, and the process exits once
//! the target has no request in progress. A target that keeps running without its agent keeps its
//! flows, and the next agent recovers them from the stored list.

use std::sync::Arc;
use std::time::Duration;

use citronhollow_adapter::READY_PATH;
use citronhollow_adapter::store::{self, Entry, EntryKind, Version};
use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;
use citronhollow_core::unusable::UnusableInputs;
use citronhollow_operator::decisions::{Decision, DecisionLog, Event};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::{exposition, logging, probe, reload, stop, worker};
use citronhollow_platform::client::{Client, ClientConfig};
use prometheus::Registry;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use super::control;
use super::link::Command;
use super::settings::{Checked, Settings};
use super::traffic::Traffic;

/// Time limit of a call to the platform, far above its usual response time.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Time limit for removing the entries from the platform at shutdown.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs an agent until it is stopped. `path` is the file that its settings were read from.
///
/// # Errors
///
/// [`Failure`] if an address of the settings cannot be bound.
pub fn run(path: &str, checked: &Checked) -> Result<(), Failure> {
    let settings = checked.settings();
    logging::init(checked.log_level())?;
    let runtime = worker::runtime()?;
    let hangup = {
        let _context = runtime.enter();
        reload::hangup()?
    };
    let (commands, commands_rx) = mpsc::unbounded_channel();
    let (advertised_era, advertised_era_rx) = watch::channel(0);
    let registry = Registry::new();
    let unusable = exposition::unusable_inputs(&registry);
    let decisions = DecisionLog::start(&settings.name, &registry, std::io::stdout());
    let thread = {
        let settings = settings.clone();
        let keys = checked.keys().clone();
        let (decisions, registry) = (decisions.clone(), registry.clone());
        let unusable = Arc::clone(&unusable);
        worker::spawn_traffic(
            "target_listen, peer_listen",
            move || {
                let telemetry = (decisions, &registry);
                Traffic::bind(&settings, keys, advertised_era, telemetry, unusable)
            },
            move |traffic| traffic.run(commands_rx),
        )?
    };
    let outcome = runtime.block_on(control(
        (path, hangup),
        checked,
        (commands.clone(), advertised_era_rx),
        (decisions, registry, unusable),
    ));
    // Sending fails if the thread has already ended.
    let _ = commands.send(Command::Stop);
    if thread.join().is_err() {
        log::error!("agent: the traffic thread panicked");
    }
    log::info!("agent: {} has stopped", settings.name);
    outcome
}

async fn control(
    (path, hangup): (&str, Signal),
    checked: &Checked,
    (commands, advertised_era): (mpsc::UnboundedSender<Command>, watch::Receiver<u64>),
    (mut decisions, registry, unusable): (DecisionLog, Registry, Arc<UnusableInputs>),
) -> Result<(), Failure> {
    let settings = checked.settings();
    let mut stop = stop::on_signal()?;
    let probes = worker::listen("ready_listen", settings.ready_listen).await?;
    let heartbeats = worker::listen("heartbeat_listen", settings.heartbeat_listen).await?;
    tokio::spawn(probe::serve(probes, READY_PATH, || true, registry));
    let load = |path: &str| Settings::load(path).map_err(|err| err.to_string());
    tokio::spawn(reload::follow(
        hangup,
        String::from(path),
        checked.clone(),
        load,
        Checked::log_level,
        decisions.clone(),
    ));
    let group = settings.group.clone();
    tokio::spawn(control::serve_heartbeats(
        heartbeats,
        group,
        commands.clone(),
        Arc::clone(&unusable),
    ));
    let client = Client::new(ClientConfig {
        timeout: CALL_TIMEOUT,
        era_header: Some(store::ERA_HEADER),
        ..ClientConfig::new(settings.platform)
    })
    .counting_unusable(unusable);
    // Sending fails only when the traffic thread has ended, while the process exits.
    let _ = commands.send(Command::Balancers(settings.seed_balancers()));
    let registered = watch::channel(None).0;
    tokio::spawn(control::poll_balancers(
        client.clone(),
        commands.clone(),
        registered.clone(),
    ));
    let own = Entry {
        name: settings.name.clone(),
        address: settings.peer_listen,
        start: Some(rand::random()),
    };
    let entry = tokio::spawn(control::keep_entry(
        client.clone(),
        own.clone(),
        registered.clone(),
        advertised_era,
    ));
    let stored_flows = watch::channel(None).0;
    let flows = tokio::spawn(control::keep_flows(
        client.clone(),
        settings.name.clone(),
        commands.clone(),
        stored_flows.clone(),
    ));
    log::info!("agent: {} has started", settings.name);
    decisions.write(Decision::new(Event::ProcessStarted));

    tokio::select! {
        // The sender lives as long as its receivers, so the wait cannot fail.
        _ = stop.wait_for(|stop| *stop) => {}
        () = commands.closed() => return Err(worker::traffic_ended()),
    }
    log::info!("agent: {} is leaving", settings.name);
    decisions.write(Decision::new(Event::ProcessStopping));
    let (left, has_left) = oneshot::channel();
    let is_sent = commands.send(Command::Leave(left)).is_ok();
    if is_sent && has_left.await == Ok(TargetState::Dead) {
        entry.abort();
        flows.abort();
        let versions = (*registered.borrow(), *stored_flows.borrow());
        remove_objects(&client, &own, versions).await;
    }
    Ok(())
}

/// Removes the entry of this agent and its target's list of flows from the store. Both have the
/// given versions if they were written.
///
/// To be called only when the target has ended too. The entry of a target that keeps running stays,
/// so that balancers know that its agent is missing.
async fn remove_objects(
    client: &Client,
    own: &Entry,
    (entry, flows): (Option<Version>, Option<Version>),
) {
    let remove = async {
        store::unregister(client, EntryKind::Agents, own, entry).await?;
        store::remove_flows(client, &own.name, flows).await
    };
    match timeout(REMOVE_TIMEOUT, remove).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => log::warn!("platform: own entry not removed: {err}"),
        Err(_) => log::warn!("platform: own entry not removed in time"),
    }
}
