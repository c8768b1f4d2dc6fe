//! Which balancers answer.
//!
//! Each process keeps this for itself. A peer that leaves several probes unanswered gets no pushes
//! and is probed from time to time, so that two regions find each other when the cut between them
//! heals. Only a peer that has been silent for longer than a cut lasts is called gone to others.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::BalancerId;
use crate::members::{BalancerRecord, Balancers};

/// Time without an answer after which a probe is repeated.
pub const PROBE_RETRY: Millis = Millis::from_secs(1);

/// Probes in a row without an answer after which a peer gets no pushes.
pub const PROBES_MAX: u32 = 4;

/// Time between two probes of a peer that does not answer.
pub const PROBE_SILENT_EVERY: Millis = Millis::from_secs(10);

/// Silence after which a peer is gone. Regions are cut for minutes only.
pub const GONE_AFTER: Millis = Millis::from_secs(30 * 60);

#[derive(Clone, Copy, Debug)]
struct Probe {
    peer: BalancerRecord,
    first_at: Millis,
    last_at: Millis,
    sent: u32,
}

/// Probes without an answer.
#[derive(Debug, Default)]
pub struct Liveness {
    probes: BTreeMap<BalancerId, Probe>,
}

impl Liveness {
    /// A probe is sent.
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

    /// A peer gave a sign of life.
    pub fn on_answer(&mut self, id: BalancerId) {
        self.probes.remove(&id);
    }

    /// Whether a peer answers, as far as is known.
    #[must_use]
    pub fn is_reachable(&self, id: BalancerId) -> bool {
        self.probes
            .get(&id)
            .is_none_or(|probe| probe.sent < PROBES_MAX)
    }

    /// Whether any peer is silent.
    #[must_use]
    pub fn has_silent(&self) -> bool {
        self.probes.values().any(|probe| probe.sent >= PROBES_MAX)
    }

    /// A silent peer that is due for another probe.
    #[must_use]
    pub fn next_probe(&self, now: Millis, known: &Balancers) -> Option<BalancerRecord> {
        self.probes
            .values()
            .filter(|probe| probe.sent >= PROBES_MAX)
            .filter(|probe| now.since(probe.last_at) >= PROBE_SILENT_EVERY)
            .find_map(|probe| known.get(probe.peer.id).copied())
            .filter(|peer| !peer.leaving)
    }

    /// Peers whose probe is to be repeated now.
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

    /// Peers that have been silent for so long that they are gone.
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
