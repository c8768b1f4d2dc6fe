//! The signals that stop a process in an orderly way.

use citronhollow_core::error::ErrorKind;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::failure::Failure;

/// A value that turns true with the first SIGTERM or SIGINT. Its sender stays until nobody listens.
///
/// # Errors
///
/// [`Failure`] if the system takes no handler.
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
