//! The target's side of a flow: one TCP connection.
//!
//! A flow's bytes go to one connection and are never sent again on another. The connection has no
//! buffers of its own: bytes go from the socket straight into the caller's window and back, so
//! that a slow end slows the other and memory stays bounded. [`TargetStream::abort`] tells the
//! target at once that nobody waits for an answer any more.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Probes without an answer after which the target is given up.
const KEEPALIVE_PROBES: u32 = 10;

/// Shortest time that the kernel's keepalive knows.
const KEEPALIVE_MIN: Duration = Duration::from_secs(1);

/// How connections to a target are made.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time that the target has to accept a connection.
    pub connect_timeout: Millis,
    /// Idle time after which the target is probed.
    pub keepalive: Millis,
    /// Time between probes.
    pub probe_interval: Millis,
    /// Time that sent bytes may stay without an acknowledgement.
    pub timeout: Millis,
}

/// A connection that was not made.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The target did not answer in time.
    #[error("the target did not accept the connection within {0}")]
    Timeout(Millis),
    /// The target refused, or the socket failed.
    #[error("connection to the target failed: {0}")]
    Io(#[from] io::Error),
}

/// What became of an attempt to read or write without waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// So many bytes passed, at least one.
    Passed(usize),
    /// None could pass now.
    Blocked,
    /// The target ended its direction in order.
    Finished,
    /// The connection failed or was reset by the target.
    Failed,
}

/// A connection to the target.
#[derive(Debug)]
pub struct TargetStream {
    stream: TcpStream,
}

impl TargetStream {
    /// Connects to the target.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if the target refuses or does not answer in time.
    pub async fn connect(target: SocketAddr, settings: Settings) -> Result<Self, ConnectError> {
        let limit = Duration::from(settings.connect_timeout);
        let stream = timeout(limit, TcpStream::connect(target))
            .await
            .map_err(|_| ConnectError::Timeout(settings.connect_timeout))??;
        configure(&stream, settings)?;
        Ok(Self { stream })
    }

    /// Waits until bytes can pass in one of the wanted directions.
    ///
    /// With no direction wanted it waits for ever. An error counts as ready: the attempt that
    /// follows reports it.
    pub async fn ready(&self, read: bool, write: bool) {
        let interest = match (read, write) {
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
            (false, true) => Interest::WRITABLE,
            (false, false) => std::future::pending().await,
        };
        // Registration fails only when the runtime is going away, and then nothing is ready.
        if self.stream.ready(interest).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reads what is there.
    pub fn try_read(&self, buf: &mut [u8]) -> Progress {
        match self.stream.try_read(buf) {
            Ok(0) => Progress::Finished,
            Ok(len) => Progress::Passed(len),
            Err(err) => Progress::of(&err),
        }
    }

    /// Writes what there is room for.
    pub fn try_write(&self, bytes: &[u8]) -> Progress {
        match self.stream.try_write(bytes) {
            Ok(0) => Progress::Blocked,
            Ok(len) => Progress::Passed(len),
            Err(err) => Progress::of(&err),
        }
    }

    /// Ends the direction to the target after the bytes that were written.
    pub fn finish(&self) {
        // It fails only on a connection that is gone, which the next read reports.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Resets the connection at once: bytes that the target has not read are lost to it.
    pub fn abort(self) {
        // Without the option the drop still ends the connection, only in order.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Progress {
    /// Bytes that passed.
    #[must_use]
    pub const fn passed(self) -> usize {
        match self {
            Self::Passed(len) => len,
            Self::Blocked | Self::Finished | Self::Failed => 0,
        }
    }

    fn of(err: &io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Self::Blocked,
            _ => Self::Failed,
        }
    }
}

fn configure(stream: &TcpStream, settings: Settings) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from(settings.keepalive).max(KEEPALIVE_MIN))
        .with_interval(Duration::from(settings.probe_interval).max(KEEPALIVE_MIN))
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.timeout.into()))?;
    socket.set_tcp_nodelay(true)
}
