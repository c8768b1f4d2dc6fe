//! TCP endpoint of one flow, which terminates the caller's connection.
//!
//! Each flow has its own smoltcp interface and socket, so the cost of a packet does not grow with
//! the number of flows, and the service's address need not be assigned to the VM. The endpoint is
//! a state machine: its inputs are packets and the current time, its outputs are packets and the
//! next deadline.
//!
//! The timestamp value of every reply carries the target's hint. The caller echoes it, so a
//! balancer can find the flow's holder from any later packet.

mod device;

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use smoltcp::iface::{Config, Interface, PollResult, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpCidr};

use self::device::Device;
use crate::packet::{self, Parsed};

/// Size of each of the two buffers of a flow, in bytes.
pub const BUFFER_LEN: usize = 4_096;

/// Multiplier of the timeout while the caller advertises a zero window. The stack backs off its
/// window probes to one a minute, and a few lost probes must not end the flow.
const CLOSED_WINDOW_FACTOR: u64 = 4;

/// Keepalive interval while bytes to the caller are unacknowledged. If the retransmission timer
/// expires while the window is closed, the stack stops its window probes, and only the answer to a
/// keepalive then shows that the window is open again.
const STALL_PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// Maximum packets sent in one poll, enough for a full buffer. If more remain, the next poll is due
/// immediately.
const EGRESS_MAX: u32 = 16;

const IPV4_HOST_PREFIX: u8 = 32;
const IPV6_HOST_PREFIX: u8 = 128;

thread_local! {
    // smoltcp takes the timestamp generator as a plain function without captures, so the hint of
    // the endpoint being polled is passed in a thread-local.
    static HINT: Cell<u32> = const { Cell::new(0) };
}

/// Endpoint settings, the same for all flows of an agent.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timestamp value of every reply.
    pub hint: u32,
    /// Idle time after which the caller gets a keepalive probe.
    pub keepalive: Millis,
    /// Time between unanswered keepalive probes. Several must fit into the timeout, because links
    /// lose packets and a lost probe must not end a flow.
    pub probe_interval: Millis,
    /// Time without a packet from the caller after which an established flow is reset.
    pub timeout: Millis,
}

/// Connection state of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The handshake is not complete.
    HalfOpen,
    /// At least one direction is open.
    Established,
    /// Both directions closed in order; only retransmitted segments are still answered.
    Lingering,
    /// Both directions closed in order and the endpoint is finished.
    Closed,
    /// Reset by either end, or timed out.
    Reset,
}

/// TCP endpoint of one flow.
pub struct Endpoint {
    flow: FlowId,
    settings: Settings,
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    isn: Option<u32>,
    last_packet_at: Millis,
    idle_timeout: Millis,
    is_established: bool,
    is_local_closed: bool,
    is_remote_closed: bool,
}

impl Endpoint {
    /// Creates an endpoint that waits for the flow's initial SYN.
    ///
    /// The initial sequence number is derived from `seed`, which must differ between flows,
    /// agents and restarts of an agent.
    #[must_use]
    pub fn new(now: Millis, flow: FlowId, seed: u64, settings: Settings) -> Self {
        let iface = new_interface(now, &flow, seed);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(new_socket(&flow, settings));
        Self {
            flow,
            settings,
            iface,
            sockets,
            handle,
            isn: None,
            last_packet_at: now,
            idle_timeout: settings.timeout,
            is_established: false,
            is_local_closed: false,
            is_remote_closed: false,
        }
    }

    /// Processes a packet of the flow and appends immediate replies to `out`.
    ///
    /// Returns whether the packet was accepted. A packet of another flow or another handshake is
    /// not accepted.
    pub fn on_packet(
        &mut self,
        now: Millis,
        parsed: &Parsed,
        packet: &[u8],
        out: &mut Vec<Vec<u8>>,
    ) -> bool {
        if parsed.flow != self.flow || !self.accepts(parsed) {
            return false;
        }
        HINT.set(self.settings.hint);
        self.last_packet_at = now;
        self.idle_timeout = self.timeout_after(packet);
        self.set_probe_interval(now);
        let mut device = Device::new(Some(packet), out);
        let at = instant(now);
        self.iface
            .poll_ingress_single(at, &mut device, &mut self.sockets);
        self.note_progress();
        true
    }

