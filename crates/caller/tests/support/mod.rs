//! TCP stack of a caller. Like the endpoint under test, it is driven with packets and the time.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{self, DeviceCapabilities, Medium};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpCidr};

/// Largest packet that the stack builds, in bytes.
const MTU: usize = 1_500;

const KEEPALIVE: Duration = Duration::from_secs(1);

const HOST_PREFIX_V4: u8 = 32;
const HOST_PREFIX_V6: u8 = 128;

thread_local! {
    static TSVAL: Cell<u32> = const { Cell::new(1) };
}

/// Settings of the stack.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Size of each buffer, in bytes.
    pub buffer: usize,
    /// Whether TCP timestamps are offered.
    pub timestamps: bool,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            buffer: 16_384,
            timestamps: true,
        }
    }
}

/// One connection of a caller.
pub struct Client {
    pub from: SocketAddr,
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl Client {
    /// Creates a stack that connects with its first poll.
    pub fn connect(from: SocketAddr, to: SocketAddr, seed: u64, settings: ClientSettings) -> Self {
        let mut cfg = Config::new(HardwareAddress::Ip);
        cfg.random_seed = seed;
        let mut out = Vec::new();
        let mut wire = Wire(None, &mut out);
        let mut iface = Interface::new(cfg, &mut wire, Instant::ZERO);
        let prefix = if from.is_ipv4() {
            HOST_PREFIX_V4
        } else {
            HOST_PREFIX_V6
        };
        iface.update_ip_addrs(|addrs| {
            addrs.push(IpCidr::new(from.ip().into(), prefix)).unwrap();
        });
        let buffer = || tcp::SocketBuffer::new(vec![0; settings.buffer]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        if settings.timestamps {
            socket.set_tsval_generator(Some(|| TSVAL.get()));
        }
        // The stack does not probe a window that closes while the last segment is lost.
        socket.set_keep_alive(Some(KEEPALIVE));
        socket.connect(iface.context(), to, from).unwrap();
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Self {
            from,
            iface,
            sockets,
            handle,
        }
    }

    pub fn on_packet(&mut self, now: Millis, packet: &[u8], out: &mut Vec<Vec<u8>>) {
        let mut wire = Wire(Some(packet), out);
        self.iface
            .poll_ingress_single(instant(now), &mut wire, &mut self.sockets);
    }

    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) -> Option<Millis> {
        let at = instant(now);
        let mut wire = Wire(None, out);
        self.iface.poll(at, &mut wire, &mut self.sockets);
        let due = self.iface.poll_at(at, &self.sockets)?;
        let due = u64::try_from(due.total_micros()).unwrap().div_ceil(1_000);
        Some(Millis(due).max(now))
    }

    pub fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    pub fn state(&mut self) -> tcp::State {
        self.socket().state()
    }

    /// Queues as many bytes as fit and returns how many.
    pub fn send(&mut self, bytes: &[u8]) -> usize {
        self.socket().send_slice(bytes).unwrap_or(0)
    }

    /// Takes all received bytes.
    pub fn recv(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while self.socket().can_recv() {
            let len = self.socket().recv(|buf| {
                bytes.extend_from_slice(buf);
                (buf.len(), buf.len())
            });
            assert!(len.unwrap() > 0);
        }
        bytes
    }

    /// Whether the other end closed its direction in order and all of its bytes were read.
    pub fn is_finished(&mut self) -> bool {
        matches!(self.socket().peek(1), Err(tcp::RecvError::Finished))
    }
}

fn instant(at: Millis) -> Instant {
    Instant::from_millis(i64::try_from(at.0).unwrap())
}

struct Wire<'a>(Option<&'a [u8]>, &'a mut Vec<Vec<u8>>);

struct RxToken<'a>(&'a [u8]);

struct TxToken<'a>(&'a mut Vec<Vec<u8>>);

impl phy::RxToken for RxToken<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(self.0)
    }
}

impl phy::TxToken for TxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut buf = vec![0; len];
        let result = f(&mut buf);
        self.0.push(buf);
        result
    }
}

impl phy::Device for Wire<'_> {
    type RxToken<'t>
        = RxToken<'t>
    where
        Self: 't;
    type TxToken<'t>
        = TxToken<'t>
    where
        Self: 't;

    fn receive(&mut self, _now: Instant) -> Option<(RxToken<'_>, TxToken<'_>)> {
        let packet = self.0.take()?;
        Some((RxToken(packet), TxToken(self.1)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<TxToken<'_>> {
        Some(TxToken(self.1))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU;
        caps
    }
}
