//! The TCP endpoint that one caller talks to.
//!
//! Each flow has an interface and a socket of its own, so that the cost of a packet does not grow
//! with the number of flows and the service's address need not be one of the VM. The endpoint is
//! a state machine: packets and the time go in, packets and the next deadline come out.
//!
//! The timestamp value of every reply is the hint of the target, which the caller echoes, so that
//! a balancer finds the holder of the flow from any later packet.

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

/// Factor of the timeout for a caller that takes no bytes at the moment. The stack probes a closed
/// window less and less often, down to once a minute, and a few lost probes must not end the flow.
const CLOSED_WINDOW_FACTOR: u64 = 4;

/// Time between probes while bytes wait for the caller. The stack stops to probe a closed window
/// when the retransmission timer expires in it, so that only the keepalive learns of its opening.
const STALL_PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// Packets sent in one poll, enough for a full buffer. What is left is due at once.
const EGRESS_MAX: u32 = 16;

const IPV4_HOST_PREFIX: u8 = 32;
const IPV6_HOST_PREFIX: u8 = 128;

thread_local! {
    // The generator is a plain function, so the hint of the endpoint that is being polled reaches
    // it through the thread.
    static HINT: Cell<u32> = const { Cell::new(0) };
}

/// How endpoints behave, alike for all flows of an agent.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timestamp value of every reply.
    pub hint: u32,
    /// Idle time after which the caller is probed.
    pub keepalive: Millis,
    /// Time between probes that have no answer. Several have to fit into the timeout, because
    /// links lose packets and a lost probe must not end a flow.
    pub probe_interval: Millis,
    /// Silence after which the caller of an established flow is given up.
    pub timeout: Millis,
}

/// Life of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The handshake is not complete.
    HalfOpen,
    /// Bytes may pass in at least one direction.
    Established,
    /// Both directions ended in order, only repeated segments are still answered.
    Lingering,
    /// Both directions ended in order and nothing more will come.
    Closed,
    /// Reset by either end, or given up.
    Reset,
}

/// One flow's TCP endpoint.
pub struct Endpoint {
    flow: FlowId,
    settings: Settings,
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    isn: Option<u32>,
    heard_at: Millis,
    patience: Millis,
    is_established: bool,
    is_ended_here: bool,
    is_ended_there: bool,
}

