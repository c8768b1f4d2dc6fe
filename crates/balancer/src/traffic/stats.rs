//! Counters of the traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::status::{RefusalCount, TrafficStatus};
use derive_more::Display;

/// One kind of event on the traffic path.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[repr(usize)]
pub enum Event {
    /// Forwarded by the routing table.
    #[display("forwarded_by_table")]
    ByTable,
    /// Forwarded by the caller's hint.
    #[display("forwarded_by_hint")]
    ByHint,
    /// Dropped: not a valid TCP packet.
    #[display("dropped_malformed")]
    Malformed,
    /// Dropped: no service has the destination.
    #[display("dropped_unknown_service")]
    UnknownService,
    /// Dropped: the envelope would not fit into a datagram.
    #[display("dropped_too_long")]
    TooLong,
    /// Dropped: a packet of an existing flow, with no agent to forward it to.
    #[display("dropped_no_target")]
    NoTarget,
    /// Refused with a RST: no target takes new flows.
    #[display("refused_no_target")]
    RefusedNoTarget,
    /// Sending the datagram failed.
    #[display("send_failed")]
    SendFailed,
}

impl Event {
    /// All kinds, in the order of the counters.
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
    /// The counters as shown to operators.
    #[must_use]
    pub fn status(&self) -> TrafficStatus {
        // A datagram that could not be sent is already counted by its verdict.
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
