//! A caller's TCP connection, with packets as its input and output.

use std::collections::VecDeque;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet, SocketStorage};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, Ipv4Address};

/// Largest packet that a caller sends, in bytes.
const MTU: usize = 1_320;

/// Size of each of the two buffers, in bytes.
const BUFFER: usize = 16 * 1_024;

/// Constant value of the TCP timestamp option. Sending the option asks the other end to use
/// timestamps too.
fn timestamp() -> u32 {
    1
}

/// The caller's end of a connection.
pub struct Caller {
    flow: FlowId,
    link: Link,
    iface: Interface,
    sockets: SocketSet<'static>,
    socket: SocketHandle,
}

impl Caller {
    /// Starts a connection; the first poll returns the initial SYN.
    ///
    /// # Panics
    ///
    /// Panics if `flow` is not IPv4 or has an unspecified address or port.
    #[must_use]
    pub fn connect(flow: FlowId, seed: u64, with_timestamps: bool) -> Self {
        let mut link = Link::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut link, Instant::ZERO);
        let ip = IpAddress::from(flow.caller.ip());
        iface.update_ip_addrs(|addrs| {
            addrs
                .push(IpCidr::new(ip, 32))
                .expect("an interface has room for one address");
        });
        iface
            .routes_mut()
            .add_default_ipv4_route(Ipv4Address::new(10, 255, 255, 254))
            .expect("an interface has room for one route");
        let mut socket = Socket::new(
            SocketBuffer::new(vec![0; BUFFER]),
            SocketBuffer::new(vec![0; BUFFER]),
        );
        if with_timestamps {
            socket.set_tsval_generator(Some(timestamp));
        }
        socket.set_nagle_enabled(false);
        let service = (IpAddress::from(flow.service.ip()), flow.service.port());
        socket
            .connect(iface.context(), service, flow.caller.port())
            .expect("both ends are specified");
        let mut sockets = SocketSet::new(vec![SocketStorage::EMPTY]);
        let socket = sockets.add(socket);
        Self {
            flow,
            link,
            iface,
            sockets,
            socket,
        }
    }

    /// Addresses of both ends.
    #[must_use]
    pub const fn flow(&self) -> FlowId {
        self.flow
    }

    /// Address of the caller, to which packets of this connection are sent.
    #[must_use]
    pub const fn local(&self) -> SocketAddr {
        self.flow.caller
    }

    /// Queues a received packet for the next poll.
    pub fn receive(&mut self, packet: Vec<u8>) {
        self.link.incoming.push_back(packet);
    }

    /// Processes queued packets and due timers, and appends the packets to send to `out`.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        let now = Instant::from_millis(i64::try_from(now.0).unwrap_or(i64::MAX));
        self.iface.poll(now, &mut self.link, &mut self.sockets);
        out.extend(self.link.outgoing.drain(..));
    }

    /// Queues bytes to send and returns how many fitted into the buffer.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket().send_slice(bytes).unwrap_or(0)
    }

    /// Appends the received bytes to `into`.
    pub fn read(&mut self, into: &mut Vec<u8>) {
        let mut chunk = [0; 2_048];
        while let Ok(len @ 1..) = self.socket().recv_slice(&mut chunk) {
            into.extend_from_slice(&chunk[..len]);
        }
    }

    /// Half-closes the connection: no more bytes are sent.
    pub fn close(&mut self) {
        self.socket().close();
    }

    /// Resets the connection.
    pub fn abort(&mut self) {
        self.socket().abort();
    }

    /// Whether the handshake is complete and the connection is still open.
    #[must_use]
    pub fn is_established(&mut self) -> bool {
        matches!(
            self.socket().state(),
            State::Established | State::CloseWait | State::FinWait1 | State::FinWait2
        )
    }

    /// Whether the connection was closed in order or reset.
    #[must_use]
    pub fn is_closed(&mut self) -> bool {
        matches!(self.socket().state(), State::Closed | State::TimeWait)
    }

    /// Whether the other end has closed its direction and all of its bytes were read.
    #[must_use]
    pub fn is_at_end(&mut self) -> bool {
        !self.socket().may_recv()
    }

    fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.socket)
    }
}

/// Packet queues that replace a network interface.
#[derive(Debug, Default)]
struct Link {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

struct Incoming(Vec<u8>);

struct Outgoing<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for Link {
    type RxToken<'a> = Incoming;
    type TxToken<'a> = Outgoing<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Incoming, Outgoing<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((Incoming(packet), Outgoing(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Outgoing<'_>> {
        Some(Outgoing(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU;
        caps
    }
}

impl RxToken for Incoming {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl TxToken for Outgoing<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
