//! Liveness of the other balancers, by probing.
//!
//! Each process tracks this locally and does not gossip it. A peer that leaves several probes
//! unanswered gets no pushes and is only probed from time to time, so that two regions find each
//! other again after a network partition ends. A peer is announced as gone only after it has been
//! silent for longer than a partition lasts.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::BalancerId;
use crate::members::{BalancerRecord, Balancers};

/// Timeout after which an unanswered probe is retried.
pub const PROBE_RETRY: Millis = Millis::from_secs(1);

/// Consecutive unanswered probes after which a peer gets no pushes.
pub const PROBES_MAX: u32 = 4;

/// Interval between probes of a peer that has left [`PROBES_MAX`] probes unanswered.
pub const PROBE_SILENT_EVERY: Millis = Millis::from_secs(10);

/// Silence after which a peer is considered gone. Network partitions between regions last only
/// minutes.
pub const GONE_AFTER: Millis = Millis::from_secs(30 * 60);

#[derive(Clone, Copy, Debug)]
struct Probe {
    peer: BalancerRecord,
    first_at: Millis,
    last_at: Millis,
    sent: u32,
}

/// Unanswered probes by peer.
#[derive(Debug, Default)]
pub struct Liveness {
    probes: BTreeMap<BalancerId, Probe>,
}

impl Liveness {
    /// Records that a probe is sent.
    pub fn on_probe(&mut self, now: Millis, peer: BalancerRecord) {
        let probe = self.probes.entry(peer.id).or_insert(Probe {
            peer,
            first_at: now,
            last_at: now,
            sent: 0,
        });
        probe.peer = peer;
        probe.last_at = now;
        probe.sent = probe.sent.saturating_add(1);
    }

    /// Records an answer, which clears the peer's unanswered probes.
    pub fn on_answer(&mut self, id: BalancerId) {
        self.probes.remove(&id);
    }

    /// Whether a peer has fewer than [`PROBES_MAX`] unanswered probes.
    #[must_use]
    pub fn is_reachable(&self, id: BalancerId) -> bool {
        self.probes
            .get(&id)
            .is_none_or(|probe| probe.sent < PROBES_MAX)
    }

    /// Whether any peer has left [`PROBES_MAX`] probes unanswered.
    #[must_use]
    pub fn has_silent(&self) -> bool {
        self.probes.values().any(|probe| probe.sent >= PROBES_MAX)
    }

    /// A silent peer that is due for another probe, unless it is leaving.
    #[must_use]
    pub fn next_probe(&self, now: Millis, known: &Balancers) -> Option<BalancerRecord> {
        self.probes
            .values()
            .filter(|probe| probe.sent >= PROBES_MAX)
            .filter(|probe| now.since(probe.last_at) >= PROBE_SILENT_EVERY)
            .find_map(|probe| known.get(probe.peer.id).copied())
            .filter(|peer| !peer.leaving)
    }

    /// Peers whose probe must be retried now. Each retry counts as sent.
    pub fn retries(&mut self, now: Millis) -> Vec<BalancerRecord> {
        let mut due = Vec::new();
        for probe in self.probes.values_mut() {
            if probe.sent < PROBES_MAX && now.since(probe.last_at) >= PROBE_RETRY {
                probe.last_at = now;
                probe.sent += 1;
                due.push(probe.peer);
            }
        }
        due
    }

    /// Removes and returns the peers that have been silent for [`GONE_AFTER`].
    pub fn gone(&mut self, now: Millis) -> Vec<BalancerRecord> {
        let is_gone =
            |probe: &Probe| probe.sent >= PROBES_MAX && now.since(probe.first_at) >= GONE_AFTER;
        let gone: Vec<BalancerRecord> = self
            .probes
            .values()
            .filter(|probe| is_gone(probe))
            .map(|probe| probe.peer)
            .collect();
        self.probes.retain(|_, probe| !is_gone(probe));
        gone
    }
}
