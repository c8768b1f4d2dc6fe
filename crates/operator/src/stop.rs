//! Signals for a graceful shutdown.

use citronhollow_core::error::ErrorKind;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::failure::Failure;

/// Returns a value that becomes true on the first SIGTERM or SIGINT. Its sender is kept until all
/// receivers are dropped.
///
/// # Errors
///
/// [`Failure`] if the handlers cannot be installed.
pub fn on_signal() -> Result<watch::Receiver<bool>, Failure> {
    let no_handler = |err| Failure::new(ErrorKind::Invalid, format!("no signal handler: {err}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(no_handler)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(no_handler)?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tx.send_replace(true);
        tx.closed().await;
    });
    Ok(rx)
}
