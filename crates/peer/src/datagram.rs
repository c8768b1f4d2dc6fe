//! Datagram sockets of a traffic thread.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::UdpSocket;

/// Largest datagram that is read, in bytes. Longer ones are cut and fail to parse.
const READ_MAX: usize = 2_048;

/// Datagrams read in a row before other work gets its turn.
const READ_BATCH: usize = 64;

/// Receive buffer asked of the kernel, in bytes. It may grant less.
const RECEIVE_BUFFER: usize = 1_024 * 1_024;

/// A bound socket.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    buf: Box<[u8; READ_MAX]>,
}

impl Datagrams {
    /// Binds a socket. To be called within the runtime that reads it.
    ///
    /// # Errors
    ///
    /// The error of the address that cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        // A smaller buffer costs packets under bursts and nothing else.
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            buf: Box::new([0; READ_MAX]),
        })
    }

    /// Waits until there is something to read.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads what has come, up to a batch.
    pub fn read(&mut self) -> Vec<(Bytes, SocketAddr)> {
        let mut batch = Vec::new();
        while batch.len() < READ_BATCH {
            match self.socket.try_recv_from(&mut self.buf[..]) {
                Ok((len, from)) => batch.push((Bytes::copy_from_slice(&self.buf[..len]), from)),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                // The answer to an earlier datagram that nobody listened to.
                Err(err) => log::debug!("traffic: read failed: {err}"),
            }
        }
        batch
    }

    /// Sends one datagram. A full queue loses it, as the network may.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.socket.try_send_to(bytes, to).map(|_| ())
    }
}
