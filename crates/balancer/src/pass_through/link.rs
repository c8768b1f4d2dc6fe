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
    /// Put a revision in force, unless it is older.
    Revision(Arc<Revision>),
    /// Other balancers may be at these addresses.
    Balancers(Vec<SocketAddr>),
    /// The platform lists these targets, with the addresses of their agents. All of them if the
    /// list is not from before the start of this process.
    Agents {
        /// The targets.
        listed: Vec<(TargetId, SocketAddr)>,
        /// The list was read after the start.
        is_complete: bool,
    },
    /// The platform has come back from a copy, so that its lists may lack somebody.
    InvalidateLists,
    /// Answered with the addresses of the processes that were heard within the time.
    ActiveProcesses(Millis, oneshot::Sender<Option<HashSet<SocketAddr>>>),
    /// The process ends.
    Stop,
}

/// From the traffic thread to the control thread.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Another balancer has a newer revision.
    NewerRevision {
        /// The balancer.
        at: SocketAddr,
        /// The number there.
        number: u64,
    },
}

/// What both threads read at any time.
#[derive(Debug, Default)]
pub struct Shared {
    /// Callers can be served.
    pub is_ready: AtomicBool,
    /// When the last packet of a caller came, in ms since the start.
    last_packet: AtomicU64,
    /// Era of the platform's data, zero for none.
    pub store_era: AtomicU64,
}

impl Shared {
    /// Notes that a caller's packet came.
    pub fn on_packet(&self, now: Millis) {
        self.last_packet.store(now.0, Ordering::Relaxed);
    }

    /// When the last packet of a caller came.
    pub fn last_packet(&self) -> Millis {
        Millis(self.last_packet.load(Ordering::Relaxed))
    }
}
