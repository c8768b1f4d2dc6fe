//! Threads that forward callers' packets to agents.
//!
//! Each thread has its own socket on the fabric's address and its own forwarder, and reads the
//! current [`Routes`] without a lock. Nothing here waits for the control thread, so neither an
//! unavailable platform nor a busy control thread delays a packet.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use citronhollow_core::routes::Routes;
use citronhollow_peer::Keyring;
use socket2::{Domain, Protocol, Socket, Type};

use crate::settings::Settings;

mod forwarder;
mod stats;

pub use forwarder::{Forwarder, Verdict};
pub use stats::{Event, TrafficStats};

/// Largest packet that the fabric delivers, in bytes.
const MAX_PACKET: usize = 65_535;

/// Receive timeout, after which a thread checks the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Socket receive buffer requested from the kernel, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1_024 * 1_024;

/// The running threads.
#[derive(Debug)]
pub struct TrafficHandle {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    stats: Arc<TrafficStats>,
    local_addr: SocketAddr,
}

impl TrafficHandle {
    /// Counters of the threads.
    #[must_use]
    pub fn stats(&self) -> Arc<TrafficStats> {
        Arc::clone(&self.stats)
    }

    /// The address that receives the fabric's packets.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops the threads and waits for them.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("traffic: a thread panicked");
            }
        }
    }
}

/// Starts the threads.
///
/// # Errors
///
/// The error of creating a socket or a thread.
pub fn spawn(
    settings: &Settings,
    keys: &Keyring,
    routes: &Arc<ArcSwap<Routes>>,
) -> io::Result<TrafficHandle> {
    let stats = Arc::new(TrafficStats::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let mut local_addr = settings.fabric_listen;
    for number in 0..settings.traffic_threads.max(1) {
        let socket = bind(local_addr)?;
        local_addr = socket.local_addr()?;
        let worker = Worker {
            socket,
            forwarder: Forwarder::new(keys.clone(), settings.trace_one_in),
            routes: Arc::clone(routes),
            stats: Arc::clone(&stats),
            stop: Arc::clone(&stop),
        };
        let thread = std::thread::Builder::new()
            .name(format!("traffic-{number}"))
            .spawn(move || worker.run())?;
        threads.push(thread);
    }
    Ok(TrafficHandle {
        threads,
        stop,
        stats,
        local_addr,
    })
}

/// Binds a socket of a traffic thread.
///
/// All threads bind the same address, and the kernel distributes the packets among them.
///
/// # Errors
///
/// The error of the socket.
pub fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_read_timeout(Some(STOP_CHECK))?;
    socket.bind(&addr.into())?;
    Ok(socket.into())
}

struct Worker {
    socket: UdpSocket,
    forwarder: Forwarder,
    routes: Arc<ArcSwap<Routes>>,
    stats: Arc<TrafficStats>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn run(mut self) {
        let mut packet = vec![0; MAX_PACKET];
        while !self.stop.load(Ordering::Relaxed) {
            match self.socket.recv_from(&mut packet) {
                Ok((len, fabric)) => self.handle(&packet[..len], fabric),
                Err(err) if is_idle(&err) => {}
                Err(err) => log::warn!("traffic: receiving failed: {err}"),
            }
        }
    }

    fn handle(&mut self, packet: &[u8], fabric: SocketAddr) {
        let routes = self.routes.load();
        let verdict = self.forwarder.forward(&routes, packet);
        self.stats.add(verdict.event());
        let sent = match verdict {
            Verdict::Forward { frame, to, .. } => self.socket.send_to(frame, to),
            Verdict::Answer { packet } => self.socket.send_to(&packet, fabric),
            Verdict::Drop(_) => return,
        };
        if sent.is_err() {
            // A full send buffer needs no retry here: the caller's TCP retransmits.
            self.stats.add(Event::SendFailed);
        }
    }
}

fn is_idle(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
