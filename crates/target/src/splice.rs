//! The TCP connection of one flow to the target.
//!
//! All bytes of a flow go to a single connection and are never resent on another one. The
//! connection has no buffers of its own: bytes are copied directly between the socket and the
//! caller's endpoint, so that backpressure from a slow end reaches the other and memory stays
//! bounded. [`TargetStream::abort`] resets the connection, so the target learns immediately that
//! the caller no longer waits for an answer.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Unanswered keepalive probes after which the connection to the target fails.
const KEEPALIVE_PROBES: u32 = 10;

/// Minimum keepalive time that the kernel supports.
const KEEPALIVE_MIN: Duration = Duration::from_secs(1);

/// Settings of connections to a target.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Idle time after which the target gets a keepalive probe.
    pub keepalive: Millis,
    /// Time between keepalive probes.
    pub probe_interval: Millis,
    /// Maximum time that sent bytes may stay unacknowledged.
    pub timeout: Millis,
}

/// Error of a connection attempt.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The target did not answer in time.
    #[error("the target did not accept the connection within {0}")]
    Timeout(Millis),
    /// The target refused the connection, or the socket failed.
    #[error("connection to the target failed: {0}")]
    Io(#[from] io::Error),
}

/// Result of a non-blocking read or write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Number of bytes transferred, at least one.
    Passed(usize),
    /// No bytes can be transferred now.
    Blocked,
    /// The target closed its direction in order.
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

    /// Waits until the connection is readable or writable, as requested.
    ///
    /// Without a requested direction it never returns. An error counts as ready, because the next
    /// read or write reports it.
    pub async fn ready(&self, read: bool, write: bool) {
        let interest = match (read, write) {
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
            (false, true) => Interest::WRITABLE,
            (false, false) => std::future::pending().await,
        };
        // Registration fails only while the runtime shuts down, so this waits forever.
        if self.stream.ready(interest).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reads available bytes without blocking.
    pub fn try_read(&self, buf: &mut [u8]) -> Progress {
        match self.stream.try_read(buf) {
            Ok(0) => Progress::Finished,
            Ok(len) => Progress::Passed(len),
            Err(err) => Progress::of(&err),
        }
    }

    /// Writes as many bytes as possible without blocking.
    pub fn try_write(&self, bytes: &[u8]) -> Progress {
        match self.stream.try_write(bytes) {
            Ok(0) => Progress::Blocked,
            Ok(len) => Progress::Passed(len),
            Err(err) => Progress::of(&err),
        }
    }

    /// Closes the direction to the target after all written bytes.
    pub fn finish(&self) {
        // Shutdown fails only on a dead connection, which the next read reports.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Resets the connection immediately; bytes that the target has not read are lost.
    pub fn abort(self) {
        // If the option cannot be set, the drop still closes the connection, but in order.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Progress {
    /// Number of bytes transferred.
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