    /// Runs due timers and appends the packets to send to `out`.
    ///
    /// Returns the time of the next call if no packet arrives before it.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) -> Option<Millis> {
        if self.is_gone() {
            return None;
        }
        HINT.set(self.settings.hint);
        self.set_probe_interval(now);
        let times_out_at = self.times_out_at();
        if times_out_at.is_some_and(|at| at <= now) {
            self.abort();
        }
        let mut device = Device::new(None, out);
        let at = instant(now);
        for _ in 0..EGRESS_MAX {
            let result = self.iface.poll_egress(at, &mut device, &mut self.sockets);
            if result == PollResult::None {
                break;
            }
        }
        self.note_isn(out);
        self.note_progress();
        let due = self.iface.poll_at(at, &self.sockets).map(millis);
        let due = due.into_iter().chain(self.times_out_at()).min()?;
        Some(due.max(now))
    }

    /// Current connection state.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.socket().state() {
            _ if self.is_gone() && self.is_local_closed && self.is_remote_closed => Stage::Closed,
            _ if self.is_gone() => Stage::Reset,
            tcp::State::TimeWait => Stage::Lingering,
            _ if self.is_established => Stage::Established,
            _ => Stage::HalfOpen,
        }
    }

    /// Initial sequence number of this end, or `None` before the SYN-ACK is built.
    #[must_use]
    pub const fn isn(&self) -> Option<u32> {
        self.isn
    }

    /// Whether there are bytes from the caller to read.
    #[must_use]
    pub fn can_read(&self) -> bool {
        self.socket().can_recv()
    }

    /// Whether the send buffer has space.
    #[must_use]
    pub fn can_write(&self) -> bool {
        self.socket().can_send()
    }

    /// Whether the caller has acknowledged every byte.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.socket().send_queue() == 0
    }

    /// Whether the caller closed its direction in order and all of its bytes were read.
    #[must_use]
    pub fn is_read_finished(&mut self) -> bool {
        matches!(self.socket_mut().peek(1), Err(tcp::RecvError::Finished))
    }

    /// Passes received bytes to `f`, which returns how many it consumed; returns that count.
    pub fn read_with(&mut self, f: impl FnOnce(&[u8]) -> usize) -> usize {
        let taken = self.socket_mut().recv(|buf| {
            let taken = f(buf);
            (taken, taken)
        });
        taken.unwrap_or(0)
    }

    /// Passes free send buffer space to `f`, which returns how many bytes it wrote; returns that
    /// count.
    pub fn write_with(&mut self, f: impl FnOnce(&mut [u8]) -> usize) -> usize {
        let put = self.socket_mut().send(|buf| {
            let put = f(buf);
            (put, put)
        });
        put.unwrap_or(0)
    }

    /// Copies received bytes into `into` and returns how many.
    pub fn read(&mut self, into: &mut [u8]) -> usize {
        self.socket_mut().recv_slice(into).unwrap_or(0)
    }

    /// Copies `bytes` into the send buffer and returns how many fitted.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Closes the direction to the caller after all written bytes.
    pub fn finish(&mut self) {
        self.is_local_closed = true;
        let socket = self.socket_mut();
        // The final acknowledgement must not be delayed, because the endpoint is dropped as soon
        // as both directions are closed.
        socket.set_ack_delay(None);
        socket.close();
    }

    /// Resets the flow; the next poll sends the RST.
    pub fn abort(&mut self) {
        self.socket_mut().abort();
    }

    fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.handle)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// Whether the socket is finished. An aborted socket is not until it has sent its RST.
    fn is_gone(&self) -> bool {
        let socket = self.socket();
        match socket.state() {
            tcp::State::Closed => socket.remote_endpoint().is_none(),
            // An RST during the handshake returns the socket to the listening state, which would
            // admit a second handshake in the same flow.
            tcp::State::Listen => self.isn.is_some(),
            _ => false,
        }
    }

    /// Whether the packet belongs to this endpoint's handshake or to the connection after it.
    fn accepts(&self, parsed: &Parsed) -> bool {
        let segment = &parsed.segment;
        match self.isn {
            _ if self.is_gone() => false,
            None => segment.is_initial_syn(),
            // The stack would reset a caller whose handshake another agent holds.
            Some(isn) if !self.is_established && segment.ack => {
                segment.ack_seq == isn.wrapping_add(1)
            }
            Some(_) => true,
        }
    }

    /// Reads the initial sequence number from the SYN-ACK, because the stack does not expose it.
    fn note_isn(&mut self, out: &[Vec<u8>]) {
        if self.isn.is_some() {
            return;
        }
        self.isn = out
            .iter()
            .filter_map(|packet| packet::parse(packet).ok())
            .find(|parsed| parsed.segment.syn && parsed.flow.service == self.flow.caller)
            .map(|parsed| parsed.segment.seq);
    }

    fn note_progress(&mut self) {
        match self.socket().state() {
            tcp::State::Closed
            | tcp::State::Listen
            | tcp::State::SynSent
            | tcp::State::SynReceived => {}
            tcp::State::Established | tcp::State::FinWait1 | tcp::State::FinWait2 => {
                self.note_established();
            }
            tcp::State::CloseWait
            | tcp::State::LastAck
            | tcp::State::Closing
            | tcp::State::TimeWait => {
                self.note_established();
                self.is_remote_closed = true;
            }
        }
    }

    fn note_established(&mut self) {
        if self.is_established {
            return;
        }
        self.is_established = true;
        self.set_probe_interval(self.last_packet_at);
    }

    /// Sets the keepalive interval for the current state.
    fn set_probe_interval(&mut self, now: Millis) {
        if !self.is_established {
            return;
        }
        let is_silent = now.since(self.last_packet_at) >= self.settings.keepalive;
        let interval = if !self.is_flushed() {
            STALL_PROBE_INTERVAL
        } else if is_silent {
            self.settings.probe_interval
        } else {
            self.settings.keepalive
        };
        let interval = duration(interval);
        self.socket_mut().set_keep_alive(Some(interval));
    }

    /// Idle timeout that applies after `packet`.
    fn timeout_after(&self, packet: &[u8]) -> Millis {
        let timeout = self.settings.timeout;
        match packet::window(packet) {
            Some(0) => Millis(timeout.0 * CLOSED_WINDOW_FACTOR),
            _ => timeout,
        }
    }

    /// Time at which the flow times out, or `None` before the handshake is complete.
    ///
    /// The stack's own timeout is not used, because it ignores keepalives from the caller.
    fn times_out_at(&self) -> Option<Millis> {
        if !self.is_established {
            return None;
        }
        Some(self.last_packet_at.after(self.idle_timeout))
    }
}

