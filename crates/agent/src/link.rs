//! What passes between the control thread and the traffic thread.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use citronhollow_core::config::Revision;
use citronhollow_core::members::{TargetRecord, TargetState};

/// From the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum TrafficCommand {
    /// Where the target listens, and how many requests it can work on at once.
    Target {
        /// TCP address on this VM.
        address: SocketAddr,
        /// Requests it can work on at once.
        slots: u16,
    },
    /// The state that the record announces from now on.
    State(TargetState),
    /// Every target that may hold a flow of this target's services, this one included.
    Peers(Vec<TargetRecord>),
    /// A balancer said that the peers have not changed.
    PeersConfirmed,
    /// The services, pools and rules that concern this target's group.
    Services(Revision),
}

/// From the traffic thread to the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlCommand {
    /// An operator asked this agent to drain its target, or to stop doing so.
    Drain {
        /// Whether the target drains.
        on: bool,
        /// Who gets the heartbeat that answers.
        reply_to: SocketAddr,
    },
    /// The target refuses connections, or takes them again.
    TargetReachable(bool),
}

/// Figures that the traffic thread keeps up to date.
#[derive(Debug, Default)]
pub struct TrafficStats {
    open: AtomicU32,
    malformed: AtomicU64,
    dropped: AtomicU64,
    refused: AtomicU64,
    unsent: AtomicU64,
    opened: AtomicU64,
    redirected: AtomicU64,
    passed: AtomicU64,
    asked: AtomicU64,
}

macro_rules! sums {
    ($($(#[$doc:meta])* $name:ident, $count:ident;)*) => {
        impl TrafficStats {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(&self) -> u64 {
                    self.$name.load(Ordering::Relaxed)
                }

                /// Counts so many more.
                pub fn $count(&self, more: usize) {
                    self.$name.fetch_add(more as u64, Ordering::Relaxed);
                }
            )*
        }
    };
}

sums!(
    /// Datagrams that were not authentic or made no sense.
    malformed, count_malformed;
    /// Packets that the decisions dropped, or that a flow had no room for.
    dropped, count_dropped;
    /// Flows and packets refused.
    refused, count_refused;
    /// Datagrams that could not be sent.
    unsent, count_unsent;
    /// Flows accepted.
    opened, count_opened;
    /// New flows redirected to a peer.
    redirected, count_redirected;
    /// Packets passed to the peer that may hold their flow.
    passed, count_passed;
    /// Questions to peers about an unknown flow.
    asked, count_asked;
);

impl TrafficStats {
    /// Flows held.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Records the flows held.
    pub fn set_open(&self, open: usize) {
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        self.open.store(open, Ordering::Relaxed);
    }
}