impl Endpoint {
    /// An endpoint that waits for the flow's opening packet.
    ///
    /// The initial sequence number is drawn from `seed`, which has to differ between flows,
    /// agents and starts of an agent.
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
            heard_at: now,
            patience: settings.timeout,
            is_established: false,
            is_ended_here: false,
            is_ended_there: false,
        }
    }

    /// Takes a packet of the flow. What answers it at once is appended to `out`.
    ///
    /// Returns whether the packet was taken: one that does not belong to this handshake is not.
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
        self.heard_at = now;
        self.patience = self.patience_after(packet);
        self.set_probe_pace(now);
        let mut device = Device::new(Some(packet), out);
        let at = instant(now);
        self.iface
            .poll_ingress_single(at, &mut device, &mut self.sockets);
        self.note_progress();
        true
    }

    /// Does what is due and appends the packets that are to be sent.
    ///
    /// Returns when to call again if nothing happens until then.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) -> Option<Millis> {
        if self.is_gone() {
            return None;
        }
        HINT.set(self.settings.hint);
        self.set_probe_pace(now);
        let gives_up_at = self.gives_up_at();
        if gives_up_at.is_some_and(|at| at <= now) {
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
        let due = due.into_iter().chain(self.gives_up_at()).min()?;
        Some(due.max(now))
    }

    /// Where the endpoint is in its life.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.socket().state() {
            _ if self.is_gone() && self.is_ended_here && self.is_ended_there => Stage::Closed,
            _ if self.is_gone() => Stage::Reset,
            tcp::State::TimeWait => Stage::Lingering,
            _ if self.is_established => Stage::Established,
            _ => Stage::HalfOpen,
        }
    }

    /// Initial sequence number of this end, none before the SYN-ACK was built.
    #[must_use]
    pub const fn isn(&self) -> Option<u32> {
        self.isn
    }

    /// Whether bytes of the caller wait to be read.
    #[must_use]
    pub fn can_read(&self) -> bool {
        self.socket().can_recv()
    }

    /// Whether there is room for bytes to the caller.
    #[must_use]
    pub fn can_write(&self) -> bool {
        self.socket().can_send()
    }

    /// Whether every byte to the caller was acknowledged.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.socket().send_queue() == 0
    }

    /// Whether the caller ended its direction in order and every byte of it was read.
    #[must_use]
    pub fn is_read_finished(&mut self) -> bool {
        matches!(self.socket_mut().peek(1), Err(tcp::RecvError::Finished))
    }

    /// Shows bytes of the caller to `f` and drops as many as it says.
    pub fn read_with(&mut self, f: impl FnOnce(&[u8]) -> usize) -> usize {
        let taken = self.socket_mut().recv(|buf| {
            let taken = f(buf);
            (taken, taken)
        });
        taken.unwrap_or(0)
    }

    /// Lets `f` fill room for bytes to the caller and sends as many as it says.
    pub fn write_with(&mut self, f: impl FnOnce(&mut [u8]) -> usize) -> usize {
        let put = self.socket_mut().send(|buf| {
            let put = f(buf);
            (put, put)
        });
        put.unwrap_or(0)
    }

    /// Copies bytes of the caller, and returns how many.
    pub fn read(&mut self, into: &mut [u8]) -> usize {
        self.socket_mut().recv_slice(into).unwrap_or(0)
    }

    /// Copies bytes to the caller, and returns how many there was room for.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Ends the direction to the caller after the bytes that were written.
    pub fn finish(&mut self) {
        self.is_ended_here = true;
        let socket = self.socket_mut();
        // The last acknowledgement of the flow goes out at once, because the endpoint is dropped
        // as soon as both directions have ended.
        socket.set_ack_delay(None);
        socket.close();
    }

    /// Resets the flow with the next poll.
    pub fn abort(&mut self) {
        self.socket_mut().abort();
    }

    fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.handle)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// Whether the socket has nothing more to send. An aborted one still has its reset to send.
    fn is_gone(&self) -> bool {
        let socket = self.socket();
        match socket.state() {
            tcp::State::Closed => socket.remote_endpoint().is_none(),
            // A reset of the handshake brings the socket back to listening, which would let a
            // second handshake into the same flow.
            tcp::State::Listen => self.isn.is_some(),
            _ => false,
        }
    }

    /// Whether the packet belongs to this endpoint's handshake or to what followed it.
    fn accepts(&self, parsed: &Parsed) -> bool {
        let segment = &parsed.segment;
        match self.isn {
            _ if self.is_gone() => false,
            None => segment.is_initial_syn(),
            // The stack would reset a caller whose handshake is held by another agent.
            Some(isn) if !self.is_established && segment.ack => {
                segment.ack_seq == isn.wrapping_add(1)
            }
            Some(_) => true,
        }
    }

    /// Learns the initial sequence number, which the stack keeps to itself, from its SYN-ACK.
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
                self.is_ended_there = true;
            }
        }
    }

    fn note_established(&mut self) {
        if self.is_established {
            return;
        }
        self.is_established = true;
        self.set_probe_pace(self.heard_at);
    }

    /// Sets how often the caller is probed.
    fn set_probe_pace(&mut self, now: Millis) {
        if !self.is_established {
            return;
        }
        let is_silent = now.since(self.heard_at) >= self.settings.keepalive;
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

    /// Silence that is borne after a packet.
    fn patience_after(&self, packet: &[u8]) -> Millis {
        let timeout = self.settings.timeout;
        match packet::window(packet) {
            Some(0) => Millis(timeout.0 * CLOSED_WINDOW_FACTOR),
            _ => timeout,
        }
    }

    /// When the caller is given up, none before the handshake is complete.
    ///
    /// The stack has a timeout of its own, but it does not count a caller's keepalives as signs
    /// of life.
    fn gives_up_at(&self) -> Option<Millis> {
        if !self.is_established {
            return None;
        }
        Some(self.heard_at.after(self.patience))
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
        // The list is empty, so there is room.
        let _ = addrs.push(cidr);
    });
    iface
}

fn new_socket(flow: &FlowId, settings: Settings) -> tcp::Socket<'static> {
    let rx = tcp::SocketBuffer::new(vec![0; BUFFER_LEN]);
    let tx = tcp::SocketBuffer::new(vec![0; BUFFER_LEN]);
    let mut socket = tcp::Socket::new(rx, tx);
    socket.set_tsval_generator(Some(|| HINT.get()));
    // What the target wrote is passed on as it comes.
    socket.set_nagle_enabled(false);
    // Set later, it would send a probe at once.
    socket.set_keep_alive(Some(duration(settings.keepalive)));
    // Listening fails only on port zero, which no parsed packet has; the endpoint then refuses
    // every packet.
    let _ = socket.listen(flow.service);
    socket
}

fn instant(at: Millis) -> Instant {
    Instant::from_millis(i64::try_from(at.0).unwrap_or(i64::MAX))
}

fn millis(at: Instant) -> Millis {
    // Rounded up: a call before the deadline would do nothing and come again at once.
    let micros = u64::try_from(at.total_micros()).unwrap_or(0);
    Millis(micros.div_ceil(1_000))
}

fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// The two ends of a flow as the caller's stack names them.
impl std::fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let caller: SocketAddr = self.flow.caller;
        f.debug_struct("Endpoint")
            .field("caller", &caller)
            .field("stage", &self.stage())
            .finish_non_exhaustive()
    }
}
