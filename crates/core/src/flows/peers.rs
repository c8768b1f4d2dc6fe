//! The other agents and what is known of their load.
//!
//! A peer's report is old when it comes, so the flows that were redirected to the peer since then are
//! added to it. A peer that has not reported for long counts as full.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::TargetId;
use crate::members::{TargetRecord, TargetState};

use super::load::{Estimate, LoadReport, Outlook};

/// Peers kept that the balancers do not list.
const MAX_ABSENT: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Told {
    report: LoadReport,
    at: Millis,
}

/// One other agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) record: TargetRecord,
    told: Option<Told>,
    /// Flows redirected to it since its last report.
    redirected: u32,
    /// Last sign of life while the balancers did not list it, none while they do.
    absent_since: Option<Millis>,
}

impl Peer {
    const fn new(record: TargetRecord) -> Self {
        Self {
            record,
            told: None,
            redirected: 0,
            absent_since: None,
        }
    }

    /// Whether it may be given a new flow of a pool with this limit.
    pub(super) fn has_room(&self, flows_per_target: usize) -> bool {
        if !self.takes_new() {
            return false;
        }
        let open = self.told.map_or(0, |told| told.report.open);
        let expected = open.saturating_add(self.redirected);
        (expected as usize) < flows_per_target
    }

    /// Whether the balancers list it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.absent_since.is_none() && self.record.state.takes_new()
    }

    /// Whether record and report both say that it takes new flows.
    pub(super) fn takes_new(&self) -> bool {
        self.is_ready() && self.told.is_none_or(|told| told.report.takes_new)
    }

    /// Whether it has reported before but is silent now.
    pub(super) fn is_silent(&self, now: Millis, max_age: Millis) -> bool {
        self.told.is_some_and(|told| now.since(told.at) > max_age)
    }

    /// What it reported last.
    pub(super) fn report(&self) -> Option<&LoadReport> {
        self.told.as_ref().map(|told| &told.report)
    }

    /// Its load now, as far as one can tell.
    pub(super) fn estimate(&self, now: Millis, outlook: &Outlook) -> Estimate {
        let Some(told) = &self.told else {
            let unreported = Estimate::unreported(self.record.slots);
            return unreported.or_full().with_requests(self.redirected);
        };
        let age = now.since(told.at);
        let known = if age <= outlook.max_age {
            Estimate::aged(&told.report, age, outlook)
        } else {
            Estimate::from(&told.report).or_full()
        };
        known.with_requests(self.redirected)
    }
}

/// Every other agent, in the order of identities so that decisions repeat under one seed.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_id: BTreeMap<TargetId, Peer>,
    confirmed_at: Option<Millis>,
}

impl Peers {
    /// Takes the list of a balancer.
    ///
    /// A peer that is missing from it may be alive and hold flows, so it is kept.
    pub(super) fn update(&mut self, now: Millis, me: TargetId, records: &[TargetRecord]) {
        for (id, peer) in &mut self.by_id {
            let is_listed = records.iter().any(|record| record.id == *id);
            if is_listed {
                peer.absent_since = None;
            } else {
                peer.absent_since.get_or_insert(now);
            }
        }
        for record in records.iter().filter(|record| record.id != me) {
            self.update_one(*record);
        }
        self.bound_absent();
        self.confirm(now);
    }

    /// Notes that the list is right.
    pub(super) const fn confirm(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
    }

    /// Whether the list was confirmed at this time or later.
    pub(super) fn confirmed_since(&self, time: Millis) -> bool {
        self.confirmed_at.is_some_and(|at| at >= time)
    }

    pub(super) fn get(&self, id: TargetId) -> Option<&Peer> {
        self.by_id.get(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    /// Whether the peer is known and not known to be gone.
    pub(super) fn may_hold(&self, id: TargetId) -> bool {
        self.get(id)
            .is_some_and(|peer| peer.record.state != TargetState::Dead)
    }

    /// Peers that may hold flows.
    pub(super) fn holders(&self) -> impl Iterator<Item = TargetId> {
        let may_hold = |peer: &&Peer| peer.record.state != TargetState::Dead;
        self.iter().filter(may_hold).map(|peer| peer.record.id)
    }

    /// The peer that the hint names.
    pub(super) fn by_hint(&self, hint: u32) -> Option<TargetId> {
        self.by_id.keys().copied().find(|id| id.hint() == hint)
    }

    /// The peer has said something.
    pub(super) fn on_sign_of_life(&mut self, now: Millis, id: TargetId) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            peer.absent_since = peer.absent_since.map(|_| now);
        }
    }

    /// Forgets a peer that answers no question and was not listed for at least `age`.
    pub(super) fn forget_if_absent(&mut self, now: Millis, id: TargetId, age: Millis) {
        let absent_since = self.get(id).and_then(|peer| peer.absent_since);
        if absent_since.is_some_and(|since| now.since(since) >= age) {
            self.by_id.remove(&id);
        }
    }

    pub(super) fn on_load(&mut self, now: Millis, report: LoadReport) {
        let Some(peer) = self.by_id.get_mut(&report.sender) else {
            return;
        };
        let is_late = peer
            .told
            .is_some_and(|told| told.report.version() >= report.version());
        if is_late {
            return;
        }
        peer.told = Some(Told { report, at: now });
        peer.absent_since = peer.absent_since.map(|_| now);
        peer.redirected = 0;
    }

    pub(super) fn on_redirected(&mut self, to: TargetId) {
        if let Some(peer) = self.by_id.get_mut(&to) {
            peer.redirected = peer.redirected.saturating_add(1);
        }
    }

    /// Keeps the absent peers that gave the latest signs of life.
    fn bound_absent(&mut self) {
        let absent = self.by_id.values().filter_map(|peer| {
            let since = peer.absent_since?;
            Some((since, peer.record.id))
        });
        let mut absent: Vec<_> = absent.collect();
        absent.sort_unstable();
        let excess = absent.len().saturating_sub(MAX_ABSENT);
        for (_, id) in &absent[..excess] {
            self.by_id.remove(id);
        }
    }

    fn update_one(&mut self, record: TargetRecord) {
        let peer = self
            .by_id
            .entry(record.id)
            .or_insert_with(|| Peer::new(record));
        // A report of an earlier start says nothing about this one.
        if peer.record.incarnation < record.incarnation {
            *peer = Peer::new(record);
        }
        if peer.record.version() <= record.version() {
            peer.record = record;
        }
    }
}
