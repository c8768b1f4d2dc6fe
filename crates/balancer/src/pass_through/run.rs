//! Startup and shutdown of the process.
//!
//! On SIGTERM the balancer leaves: it fails its readiness probe, forwards until the fabric sends it
//! no more packets, removes its entry from the platform and exits.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use citronhollow_adapter::READY_PATH;
use citronhollow_adapter::store::{self, Entry, EntryKind, Version};
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::unusable::UnusableInputs;
use citronhollow_operator::decisions::{Decision, DecisionLog, Event};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::{exposition, logging, probe, reload, stop, worker};
use citronhollow_platform::client::{Client, ClientConfig};
use prometheus::Registry;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::control::Control;
use super::link::{Command, Shared};
use super::settings::{Checked, Settings};
use super::traffic::Traffic;

/// Time for the fabric to notice a failing probe: two probes, half a second apart.
const PROBE_FAILURE_DELAY: Duration = Duration::from_millis(1_300);

/// Time without a packet after which the fabric is taken to have stopped sending.
const IDLE_TIME: Millis = Millis(600);

/// Part of the grace time reserved for the last steps of the shutdown.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);

/// Timeout of a call to the platform: far above its usual response time, and short enough for a
/// retry within the time in which a configuration has to be in force.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Timeout of a watch beyond its wait.
const WATCH_MARGIN: Millis = Millis(600);

/// Runs a balancer until it has left. `path` is the settings file, which is read again on SIGHUP.
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
    let started = Instant::now();
    let shared = Arc::new(Shared::default());
    let registry = Registry::new();
    let unusable = exposition::unusable_inputs(&registry);
    let decisions = DecisionLog::start(&settings.name, &registry, std::io::stdout());
    let (commands, commands_rx) = mpsc::unbounded_channel();
    let (events, events_rx) = mpsc::unbounded_channel();
    let (list_requests, list_requests_rx) = watch::channel(None);
    let thread = {
        let settings = settings.clone();
        let keys = checked.keys().clone();
        let shared = Arc::clone(&shared);
        let telemetry = (decisions.clone(), registry.clone());
        let unusable = Arc::clone(&unusable);
        worker::spawn_traffic(
            "fabric_listen, peer_listen",
            move || {
                let (decisions, registry) = telemetry;
                let telemetry = (decisions, &registry);
                let senders = (events, list_requests);
                let shared = (shared, unusable);
                Traffic::bind(&settings, keys, started, shared, senders, telemetry)
            },
            move |traffic| traffic.run(commands_rx),
        )?
    };
    let process = Process {
        hangup,
        path,
        checked,
        started,
        shared: &shared,
        registry,
        decisions,
        unusable,
    };
    let receivers = (events_rx, list_requests_rx);
    let outcome = runtime.block_on(control(process, commands.clone(), receivers));
    // Sending fails if the thread has already ended.
    let _ = commands.send(Command::Stop);
    if thread.join().is_err() {
        log::error!("balancer: the traffic thread panicked");
    }
    log::info!("balancer: {} has stopped", settings.name);
    outcome
}

/// Resources that the control thread starts with.
struct Process<'a> {
    hangup: Signal,
    path: &'a str,
    checked: &'a Checked,
    started: Instant,
    shared: &'a Arc<Shared>,
    registry: Registry,
    decisions: DecisionLog,
    unusable: Arc<UnusableInputs>,
}

