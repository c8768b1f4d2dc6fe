//! Threads and listeners of a process, and what is said when one cannot be had.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{Builder, JoinHandle};

use citronhollow_core::error::ErrorKind;
use tokio::net::TcpListener;
use tokio::runtime::{self, Runtime};

use crate::failure::Failure;

/// A runtime that keeps to the thread that drives it.
///
/// # Errors
///
/// [`Failure`] if the system has no resources for one.
pub fn runtime() -> Result<Runtime, Failure> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| Failure::new(ErrorKind::Invalid, format!("no runtime: {err}")))
}

/// Starts the traffic thread, and waits until it has bound the addresses that `fields` name.
///
/// # Errors
///
/// [`Failure`] if there is no thread or an address cannot be bound.
pub fn spawn_traffic<T, F: Future<Output = ()>>(
    fields: &'static str,
    bind: impl FnOnce() -> io::Result<T> + Send + 'static,
    run: impl FnOnce(T) -> F + Send + 'static,
) -> Result<JoinHandle<()>, Failure> {
    let runtime = runtime()?;
    let (bound, result) = mpsc::channel();
    let work = move || {
        runtime.block_on(async move {
            match bind() {
                Ok(traffic) => {
                    // The other end waits for exactly this.
                    let _ = bound.send(Ok(()));
                    run(traffic).await;
                }
                Err(err) => {
                    let _ = bound.send(Err(err));
                }
            }
        });
    };
    let thread = Builder::new().name(String::from("traffic")).spawn(work);
    let thread = thread.map_err(|err| cannot_bind(fields, &err))?;
    match result.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(err)) => Err(cannot_bind(fields, &err)),
        Err(err) => Err(cannot_bind(fields, &err)),
    }
}

/// Binds the listener of a settings field.
///
/// # Errors
///
/// [`Failure`] if the address cannot be bound.
pub async fn listen(field: &str, addr: SocketAddr) -> Result<TcpListener, Failure> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|err| cannot_bind(field, &format!("{addr}: {err}")))
}

/// The traffic thread ended by itself. A process without it must not go on: it would answer probes
/// and lose every packet.
#[must_use]
pub fn traffic_ended() -> Failure {
    let message = "the traffic thread has ended by itself; see the log for its panic";
    Failure::new(ErrorKind::Invalid, message)
}

fn cannot_bind(fields: &str, err: &dyn Display) -> Failure {
    let message = format!("{fields}: cannot be bound: {err}; choose free addresses");
    Failure::new(ErrorKind::Invalid, message)
}
