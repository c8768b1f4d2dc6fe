//! Messages between the control thread and the traffic thread of a balancer.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::id::TargetId;
use tokio::sync::oneshot;

/// From the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// Put a revision in force if it is newer than the current one.
    Revision(Arc<Revision>),
    /// Addresses at which other balancers may listen.
    Balancers(Vec<SocketAddr>),
    /// Targets that the platform lists, with the addresses of their agents. The list may lack some
    /// if it was read before this balancer's own entry was written.
    Agents {
        /// Targets and the addresses of their agents.
        listed: Vec<(TargetId, SocketAddr)>,
        /// Whether the list has all targets: it was read after this balancer's entry was written.
        is_complete: bool,
        /// When the traffic thread requested the list, `None` if it did not or if the list may be
        /// older than the request.
        requested_at: Option<Millis>,
    },
    /// The platform's store was restored from a backup, so its lists may be incomplete.
    InvalidateLists,
    /// Request for the addresses of the processes that sent a message within the given time. The
    /// reply is `None` while this balancer may be isolated.
    ActiveProcesses(Millis, oneshot::Sender<Option<HashSet<SocketAddr>>>),
    /// Stop the traffic thread because the process ends.
    Stop,
}

/// From the traffic thread to the control thread.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Another balancer has a newer revision.
    NewerRevision {
        /// Address of the balancer.
        at: SocketAddr,
        /// Number of the revision at that balancer.
        number: u64,
    },
}

/// State shared by both threads.
#[derive(Debug, Default)]
pub struct Shared {
    /// Whether callers can be served.
    pub is_ready: AtomicBool,
    /// Arrival time of the last packet of a caller, in ms since the start of the process.
    last_packet: AtomicU64,
    /// Era of the platform's store, zero for none.
    pub store_era: AtomicU64,
}

impl Shared {
    /// Records the arrival of a caller's packet.
    pub fn on_packet(&self, now: Millis) {
        self.last_packet.store(now.0, Ordering::Relaxed);
    }

    /// Arrival time of the last packet of a caller, since the start of the process.
    pub fn last_packet(&self) -> Millis {
        Millis(self.last_packet.load(Ordering::Relaxed))
    }
}
