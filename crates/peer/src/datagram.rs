//! UDP sockets of a traffic thread, for plain datagrams and for messages between processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use citronhollow_core::unusable::UnusableInputs;
use tokio::net::UdpSocket;

use crate::codec::Codec;
use crate::key::Keyring;
use crate::message::{Envelope, Forward};

/// Largest datagram that is read, in bytes. Longer ones are truncated and fail to parse.
const READ_MAX: usize = 2_048;

/// Largest number of datagrams read at once, so that other work of the thread is not delayed.
const READ_BATCH: usize = 64;

/// Receive buffer requested from the kernel, in bytes. The kernel may grant less.
const RECEIVE_BUFFER: usize = 1_024 * 1_024;

/// Bound UDP socket.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    buf: Box<[u8; READ_MAX]>,
}

impl Datagrams {
    /// Binds a socket. Must be called within the runtime that reads from it.
    ///
    /// # Errors
    ///
    /// I/O error if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        // Best effort: a smaller buffer only loses packets during bursts.
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            buf: Box::new([0; READ_MAX]),
        })
    }

    /// Waits until the socket is readable.
    ///
    /// # Errors
    ///
    /// I/O error of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads the datagrams that have arrived, at most one batch.
    pub fn read(&mut self) -> Vec<(Bytes, SocketAddr)> {
        let mut batch = Vec::new();
        while batch.len() < READ_BATCH {
            match self.socket.try_recv_from(&mut self.buf[..]) {
                Ok((len, from)) => batch.push((Bytes::copy_from_slice(&self.buf[..len]), from)),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                // ICMP error for an earlier datagram that was sent to a closed port.
                Err(err) => log::debug!("traffic: read failed: {err}"),
            }
        }
        batch
    }

    /// Sends one datagram without blocking. It is lost if the send queue is full.
    ///
    /// # Errors
    ///
    /// I/O error of the socket.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.socket.try_send_to(bytes, to).map(|_| ())
    }
}

/// UDP socket for messages between processes.
#[derive(Debug)]
pub struct MessageSocket {
    datagrams: Datagrams,
    codec: Codec,
    frame: BytesMut,
    unusable: Arc<UnusableInputs>,
}

impl MessageSocket {
    /// Binds a socket whose frames are signed and verified with `keys`.
    ///
    /// # Errors
    ///
    /// I/O error if the address cannot be bound.
    pub fn bind(address: SocketAddr, keys: Keyring) -> io::Result<Self> {
        Ok(Self {
            datagrams: Datagrams::bind(address)?,
            codec: Codec::new(keys),
            frame: BytesMut::new(),
            unusable: Arc::default(),
        })
    }

    /// Counts invalid frames in `unusable`.
    #[must_use]
    pub fn counting_unusable(mut self, unusable: Arc<UnusableInputs>) -> Self {
        self.unusable = unusable;
        self
    }

    /// Waits until the socket is readable.
    ///
    /// # Errors
    ///
    /// I/O error of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.datagrams.readable().await
    }

    /// Reads the messages that have arrived, at most one batch. Invalid frames are counted and left
    /// out.
    pub fn read(&mut self) -> Vec<(Envelope, SocketAddr)> {
        let batch = self.datagrams.read();
        let valid = batch.into_iter().filter_map(|(frame, from)| {
            let opened = self.codec.open(&frame);
            opened
                .map(|envelope| (envelope, from))
                .map_err(|err| log_unusable(&self.unusable, from, "message", &err))
                .ok()
        });
        valid.collect()
    }

    /// Sends a message without blocking. A message that cannot be sent is lost.
    pub fn send(&mut self, envelope: &Envelope, to: SocketAddr) {
        self.frame.clear();
        self.codec.seal(envelope, &mut self.frame);
        self.send_frame(to);
    }

    /// Sends a message that carries `packet`, without copying the packet into the message first.
    pub fn send_forward(&mut self, forward: &Forward, packet: &[u8], to: SocketAddr) {
        self.frame.clear();
        self.codec.seal_forward(forward, packet, &mut self.frame);
        self.send_frame(to);
    }

    fn send_frame(&self, to: SocketAddr) {
        if let Err(err) = self.datagrams.send(&self.frame, to) {
            log::debug!("peer: message to {to} not sent: {err}");
        }
    }
}

/// Counts an input of a process that cannot be used, and logs the first of its kind from there.
pub fn log_unusable(
    unusable: &UnusableInputs,
    from: SocketAddr,
    input: &str,
    reason: &dyn std::fmt::Display,
) {
    if unusable.count(&(from, input)) {
        log::warn!("peer: {input} from {from} is left out: {reason}");
    }
}
