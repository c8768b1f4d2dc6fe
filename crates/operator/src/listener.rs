//! HTTP listener that serves until the process ends, regardless of signals.
//!
//! Volo's server stops accepting connections on SIGHUP, SIGINT and SIGTERM. A process of this
//! project that is stopping keeps running until its flows have ended, and must answer its target
//! and its operators until then. The listener therefore outlives the server: after each such
//! signal a new server continues on the same listener, while the previous one finishes its
//! requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use volo::net::conn::{Conn, ConnInfo, ConnStream};
use volo::net::incoming::{Incoming, MakeIncoming};

/// Delay before the next accept after a failed one, for example for lack of file descriptors.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Listener shared by successive servers.
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
                // Without a delay the server would retry at once and use up the thread.
                tokio::time::sleep(RETRY_AFTER).await;
                Err(error)
            }
        }
    }
}

/// Runs `server` on the listener, and starts it anew after each signal that stops it.
///
/// # Errors
///
/// I/O error if the signal handlers cannot be installed. Otherwise this never returns.
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

/// Signals that stop volo's server.
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
