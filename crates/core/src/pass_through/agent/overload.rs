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
use super::admission::LOWER_PRIORITY_DIVISOR;

/// Time without a flow that found no free slot anywhere, after which a pool is crowded no more.
const SATURATION_HOLD: Millis = Millis(500);

/// Longest timeout of callers after which a crowded pool counts as overloaded, and not in a rush.
const BURST_MAX: Millis = Millis::from_secs(2);

/// Part of what a service can have up to which an overloaded target takes more of its long-lived flows, in
/// thousandths. Requests come at random, and above this most of them would wait.
const LONG_LIVED_LOAD_MAX_MILLI: u64 = 850;

/// How long no free slot has been found in the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Saturation {
    since: Millis,
    last: Millis,
}

impl<B: Clone> Agent<B> {
    /// A flow that may wait came, and there is no room for it.
    pub(super) fn note_saturation(&mut self, now: Millis) {
        let since = self.saturation.filter(|_| self.is_saturated(now));
        let since = since.map_or(now, |saturation| saturation.since);
        self.saturation = Some(Saturation { since, last: now });
    }

    /// Whether balancers find no free slot in the pool, since they ask this target to keep flows that it has
    /// no room for.
    pub(super) fn is_saturated(&self, now: Millis) -> bool {
        let saturation = self.saturation;
        saturation.is_some_and(|saturation| now.since(saturation.last) < SATURATION_HOLD)
    }

    /// Whether the pool has been crowded for longer than a caller waits.
    pub(super) fn is_overloaded(&self, now: Millis, class: &RequestClass) -> bool {
        let timeout = class.time_limit_ms.min(BURST_MAX);
        let is_long = |saturation: Saturation| now.since(saturation.since) >= timeout;
        self.is_saturated(now) && self.saturation.is_some_and(is_long)
    }

    /// Whether the target's open flows leave no room for one more that is long-lived.
    pub(super) fn is_share_used(&self, now: Millis, flow: &FlowId, class: &RequestClass) -> bool {
        let service = &flow.service;
        let expected = self.demand.expected_milli(now, service);
        let load = self.demand.load_milli(now, |other| other == service) + expected;
        self.demand.is_long_lived(now, service)
            && load >= self.share_milli(now, class) * LONG_LIVED_LOAD_MAX_MILLI / 1_000
    }

    /// Slots that services of the class can have, in thousandths. More urgent services have what they ask
    /// for before it, but for a share that each has.
    fn share_milli(&self, now: Millis, class: &RequestClass) -> u64 {
        let slots = self
            .last_heartbeat
            .map_or(1, |(_, heartbeat)| heartbeat.slots);
        let slots = u64::from(slots) * 1_000;
        let is_more_urgent = |service: &SocketAddr| {
            let known = self.request_classes.get(service);
            known.is_some_and(|known| known.priority < class.priority)
        };
        let urgent = self.demand.load_milli(now, is_more_urgent);
        slots
            .saturating_sub(urgent)
            .max(slots / u64::from(LOWER_PRIORITY_DIVISOR))
    }
}
