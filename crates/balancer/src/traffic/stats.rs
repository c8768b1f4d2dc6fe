//! What the traffic threads count.

use std::sync::atomic::{AtomicU64, Ordering};

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::status::{RefusalCount, TrafficStatus};
use derive_more::Display;

/// One kind of event on the traffic path.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[repr(usize)]
pub enum Event {
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

impl Event {
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
pub struct TrafficStats {
    counters: [AtomicU64; Event::ALL.len()],
}

impl TrafficStats {
    /// Counts one event.
    pub fn add(&self, event: Event) {
        self.counters[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Events of a kind since the start.
    #[must_use]
    pub fn get(&self, event: Event) -> u64 {
        self.counters[event as usize].load(Ordering::Relaxed)
    }
}

impl TrafficStats {
    /// The counts as an operator sees them.
    #[must_use]
    pub fn status(&self) -> TrafficStatus {
        // A datagram that the socket did not take was counted by its verdict already.
        let verdicts = Event::ALL.iter().filter(|kind| **kind != Event::SendFailed);
        let refused = [
            (ErrorKind::UnknownService, self.get(Event::UnknownService)),
            (
                ErrorKind::NoTarget,
                self.get(Event::NoTarget) + self.get(Event::RefusedNoTarget),
            ),
        ];
        TrafficStatus {
            packets: verdicts.map(|kind| self.get(*kind)).sum(),
            forwarded: self.get(Event::ByTable) + self.get(Event::ByHint),
            malformed: self.get(Event::Malformed) + self.get(Event::TooLong),
            refused: refused
                .into_iter()
                .filter(|(_, count)| *count > 0)
                .map(|(kind, count)| RefusalCount { kind, count })
                .collect(),
        }
    }
}
