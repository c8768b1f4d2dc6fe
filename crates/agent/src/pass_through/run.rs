//! The process from its start to its end.
//!
//! SIGTERM makes the agent leave: balancers give its target no new flows, and the process ends
//! once the target has no request in progress. A target that goes on without its agent keeps its
//! flows, and the next agent finds them again.

use std::time::Duration;

use citronhollow_adapter::READY_PATH;
use citronhollow_adapter::store::{self, Entry, EntryKind};
use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;
use citronhollow_operator::decisions::{Decision, DecisionLog, Event};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::{logging, probe, reload, stop, worker};
use citronhollow_platform::client::{Client, ClientConfig};
use prometheus::Registry;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use super::control;
use super::link::Command;
use super::settings::{Checked, Settings};
use super::traffic::Traffic;

/// Time limit of a call on the platform, far above its usual answer.
const CALL_LIMIT: Millis = Millis(1_000);

/// Time that the end of the process waits for the platform.
const REMOVE_WITHIN: Duration = Duration::from_millis(400);

/// Runs an agent until it is stopped. Its settings came from the file at `path`.
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
    let (heard_era, heard_era_rx) = watch::channel(0);
    let registry = Registry::new();
    let decisions = DecisionLog::start(&settings.name, &registry, std::io::stdout());
    let thread = {
        let settings = settings.clone();
        let keys = checked.keys().clone();
        let (decisions, registry) = (decisions.clone(), registry.clone());
        worker::spawn_traffic(
            "target_listen, peer_listen",
            move || Traffic::bind(&settings, keys, heard_era, (decisions, &registry)),
            move |traffic| traffic.run(commands_rx),
        )?
    };
    let outcome = runtime.block_on(control(
        (path, hangup),
        checked,
        (commands.clone(), heard_era_rx),
        (decisions, registry),
    ));
    // The thread may have ended already, and then needs no command.
    let _ = commands.send(Command::Stop);
    if thread.join().is_err() {
        log::error!("agent: the traffic thread had panicked");
    }
    log::info!("agent: {} has stopped", settings.name);
    outcome
}

async fn control(
    (path, hangup): (&str, Signal),
    checked: &Checked,
    (commands, heard_era): (mpsc::UnboundedSender<Command>, watch::Receiver<u64>),
    (mut decisions, registry): (DecisionLog, Registry),
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
    tokio::spawn(control::serve_target(heartbeats, group, commands.clone()));
    let client = Client::new(ClientConfig {
        timeout: CALL_LIMIT,
        era_header: Some(store::ERA_HEADER),
        ..ClientConfig::new(settings.platform)
    });
    // Nobody receives this only while the process ends.
    let _ = commands.send(Command::Balancers(settings.seed_balancers()));
    let (is_listed, _) = watch::channel(false);
    tokio::spawn(control::follow_balancers(
        client.clone(),
        commands.clone(),
        is_listed.clone(),
    ));
    let own = Entry {
        name: settings.name.clone(),
        address: settings.peer_listen,
    };
    let entry = tokio::spawn(control::keep_entry(
        client.clone(),
        own,
        is_listed,
        heard_era,
    ));
    let name = settings.name.clone();
    let flows = tokio::spawn(control::keep_flows(client.clone(), name, commands.clone()));
    log::info!("agent: {} is at work", settings.name);
    decisions.write(Decision::new(Event::ProcessStarted));

    tokio::select! {
        // The sender lives as long as its receivers.
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
        remove_entry(&client, &settings.name).await;
    }
    Ok(())
}

/// A target that is gone needs no entry. One that goes on without its agent keeps it, so that
/// balancers know that somebody is missing.
async fn remove_entry(client: &Client, name: &str) {
    let remove = async {
        store::remove(client, EntryKind::Agents, name).await?;
        store::remove_flows(client, name).await
    };
    match timeout(REMOVE_WITHIN, remove).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => log::warn!("platform: own entry not removed: {err}"),
        Err(_) => log::warn!("platform: own entry not removed in time"),
    }
}
