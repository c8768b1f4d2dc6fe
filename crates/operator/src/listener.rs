//! Serving HTTP until the process ends, whatever signals it gets.
//!
//! Volo's server stops accepting on SIGHUP, SIGINT and SIGTERM. Here a process that stops goes on
//! for as long as its flows do, and must hear its target and its operators all the while. So the
//! listener outlives the server: after each such signal the next server takes the same listener
//! over, and the last one finishes what it has.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use volo::net::conn::{Conn, ConnInfo, ConnStream};
use volo::net::incoming::{Incoming, MakeIncoming};

/// Time before accepting is tried again after it failed, as it does without a free descriptor.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A listener that several servers take over from one another.
#[derive(Clone, Debug)]
pub struct SharedListener(Arc<TcpListener>);

impl From<TcpListener> for SharedListener {
    fn from(listener: TcpListener) -> Self {
        Self(Arc::new(listener))
    }
}

impl MakeIncoming for SharedListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for SharedListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.0.accept().await {
            Ok((stream, peer)) => {
                let info = ConnInfo {
                    peer_addr: Some(peer.into()),
                };
                Ok(Some(Conn::new(ConnStream::from(stream), info)))
            }
            Err(error) => {
                // The server would try again at once and keep the thread busy.
                tokio::time::sleep(RETRY_AFTER).await;
                Err(error)
            }
        }
    }
}

/// Runs `server` on the listener, and again after each signal that makes it stop.
///
/// # Errors
///
/// The error of the signal handlers. Otherwise this ends with the task that runs it.
pub async fn serve<F, T>(
    listener: TcpListener,
    server: impl Fn(SharedListener) -> F,
) -> io::Result<()>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let listener = SharedListener::from(listener);
    let mut signals = Signals::new()?;
    loop {
        tokio::spawn(server(listener.clone()));
        signals.recv().await;
    }
}

/// The signals on which volo's server stops.
struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.hangup.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
