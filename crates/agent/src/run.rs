//! Startup and shutdown of the agent process.
//!
//! The main thread is the control thread. On SIGTERM the agent drains its target: it accepts no new
//! flow, waits until its open flows have ended, sends a leave notice to the balancers and exits.

use std::sync::Arc;

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::metrics::Metrics;
use citronhollow_operator::{logging, stop, trace};
use tokio::sync::mpsc;

use crate::control::{Control, Links};
use crate::link::TrafficStats;
use crate::metrics;
use crate::settings::Checked;
use crate::traffic;

/// Runs an agent until its target has drained.
///
/// # Errors
///
/// [`Failure`] if an address of the settings cannot be bound.
pub fn run(checked: &Checked) -> Result<(), Failure> {
    let settings = checked.settings();
    logging::init(checked.log_level())?;
    trace::init(&settings.name, settings.traces)?;
    let (traffic_tx, traffic_rx) = mpsc::unbounded_channel();
    let (control_tx, commands) = mpsc::unbounded_channel();
    let stats = Arc::new(TrafficStats::default());
    let keys = checked.keys().clone();
    let traffic = traffic::spawn(settings, keys, traffic_rx, control_tx, Arc::clone(&stats))
        .map_err(|err| {
            failure(&format!(
                "traffic_listen: {}: {err}",
                settings.traffic_listen
            ))
        })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| failure(&format!("no runtime: {err}")))?;
    let traffic_addr = traffic.local_addr();
    let metrics = Metrics::new(&settings.name, settings.metrics)
        .map_err(|err| failure(&format!("metrics: no UDP socket: {err}")))?;
    let reported = Arc::clone(&stats);
    runtime.block_on(async {
        let links = Links {
            traffic: traffic_tx,
            commands,
            stats,
            traffic_addr,
            stop: stop::on_signal()?,
        };
        let control = Control::bind(settings, checked.keys().clone(), links)
            .await
            .map_err(|err| failure(&err.to_string()))?;
        tokio::spawn(metrics::run(metrics, reported));
        log::info!("agent: {} has started", settings.name);
        control.run().await.map_err(|err| failure(&err.to_string()))
    })?;
    if traffic.join().is_err() {
        log::error!("agent: the traffic thread panicked");
    }
    log::info!("agent: {} has stopped", settings.name);
    Ok(())
}

fn failure(message: &str) -> Failure {
    Failure::new(ErrorKind::Invalid, message)
}
