//! Datagram sockets of a traffic thread, bare and with messages between the project's processes.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::net::UdpSocket;

use crate::codec::Codec;
use crate::key::Keyring;
use crate::message::{Envelope, Forward};

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

/// A socket for messages between processes.
#[derive(Debug)]
pub struct MessageSocket {
    datagrams: Datagrams,
    codec: Codec,
    frame: BytesMut,
}

impl MessageSocket {
    /// Binds a socket whose frames are signed and verified with these keys.
    ///
    /// # Errors
    ///
    /// The error of the address that cannot be bound.
    pub fn bind(address: SocketAddr, keys: Keyring) -> io::Result<Self> {
        Ok(Self {
            datagrams: Datagrams::bind(address)?,
            codec: Codec::new(keys),
            frame: BytesMut::new(),
        })
    }

    /// Waits until there is something to read.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.datagrams.readable().await
    }

    /// Reads what has come, up to a batch. Frames that are not valid are logged and left out.
    pub fn read(&mut self) -> Vec<(Envelope, SocketAddr)> {
        let batch = self.datagrams.read();
        let valid = batch.into_iter().filter_map(|(frame, from)| {
            let opened = self.codec.open(&frame);
            opened
                .map(|envelope| (envelope, from))
                .map_err(|err| log::warn!("peer: message from {from} dropped: {err}"))
                .ok()
        });
        valid.collect()
    }

    /// Sends a message. One that cannot be sent is lost, as on the network.
    pub fn send(&mut self, envelope: &Envelope, to: SocketAddr) {
        self.frame.clear();
        self.codec.seal(envelope, &mut self.frame);
        self.send_frame(to);
    }

    /// Sends a message that brings a packet, which is not copied before.
    pub fn send_forward(&mut self, forward: &Forward, packet: &[u8], to: SocketAddr) {
        self.frame.clear();
        self.codec.seal_forward(forward, packet, &mut self.frame);
        self.send_frame(to);
    }

    fn send_frame(&self, to: SocketAddr) {
        if let Err(err) = self.datagrams.send(&self.frame, to) {
            log::debug!("peer: message to {to} failed: {err}");
        }
    }
}
