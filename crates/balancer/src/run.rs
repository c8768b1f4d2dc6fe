//! Startup and shutdown of the process of an entry VM.
//!
//! The main thread is the control thread. It binds every socket before it starts any work, so that
//! a wrong address ends the process with an error instead of leaving it partly running. On SIGTERM
//! the balancer leaves: it notifies the other balancers, forwards for a while longer and exits.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::TargetState;
use citronhollow_core::routes::Routes;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::metrics::Metrics;
use citronhollow_operator::status::{DrainStatus, FleetStatus};
use citronhollow_operator::token::Token;
use citronhollow_operator::{control as operator_channel, http, logging, stop, trace};
use citronhollow_platform::client::{Client, ClientConfig};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::control::{Control, ControlHandle};
use crate::metrics;
use crate::operator_http::{self, Identity, Sources};
use crate::publish::{self, PublishSettings};
use crate::revisions::RevisionStore;
use crate::settings::{Checked, Settings};
use crate::traffic::{self, TrafficHandle};

/// Runs a balancer until it has left.
///
/// # Errors
///
/// [`Failure`] if an address of the settings cannot be bound.
pub fn run(checked: &Checked) -> Result<(), Failure> {
    let settings = checked.settings();
    logging::init(checked.log_level())?;
    trace::init(&settings.name, settings.traces)?;
    let routes = Arc::new(ArcSwap::from_pointee(Routes::default()));
    let traffic = traffic::spawn(settings, checked.keys(), &routes)
        .map_err(|err| cannot_bind("fabric_listen", settings.fabric_listen, &err))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| Failure::new(ErrorKind::Invalid, format!("no runtime: {err}")))?;
    let outcome = runtime.block_on(control(checked, routes, &traffic));
    traffic.stop();
    log::info!("balancer: {} has stopped", settings.name);
    outcome
}

async fn control(
    checked: &Checked,
    routes: Arc<ArcSwap<Routes>>,
    traffic: &TrafficHandle,
) -> Result<(), Failure> {
    let settings = checked.settings();
    let revisions = RevisionStore::default();
    let keys = checked.keys().clone();
    let (control, handle) = Control::bind(settings, keys, revisions.clone(), routes)
        .await
        .map_err(|err| Failure::new(ErrorKind::Invalid, err.to_string()))?;
    let listener = TcpListener::bind(settings.operator_listen)
        .await
        .map_err(|err| cannot_bind("operator_listen", settings.operator_listen, &err))?;
    let client = Client::new(ClientConfig::new(settings.platform));
    let writer = writer_of(settings);
    let stop = leave_on_signal(handle.clone())?;
    let fleet_handle = handle.clone();
    let publishing = publish::run(
        PublishSettings::new(writer.clone()),
        client.clone(),
        revisions.clone(),
        move || fleet_handle.fleet_view(),
        stop,
    );
    let identity = Identity {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        writer,
    };
    let stats = traffic.stats();
    let sources = Sources {
        fleet: async || fleet(&handle).await,
        drain: async |target: String, on| drain(&handle, &target, on).await,
        traffic: || stats.status(),
    };
    let requests = serve_operators(settings, listener);
    let reporting = metrics::run(
        open_metrics(settings)?,
        metrics::Sources {
            stats: traffic.stats(),
            control: handle.clone(),
            platform: client.clone(),
        },
    );
    let answering = operator_http::run(requests, identity, client, revisions, sources);
    log::info!("balancer: {} has started", settings.name);
    // A leaving balancer releases its lease first and forwards until the control loop ends.
    tokio::select! {
        () = control.run() => {}
        () = then_pending(publishing) => {}
        () = then_pending(answering) => {}
        () = then_pending(reporting) => {}
    }
    Ok(())
}

fn open_metrics(settings: &Settings) -> Result<Metrics, Failure> {
    Metrics::new(&settings.name, settings.metrics).map_err(|err| {
        let message = format!("metrics: no UDP socket: {err}; check the settings field metrics");
        Failure::new(ErrorKind::Invalid, message)
    })
}

async fn then_pending(work: impl Future<Output = ()>) {
    work.await;
    std::future::pending::<()>().await;
}

async fn fleet(handle: &ControlHandle) -> Result<FleetStatus, Failure> {
    handle.fleet().await.ok_or_else(stopping)
}

async fn drain(handle: &ControlHandle, target: &str, on: bool) -> Result<DrainStatus, Failure> {
    let outcome = handle.send_drain(target, on).await;
    outcome.map_err(|kind| drain_failure(kind, target))?;
    let fleet = fleet(handle).await?;
    let found = fleet
        .drains
        .into_iter()
        .find(|drain| drain.target == target);
    // The end of a drain is no longer tracked once the agent has confirmed it.
    let ended = || DrainStatus {
        target: String::from(target),
        state: (!on).then_some(TargetState::Ready),
        open: None,
    };
    Ok(found.unwrap_or_else(ended))
}

fn drain_failure(kind: ErrorKind, target: &str) -> Failure {
    let remedy = match kind {
        ErrorKind::NotFound => "see status for the targets that this balancer knows",
        ErrorKind::Timeout => "its agent did not confirm in time; a retry is safe",
        _ => "ask another balancer",
    };
    Failure::new(kind, format!("target {target}: {kind}; {remedy}"))
}

fn stopping() -> Failure {
    Failure::new(
        ErrorKind::Timeout,
        "the balancer is stopping; ask another one",
    )
}

fn serve_operators(
    settings: &Settings,
    listener: TcpListener,
) -> mpsc::Receiver<operator_channel::Request> {
    let (operator_channel, requests) = operator_channel::channel();
    let token = Token::from(settings.operator_token.clone());
    tokio::spawn(async move {
        if let Err(err) = http::serve(listener, token, operator_channel).await {
            log::error!("operator: HTTP cannot be served: {err}");
        }
    });
    requests
}

fn leave_on_signal(handle: ControlHandle) -> Result<watch::Receiver<bool>, Failure> {
    let stop = stop::on_signal()?;
    let mut leaving = stop.clone();
    tokio::spawn(async move {
        if leaving.wait_for(|stop| *stop).await.is_ok() {
            handle.leave().await;
        }
    });
    Ok(stop)
}

/// Unique for each run of a process, so that it recognizes its own writes.
fn writer_of(settings: &Settings) -> String {
    format!("{}/{:016x}", settings.name, rand::random::<u64>())
}

fn cannot_bind(field: &str, addr: SocketAddr, err: &impl Display) -> Failure {
    let message = format!("{field}: {addr} cannot be bound: {err}; choose a free address");
    Failure::new(ErrorKind::Invalid, message)
}
