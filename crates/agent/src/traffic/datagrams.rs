//! The traffic thread's UDP socket, with many datagrams per system call.
//!
//! A system call per datagram would be most of the cost of a packet. Packets to the same address of
//! the fabric are batched until the tasks that are ready have run. The kernel gets a batch in one
//! call (GSO), as long as its packets have the same size. Datagrams are received in batches, too.

use std::cell::RefCell;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Size of a buffer for datagrams that the kernel has coalesced, in bytes.
const RECEIVE_LEN: usize = 64 * 1_024;

/// Largest number of bytes in a batch, below the maximum length of an IP packet.
const BATCH_LEN: usize = 60 * 1_024;

/// Largest number of batches read before the flows' tasks run again.
const BATCHES_PER_WAKE: usize = 8;

/// Packets to one address, all of the same size except for a shorter last one.
#[derive(Debug)]
struct Batch {
    to: SocketAddr,
    bytes: Vec<u8>,
    size: usize,
    count: usize,
}

/// The socket with its outgoing batches.
#[derive(Debug)]
pub(super) struct Datagrams {
    socket: UdpSocket,
    state: UdpSocketState,
    batches: RefCell<Vec<Batch>>,
    has_batches: Notify,
}

/// Buffers for received datagrams.
pub(super) struct Incoming {
    bufs: Vec<Vec<u8>>,
}

impl Incoming {
    pub(super) fn new() -> Self {
        Self {
            bufs: vec![vec![0; RECEIVE_LEN]; BATCH_SIZE],
        }
    }
}

impl Datagrams {
    /// Wraps a non-blocking socket.
    pub(super) fn new(socket: std::net::UdpSocket) -> io::Result<Self> {
        let socket = UdpSocket::from_std(socket)?;
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self {
            socket,
            state,
            batches: RefCell::new(Vec::new()),
            has_batches: Notify::new(),
        })
    }

    /// Waits until the socket is readable.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads up to [`BATCHES_PER_WAKE`] batches, and passes every datagram to `f`.
    pub(super) fn receive(&self, incoming: &mut Incoming, mut f: impl FnMut(&[u8], SocketAddr)) {
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        for _ in 0..BATCHES_PER_WAKE {
            let Some(count) = self.receive_batch(incoming, &mut metas) else {
                return;
            };
            for (buf, meta) in incoming.bufs.iter().zip(&metas[..count]) {
                // `chunks` yields nothing for an empty datagram, which is passed on below.
                for datagram in buf[..meta.len].chunks(meta.stride.max(1)) {
                    f(datagram, meta.addr);
                }
                if meta.len == 0 {
                    f(&[], meta.addr);
                }
            }
        }
    }

    /// Sends one datagram at once, and returns whether it was sent. It is lost if the kernel's
    /// buffer is full.
    pub(super) fn send(&self, datagram: &[u8], to: SocketAddr) -> bool {
        self.socket.try_send_to(datagram, to).is_ok()
    }

    /// Queues a packet that is sent when the ready tasks have run. Returns the number of packets
    /// lost in a batch that had to be sent first.
    pub(super) fn send_soon(&self, packet: &[u8], to: SocketAddr) -> usize {
        let mut batches = self.batches.borrow_mut();
        self.has_batches.notify_one();
        let Some(batch) = batches.iter_mut().find(|batch| batch.to == to) else {
            batches.push(Batch::new(packet, to));
            return 0;
        };
        if batch.fits(packet, self.state.max_gso_segments()) {
            batch.push(packet);
            return 0;
        }
        let lost = self.transmit(batch);
        batch.restart(packet);
        lost
    }

    /// Waits until packets are queued.
    pub(super) async fn has_batches(&self) {
        self.has_batches.notified().await;
    }

    /// Sends all batches, and returns the number of packets lost.
    pub(super) fn flush(&self) -> usize {
        let mut lost = 0;
        for batch in self.batches.borrow_mut().iter_mut() {
            lost += self.transmit(batch);
            batch.clear();
        }
        lost
    }

    fn receive_batch(
        &self,
        incoming: &mut Incoming,
        metas: &mut [RecvMeta; BATCH_SIZE],
    ) -> Option<usize> {
        let mut bufs = incoming.bufs.iter_mut();
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] = std::array::from_fn(|_| {
            let buf: &mut [u8] = bufs.next().map_or(&mut [], Vec::as_mut_slice);
            IoSliceMut::new(buf)
        });
        let count = self.socket.try_io(Interest::READABLE, || {
            self.state.recv((&self.socket).into(), &mut slices, metas)
        });
        count.ok()
    }

    fn transmit(&self, batch: &Batch) -> usize {
        if batch.count == 0 {
            return 0;
        }
        let transmit = Transmit {
            destination: batch.to,
            ecn: None,
            contents: &batch.bytes,
            segment_size: (batch.count > 1).then_some(batch.size),
            src_ip: None,
        };
        let sent = self.socket.try_io(Interest::WRITABLE, || {
            self.state.try_send((&self.socket).into(), &transmit)
        });
        if sent.is_ok() { 0 } else { batch.count }
    }
}

impl Batch {
    fn new(packet: &[u8], to: SocketAddr) -> Self {
        Self {
            to,
            bytes: packet.to_vec(),
            size: packet.len(),
            count: 1,
        }
    }

    /// Whether the packet can be added: no packet may be longer than the first, or follow a shorter
    /// one.
    fn fits(&self, packet: &[u8], segments_max: usize) -> bool {
        if self.count == 0 {
            return true;
        }
        let is_even = self.bytes.len() == self.size * self.count;
        let has_capacity =
            self.bytes.len() + packet.len() <= BATCH_LEN && self.count < segments_max;
        is_even && has_capacity && packet.len() <= self.size
    }

    fn push(&mut self, packet: &[u8]) {
        if self.count == 0 {
            self.size = packet.len();
        }
        self.bytes.extend_from_slice(packet);
        self.count += 1;
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.count = 0;
    }

    fn restart(&mut self, packet: &[u8]) {
        self.clear();
        self.push(packet);
    }
}