fn new_interface(now: Millis, flow: &FlowId, seed: u64) -> Interface {
    let mut cfg = Config::new(HardwareAddress::Ip);
    cfg.random_seed = seed;
    let mut out = Vec::new();
    let mut iface = Interface::new(cfg, &mut Device::new(None, &mut out), instant(now));
    let prefix = match flow.service.ip() {
        IpAddr::V4(_) => IPV4_HOST_PREFIX,
        IpAddr::V6(_) => IPV6_HOST_PREFIX,
    };
    let cidr = IpCidr::new(flow.service.ip().into(), prefix);
    iface.update_ip_addrs(|addrs| {
        // The list is empty, so this cannot fail.
        let _ = addrs.push(cidr);
    });
    iface
}

fn new_socket(flow: &FlowId, settings: Settings) -> tcp::Socket<'static> {
    let rx = tcp::SocketBuffer::new(vec![0; BUFFER_LEN]);
    let tx = tcp::SocketBuffer::new(vec![0; BUFFER_LEN]);
    let mut socket = tcp::Socket::new(rx, tx);
    socket.set_tsval_generator(Some(|| HINT.get()));
    // Bytes from the target are forwarded without delay.
    socket.set_nagle_enabled(false);
    // Enabling keepalive later would send a probe immediately.
    socket.set_keep_alive(Some(duration(settings.keepalive)));
    // Listening fails only on port zero, which no parsed packet has; the endpoint would then
    // accept no packet.
    let _ = socket.listen(flow.service);
    socket
}

fn instant(at: Millis) -> Instant {
    Instant::from_millis(i64::try_from(at.0).unwrap_or(i64::MAX))
}

fn millis(at: Instant) -> Millis {
    // Rounded up: a call before the deadline would do nothing and be repeated immediately.
    let micros = u64::try_from(at.total_micros()).unwrap_or(0);
    Millis(micros.div_ceil(1_000))
}

fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Shows the caller's address and the connection state.
impl std::fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let caller: SocketAddr = self.flow.caller;
        f.debug_struct("Endpoint")
            .field("caller", &caller)
            .field("stage", &self.stage())
            .finish_non_exhaustive()
    }
}
