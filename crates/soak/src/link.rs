//! Proxy between one process and the store.
//!
//! Each process connects through its own proxy, so that the store can be unavailable, slow or
//! unresponsive for one process while it serves the others.

use std::io;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::plan::LinkMode;

/// Proxy for the connections of one process to the store.
#[derive(Debug)]
pub struct Link {
    /// Listening address, configured in the process as the address of the store.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Link {
    /// Starts a proxy to the store at `store` on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(store: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, changes) = watch::channel(LinkMode::Open);
        tokio::spawn(accept(listener, store, changes));
        Ok(Self { address, mode })
    }

    /// Changes the mode, also of connections that are already open.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, store: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // Accepting fails when the soak runs out of file descriptors; the process under test then backs
    // off and retries.
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
            // Only new connections are delayed.
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
            // One end closed or lost the connection, so both are closed.
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

/// Keeps a connection open without answering until the mode changes.
async fn hold_open(mut mode: watch::Receiver<LinkMode>) {
    // The sender is dropped only at the end of the run.
    let _ = mode.changed().await;
}
