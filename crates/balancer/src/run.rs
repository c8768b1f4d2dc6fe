//! The process of an entry VM from its start to its end.
//!
//! The main thread is the control thread. It binds every socket before it takes up work, so that a
//! wrong address ends the process with an error instead of leaving it half at work. SIGTERM makes
//! the balancer leave: it tells the others, forwards for a while longer and then exits.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::routes::Routes;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::token::Token;
use citronhollow_operator::{control as seam, http, logging, trace};
use citronhollow_platform::client::{Client, ClientConfig};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::control::{Control, ControlHandle};
use crate::operator_http;
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
    let platform = Client::new(ClientConfig::new(settings.platform));
    let writer = writer_of(settings);
    let parts = operator_http::Parts {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        writer: writer.clone(),
        control: handle.clone(),
        platform: platform.clone(),
        revisions: revisions.clone(),
        figures: traffic.figures(),
    };
    serve_operators(settings, listener, parts);
    let stop = leave_on_signal(handle.clone())?;
    let publishing = publish::run(
        PublishSettings::new(writer),
        platform,
        revisions,
        move || handle.place(),
        stop,
    );
    log::info!("balancer: {} is at work", settings.name);
    // A balancer that left keeps forwarding until its control loop ends.
    let publishing = async {
        publishing.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = control.run() => {}
        () = publishing => {}
    }
    Ok(())
}

fn serve_operators(settings: &Settings, listener: TcpListener, parts: operator_http::Parts) {
    let (seam, requests) = seam::channel();
    let token = Token::from(settings.operator_token.clone());
    tokio::spawn(operator_http::run(requests, parts));
    tokio::spawn(async move {
        if let Err(err) = http::serve(listener, token, seam).await {
            log::error!("operator: HTTP cannot be served: {err}");
        }
    });
}

fn leave_on_signal(handle: ControlHandle) -> Result<watch::Receiver<bool>, Failure> {
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|err| Failure::new(ErrorKind::Invalid, format!("no signal handler: {err}")))?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        terminate.recv().await;
        tx.send_replace(true);
        handle.leave().await;
    });
    Ok(rx)
}

/// Unique for each run of a process, so that its writes are recognised.
fn writer_of(settings: &Settings) -> String {
    format!("{}/{:016x}", settings.name, rand::random::<u64>())
}

fn cannot_bind(field: &str, addr: SocketAddr, err: &impl Display) -> Failure {
    let message = format!("{field}: {addr} cannot be bound: {err}; choose a free address");
    Failure::new(ErrorKind::Invalid, message)
}
