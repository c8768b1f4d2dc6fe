//! What the traffic threads count.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;

/// One kind of event on the traffic path.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[repr(usize)]
pub enum Figure {
    /// Forwarded as the table says.
    #[display("forwarded_by_table")]
    ByTable,
    /// Forwarded as the caller's hint says.
    #[display("forwarded_by_hint")]
    ByHint,
    /// Dropped: no packet of TCP.
    #[display("dropped_malformed")]
    Malformed,
    /// Dropped: no service has the destination.
    #[display("dropped_unknown_service")]
    UnknownService,
    /// Dropped: the envelope would not fit a datagram.
    #[display("dropped_too_long")]
    TooLong,
    /// Dropped: no agent can be given the packet of an existing flow.
    #[display("dropped_no_target")]
    NoTarget,
    /// Refused with a reset: no target takes new flows.
    #[display("refused_no_target")]
    RefusedNoTarget,
    /// The socket did not take the datagram.
    #[display("send_failed")]
    SendFailed,
}

impl Figure {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 8] = [
        Self::ByTable,
        Self::ByHint,
        Self::Malformed,
        Self::UnknownService,
        Self::TooLong,
        Self::NoTarget,
        Self::RefusedNoTarget,
        Self::SendFailed,
    ];
}

/// Counters shared by the traffic threads.
#[derive(Debug, Default)]
pub struct TrafficFigures {
    counters: [AtomicU64; Figure::ALL.len()],
}

impl TrafficFigures {
    /// Counts one event.
    pub fn add(&self, figure: Figure) {
        self.counters[figure as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Events of a kind since the start.
    #[must_use]
    pub fn get(&self, figure: Figure) -> u64 {
        self.counters[figure as usize].load(Ordering::Relaxed)
    }
}
