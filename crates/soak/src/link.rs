//! A process's own way to the store.
//!
//! Each process is given the address of a proxy of its own, so that the store can be away, slow or
//! silent for one process while it serves the others.

use std::io;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::plan::LinkMode;

/// The way of one process to the store.
#[derive(Debug)]
pub struct Link {
    /// Address that the process takes for the store's.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Link {
    /// A way to the store at `store`, on the runtime of the caller.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(store: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, changes) = watch::channel(LinkMode::Open);
        tokio::spawn(accept(listener, store, changes));
        Ok(Self { address, mode })
    }

    /// Changes what the way does, also with the connections that are open.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, store: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // The listener fails when the soak is out of descriptors; the process then waits and tries again.
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(proxy(stream, store, mode.clone()));
    }
}

async fn proxy(mut stream: TcpStream, store: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let mut upstream = None;
    loop {
        let current = *mode.borrow_and_update();
        match current {
            LinkMode::Refusing => return,
            LinkMode::Silent => {
                hold_open(mode).await;
                return;
            }
            // Only new connections are slow.
            LinkMode::Slow(time) if upstream.is_none() => sleep(time.into()).await,
            LinkMode::Open | LinkMode::Slow(_) => {}
        }
        let mut connected = match upstream.take() {
            Some(connected) => connected,
            None => match TcpStream::connect(store).await {
                Ok(connected) => connected,
                Err(_) => return,
            },
        };
        tokio::select! {
            // Either end has closed the connection, or lost it: so does the other.
            _ = copy_bidirectional(&mut stream, &mut connected) => return,
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        upstream = Some(connected);
    }
}

/// Keeps a connection open without a word until the way changes.
async fn hold_open(mut mode: watch::Receiver<LinkMode>) {
    // The sender is gone only when the run has ended.
    let _ = mode.changed().await;
}
