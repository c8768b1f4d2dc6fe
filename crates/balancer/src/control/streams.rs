//! Server for requests over TCP.
//!
//! Each connection carries one request and its reply within a deadline. The number of concurrent
//! connections is limited; further connections wait in the listener's queue.

use std::net::SocketAddr;
use std::sync::Arc;

use citronhollow_peer::{Body, Keyring, exchange};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

/// Maximum number of concurrent connections.
pub const CONNECTIONS_MAX: usize = 32;

/// Pause after a failed accept, which usually means that the process has no file descriptor left.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// A request to be answered by the control loop.
#[derive(Debug)]
pub struct Query {
    /// The request.
    pub body: Body,
    /// Receives the reply, `None` to refuse the request.
    pub reply: oneshot::Sender<Option<Body>>,
}

/// The outcome of a fetch.
#[derive(Debug)]
pub struct Fetched {
    /// Balancer that was asked.
    pub from: SocketAddr,
    /// The reply, `None` if the fetch failed.
    pub body: Option<Body>,
}

/// Accepts connections until the control loop has ended.
pub async fn serve(listener: TcpListener, keys: Keyring, queries: mpsc::Sender<Query>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    while !queries.is_closed() {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = queries.closed() => return,
        };
        let Ok((stream, from)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let keys = keys.clone();
        let queries = queries.clone();
        tokio::spawn(async move {
            serve_one(stream, from, keys, queries).await;
            drop(permit);
        });
    }
}

async fn serve_one(
    stream: TcpStream,
    from: SocketAddr,
    keys: Keyring,
    queries: mpsc::Sender<Query>,
) {
    let answer = async |body| {
        let (reply, answered) = oneshot::channel();
        queries.send(Query { body, reply }).await.ok()?;
        answered.await.ok()?
    };
    if let Err(error) = exchange::serve(stream, keys, answer).await {
        log::debug!("control: request from {from} failed: {error}");
    }
}
