//! The other agents and their last known load.
//!
//! A report is already outdated when it arrives, so the flows redirected to the peer since then are
//! added to it. A peer whose last report is too old counts as saturated.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::TargetId;
use crate::members::{TargetRecord, TargetState};

use super::load::{Estimate, Forecast, LoadReport};

/// Maximum number of peers kept that the balancers don't list.
const MAX_UNLISTED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct LastReport {
    report: LoadReport,
    at: Millis,
}

/// Another agent and its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) record: TargetRecord,
    last_report: Option<LastReport>,
    /// Last report of the start before, by which its late ones are recognized.
    earlier_report: Option<LoadReport>,
    /// Flows redirected to it since its last report.
    redirected: u32,
    /// Last message from it while the balancers don't list it, or the time at which it was removed
    /// from their list. `None` while it is listed.
    unlisted_since: Option<Millis>,
}

impl Peer {
    const fn new(record: TargetRecord) -> Self {
        Self {
            record,
            last_report: None,
            earlier_report: None,
            redirected: 0,
            unlisted_since: None,
        }
    }

    /// Whether it may get a new flow of a pool with this limit.
    pub(super) fn has_capacity(&self, flows_per_target: usize) -> bool {
        if !self.takes_new() {
            return false;
        }
        let open = self.last_report.map_or(0, |last| last.report.open);
        let expected = open.saturating_add(self.redirected);
        (expected as usize) < flows_per_target
    }

    /// Whether the balancers list it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.unlisted_since.is_none() && self.record.state.takes_new()
    }

    /// Whether both its record and its report state that it takes new flows.
    pub(super) fn takes_new(&self) -> bool {
        self.is_ready() && self.last_report.is_none_or(|last| last.report.takes_new)
    }

    /// Whether its last report is older than `max_age`. False if it has never reported.
    pub(super) fn is_unresponsive(&self, now: Millis, max_age: Millis) -> bool {
        self.last_report
            .is_some_and(|last| now.since(last.at) > max_age)
    }

    /// Whether a later report of the same start arrived before. Starts have no order, since the wall
    /// clock may jump between them: the one that goes on reporting is the running one.
    fn is_late(&self, report: &LoadReport) -> bool {
        let last = self.report().copied();
        [last, self.earlier_report]
            .into_iter()
            .flatten()
            .any(|known| {
                known.incarnation == report.incarnation && known.sequence >= report.sequence
            })
    }

    /// Its last report.
    pub(super) fn report(&self) -> Option<&LoadReport> {
        self.last_report.as_ref().map(|last| &last.report)
    }

    /// Estimate of its current load.
    pub(super) fn estimate(&self, now: Millis, forecast: &Forecast) -> Estimate {
        let Some(last) = &self.last_report else {
            let unreported = Estimate::unreported(self.record.slots);
            return unreported.or_saturated().with_requests(self.redirected);
        };
        let age = now.since(last.at);
        let known = if age <= forecast.max_age {
            Estimate::aged(&last.report, age, forecast)
        } else {
            Estimate::from(&last.report).or_saturated()
        };
        known.with_requests(self.redirected)
    }
}

/// All other agents, sorted by ID so that decisions are reproducible for a given seed.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_id: BTreeMap<TargetId, Peer>,
    confirmed_at: Option<Millis>,
}

impl Peers {
    /// Applies a balancer's list of targets.
    ///
    /// A peer that is missing from the list may be alive and hold flows, so it is kept.
    pub(super) fn update(&mut self, now: Millis, me: TargetId, records: &[TargetRecord]) {
        for (id, peer) in &mut self.by_id {
            let is_listed = records.iter().any(|record| record.id == *id);
            if is_listed {
                peer.unlisted_since = None;
            } else {
                peer.unlisted_since.get_or_insert(now);
            }
        }
        for record in records.iter().filter(|record| record.id != me) {
            self.update_one(*record);
        }
        self.evict_unlisted();
        self.confirm(now);
    }

    /// Records that the list is current.
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

    /// Whether the peer is known and not known to be dead.
    pub(super) fn may_hold(&self, id: TargetId) -> bool {
        self.get(id)
            .is_some_and(|peer| peer.record.state != TargetState::Dead)
    }

    /// Peers that may hold flows.
    pub(super) fn holders(&self) -> impl Iterator<Item = TargetId> {
        let may_hold = |peer: &&Peer| peer.record.state != TargetState::Dead;
        self.iter().filter(may_hold).map(|peer| peer.record.id)
    }

    /// The peer that the hint identifies.
    pub(super) fn by_hint(&self, hint: u32) -> Option<TargetId> {
        self.by_id.keys().copied().find(|id| id.hint() == hint)
    }

    /// Records that the peer is alive.
    pub(super) fn on_message_from(&mut self, now: Millis, id: TargetId) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            peer.unlisted_since = peer.unlisted_since.map(|_| now);
        }
    }

    /// Removes a peer that answers no questions and has been unlisted for at least `age`.
    pub(super) fn remove_if_unlisted(&mut self, now: Millis, id: TargetId, age: Millis) {
        let unlisted_since = self.get(id).and_then(|peer| peer.unlisted_since);
        if unlisted_since.is_some_and(|since| now.since(since) >= age) {
            self.by_id.remove(&id);
        }
    }

    pub(super) fn on_load(&mut self, now: Millis, report: LoadReport) {
        let Some(peer) = self.by_id.get_mut(&report.sender) else {
            return;
        };
        if peer.is_late(&report) {
            return;
        }
        if let Some(LastReport { report: last, .. }) = peer.last_report
            && last.incarnation != report.incarnation
        {
            peer.earlier_report = Some(last);
        }
        peer.last_report = Some(LastReport { report, at: now });
        peer.unlisted_since = peer.unlisted_since.map(|_| now);
        peer.redirected = 0;
    }

    pub(super) fn on_redirected(&mut self, to: TargetId) {
        if let Some(peer) = self.by_id.get_mut(&to) {
            peer.redirected = peer.redirected.saturating_add(1);
        }
    }

    /// Evicts unlisted peers beyond the limit, those with the oldest last message first.
    fn evict_unlisted(&mut self) {
        let unlisted = self.by_id.values().filter_map(|peer| {
            let since = peer.unlisted_since?;
            Some((since, peer.record.id))
        });
        let mut unlisted: Vec<_> = unlisted.collect();
        unlisted.sort_unstable();
        let excess = unlisted.len().saturating_sub(MAX_UNLISTED);
        for (_, id) in &unlisted[..excess] {
            self.by_id.remove(id);
        }
    }

    fn update_one(&mut self, record: TargetRecord) {
        let peer = self
            .by_id
            .entry(record.id)
            .or_insert_with(|| Peer::new(record));
        // A report of an earlier incarnation does not apply to this one.
        if peer.record.incarnation < record.incarnation {
            *peer = Peer::new(record);
        }
        if peer.record.version() <= record.version() {
            peer.record = record;
        }
    }
}
