//! Set-up of the threads and listeners of a process, with errors for operators.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{Builder, JoinHandle};

use citronhollow_core::error::ErrorKind;
use tokio::net::TcpListener;
use tokio::runtime::{self, Runtime};

use crate::failure::Failure;

/// Creates a runtime that runs on the current thread.
///
/// # Errors
///
/// [`Failure`] if the system lacks the resources.
pub fn runtime() -> Result<Runtime, Failure> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| Failure::new(ErrorKind::Invalid, format!("no runtime: {err}")))
}

/// Starts the traffic thread, and waits until it has bound the addresses in the settings `fields`.
///
/// # Errors
///
/// [`Failure`] if the thread cannot be started or an address cannot be bound.
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
                    // The receiver is waiting, so that sending cannot fail.
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

/// Binds a listener to the address of a settings field.
///
/// # Errors
///
/// [`Failure`] if the address cannot be bound.
pub async fn listen(field: &str, addr: SocketAddr) -> Result<TcpListener, Failure> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|err| cannot_bind(field, &format!("{addr}: {err}")))
}

/// Failure of a process whose traffic thread has ended unexpectedly. The process must stop: it
/// would otherwise still answer probes, but lose every packet.
#[must_use]
pub fn traffic_ended() -> Failure {
    let message = "the traffic thread has ended unexpectedly; see the log for its panic";
    Failure::new(ErrorKind::Invalid, message)
}

fn cannot_bind(fields: &str, err: &dyn Display) -> Failure {
    let message = format!("{fields}: cannot be bound: {err}; choose free addresses");
    Failure::new(ErrorKind::Invalid, message)
}
