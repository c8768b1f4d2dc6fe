//! Messages and stats exchanged between the control thread and the traffic thread.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use citronhollow_core::config::Revision;
use citronhollow_core::members::{TargetRecord, TargetState};

/// A command from the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum TrafficCommand {
    /// The target's address and capacity.
    Target {
        /// TCP address on this VM.
        address: SocketAddr,
        /// Number of requests that the target can process concurrently.
        slots: u16,
    },
    /// The target's state, as this agent's record announces it.
    State(TargetState),
    /// Every target that may hold a flow of this target's services, including this one.
    Peers(Vec<TargetRecord>),
    /// A balancer confirmed that the peers have not changed.
    PeersConfirmed,
    /// The services, pools and rules that apply to this target's group.
    Services(Revision),
}

/// A command from the traffic thread to the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlCommand {
    /// An operator requested that the target drains, or ended the drain.
    Drain {
        /// Whether the target drains.
        on: bool,
        /// Address to which a heartbeat is sent in reply.
        reply_to: SocketAddr,
    },
    /// Whether the target accepts connections. Sent when that changes.
    TargetReachable(bool),
}

/// Counters and gauges that the traffic thread updates.
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

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident, $count:ident;)*) => {
        impl TrafficStats {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(&self) -> u64 {
                    self.$name.load(Ordering::Relaxed)
                }

                /// Adds `more` to the counter.
                pub fn $count(&self, more: usize) {
                    self.$name.fetch_add(more as u64, Ordering::Relaxed);
                }
            )*
        }
    };
}

counters!(
    /// Datagrams that failed authentication or could not be decoded.
    malformed, count_malformed;
    /// Packets dropped by the flow table, or because a flow's mailbox was full.
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
    /// Questions sent to peers about an unknown flow.
    asked, count_asked;
);

impl TrafficStats {
    /// Number of open flows.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sets the number of open flows.
    pub fn set_open(&self, open: usize) {
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        self.open.store(open, Ordering::Relaxed);
    }
}
