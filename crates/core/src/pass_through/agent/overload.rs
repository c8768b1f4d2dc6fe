//! When a pool is crowded, when it is overloaded, and what a target can still take then.
//!
//! An agent sees its own target only. It knows of the others by what balancers ask: a flow that may wait is
//! offered only after several targets had no free slot. A rush is over within the time that callers wait;
//! what lasts longer is load.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::FlowId;

use super::Agent;
use super::admission::LESSER_SHARE;

/// Time without a flow that found no free slot anywhere, after which a pool is crowded no more.
const CALM_AFTER: Millis = Millis(500);

/// Longest patience of callers after which a crowded pool counts as overloaded, and not in a rush.
const RUSH_MAX: Millis = Millis::from_secs(2);

/// Part of what a service can have up to which an overloaded target takes more of its long-lived flows, in
/// thousandths. Requests come at random, and above this most of them would wait.
const FILLED_MILLI: u64 = 850;

/// How long no free slot has been found in the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crowding {
    since: Millis,
    last: Millis,
}

impl<B: Clone> Agent<B> {
    /// A flow that may wait came, and there is no room for it.
    pub(super) fn note_crowding(&mut self, now: Millis) {
        let since = self.crowding.filter(|_| self.is_crowded(now));
        let since = since.map_or(now, |crowding| crowding.since);
        self.crowding = Some(Crowding { since, last: now });
    }

    /// Whether balancers find no free slot in the pool, since they ask this target to keep flows that it has
    /// no room for.
    pub(super) fn is_crowded(&self, now: Millis) -> bool {
        let crowding = self.crowding;
        crowding.is_some_and(|crowding| now.since(crowding.last) < CALM_AFTER)
    }

    /// Whether the pool has been crowded for longer than a caller waits.
    pub(super) fn is_overloaded(&self, now: Millis, class: &RequestClass) -> bool {
        let patience = class.time_limit_ms.min(RUSH_MAX);
        let is_long = |crowding: Crowding| now.since(crowding.since) >= patience;
        self.is_crowded(now) && self.crowding.is_some_and(is_long)
    }

    /// Whether the target's open flows leave no room for one more that is long-lived.
    pub(super) fn is_filled(&self, now: Millis, flow: &FlowId, class: &RequestClass) -> bool {
        let service = &flow.service;
        let expected = self.demand.expected_milli(now, service);
        let load = self.demand.load_milli(now, |other| other == service) + expected;
        self.demand.is_long_lived(now, service)
            && load >= self.share_milli(now, class) * FILLED_MILLI / 1_000
    }

    /// Slots that services of the class can have, in thousandths. More urgent services have what they ask
    /// for before it, but for a share that each has.
    fn share_milli(&self, now: Millis, class: &RequestClass) -> u64 {
        let slots = self
            .last_heartbeat
            .map_or(1, |(_, heartbeat)| heartbeat.slots);
        let slots = u64::from(slots) * 1_000;
        let is_more_urgent = |service: &SocketAddr| {
            let known = self.classes.get(service);
            known.is_some_and(|known| known.priority < class.priority)
        };
        let urgent = self.demand.load_milli(now, is_more_urgent);
        slots
            .saturating_sub(urgent)
            .max(slots / u64::from(LESSER_SHARE))
    }
}
