//! Stand-in of the fabric: sprays packets over the balancers and receives packets for callers.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_535;

/// Faults that the fabric applies to packets to a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Fraction of packets lost, 0 to 1.
    pub loss: f64,
    /// Fraction of packets duplicated, 0 to 1.
    pub duplication: f64,
}

/// A fabric on loopback.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
    balancers: Vec<SocketAddr>,
    faults: Faults,
    rng: SmallRng,
}

impl Fabric {
    /// Creates a fabric whose [`Self::receive`] waits up to `wait` for a packet.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn bind(wait: Duration, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(wait))?;
        Ok(Self {
            socket,
            balancers: Vec::new(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
        })
    }

    /// Address to which agents send packets for callers.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Replaces the balancers over which packets are sprayed.
    pub fn set_balancers(&mut self, balancers: Vec<SocketAddr>) {
        self.balancers = balancers;
    }

    /// Replaces the faults in force.
    pub const fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Sends a caller's packet to a random balancer.
    pub fn send(&mut self, packet: &[u8]) {
        if self.balancers.is_empty() || self.rng.random_bool(self.faults.loss) {
            return;
        }
        self.spray(packet);
        if self.rng.random_bool(self.faults.duplication) {
            self.spray(packet);
        }
    }

    /// Receives a packet for a caller, or returns `None` after the waiting time.
    #[must_use]
    pub fn receive(&self) -> Option<Vec<u8>> {
        let mut buf = vec![0; MAX_DATAGRAM];
        let len = self.socket.recv(&mut buf).ok()?;
        Some(buf[..len].to_vec())
    }

    fn spray(&mut self, packet: &[u8]) {
        let at = self.rng.random_range(0..self.balancers.len());
        // Errors are ignored: a real fabric also keeps sending to a balancer that is gone.
        let _ = self.socket.send_to(packet, self.balancers[at]);
    }
}