async fn control(
    process: Process<'_>,
    commands: mpsc::UnboundedSender<Command>,
    (events, list_requests): (
        mpsc::UnboundedReceiver<super::link::Event>,
        watch::Receiver<Option<Millis>>,
    ),
) -> Result<(), Failure> {
    let Process {
        hangup,
        path,
        checked,
        started,
        shared,
        registry,
        mut decisions,
        unusable,
    } = process;
    let settings = checked.settings();
    let mut stop = stop::on_signal()?;
    let is_leaving = Arc::new(AtomicBool::new(false));
    let probes = worker::listen("ready_listen", settings.ready_listen).await?;
    let requests = worker::listen("peer_listen", settings.peer_listen).await?;
    let is_ready = {
        let (shared, is_leaving) = (Arc::clone(shared), Arc::clone(&is_leaving));
        move || shared.is_ready.load(Ordering::Relaxed) && !is_leaving.load(Ordering::Relaxed)
    };
    tokio::spawn(probe::serve(probes, READY_PATH, is_ready, registry));
    let load = |path: &str| Settings::load(path).map_err(|err| err.to_string());
    tokio::spawn(reload::follow(
        hangup,
        String::from(path),
        checked.clone(),
        load,
        Checked::log_level,
        decisions.clone(),
    ));
    let client = Client::new(ClientConfig {
        address: settings.platform,
        timeout: CALL_TIMEOUT,
        watch_margin: WATCH_MARGIN,
        era_header: Some(store::ERA_HEADER),
    })
    .counting_unusable(unusable);
    let own = Entry {
        name: settings.name.clone(),
        address: settings.peer_listen,
        start: Some(rand::random()),
    };
    let registered = watch::channel(None).0;
    let control = Control {
        own: own.clone(),
        client: client.clone(),
        keys: checked.keys().clone(),
        commands: commands.clone(),
        newest: watch::channel(Arc::new(Revision::default())).0,
        decisions: decisions.clone(),
        registered: registered.clone(),
    };
    // Sending fails only while the process ends.
    let _ = commands.send(Command::Balancers(settings.seed_peers()));
    tokio::spawn(control.clone().serve_revisions(requests));
    tokio::spawn(control.clone().fetch_revisions(events));
    tokio::spawn(control.clone().follow_config());
    tokio::spawn(control.clone().follow_agents(list_requests));
    tokio::spawn(control.clone().remove_abandoned());
    tokio::spawn(control.clone().follow_eras());
    tokio::spawn(track_era(client.clone(), Arc::clone(shared)));
    let entry = tokio::spawn(control.follow_balancers());
    log::info!("balancer: {} has started", settings.name);
    decisions.write(Decision::new(Event::ProcessStarted));

    tokio::select! {
        // Waiting cannot fail: the sender is kept as long as there are receivers.
        _ = stop.wait_for(|stop| *stop) => {}
        () = commands.closed() => return Err(worker::traffic_ended()),
    }
    log::info!("balancer: {} is leaving", settings.name);
    decisions.write(Decision::new(Event::ProcessStopping));
    is_leaving.store(true, Ordering::Relaxed);
    entry.abort();
    wait_until_idle(settings, started, shared).await;
    let version = *registered.borrow();
    unregister(&client, &own, version).await;
    Ok(())
}

/// Copies the era of the platform's store to the shared state, for the traffic thread's hellos.
async fn track_era(client: Client, shared: Arc<Shared>) {
    let mut eras = client.eras().subscribe();
    while eras.changed().await.is_ok() {
        let era = eras.borrow_and_update().map_or(0, u64::from);
        shared.store_era.store(era, Ordering::Relaxed);
    }
}

/// Forwards until no packet arrives any more or the grace time ends.
async fn wait_until_idle(settings: &Settings, started: Instant, shared: &Shared) {
    let grace = Duration::from(settings.grace_s.millis()).saturating_sub(SHUTDOWN_RESERVE);
    let idle = async {
        sleep(PROBE_FAILURE_DELAY).await;
        while Millis::from(started.elapsed()).since(shared.last_packet()) < IDLE_TIME {
            sleep(Duration::from(IDLE_TIME) / 4).await;
        }
    };
    if timeout(grace, idle).await.is_err() {
        log::warn!("balancer: packets still arrived at the end of the grace time");
    }
}

/// Removes this balancer's entry, whose version is `version` if it was written.
async fn unregister(client: &Client, own: &Entry, version: Option<Version>) {
    let remove = store::unregister(client, EntryKind::Balancers, own, version);
    match timeout(SHUTDOWN_RESERVE / 2, remove).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => log::warn!("platform: own entry not removed: {err}"),
        Err(_) => log::warn!("platform: own entry not removed in time"),
    }
}
