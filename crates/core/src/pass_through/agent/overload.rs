//! Saturation and overload of a pool, and what a target can still accept then.
//!
//! An agent sees only its own target. It infers the state of the others from what balancers send: a
//! flow that may be queued is offered only after several targets had no free slot. A burst ends
//! within the time that callers wait; saturation that lasts longer is overload.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::RequestClass;
use crate::flow::FlowId;

use super::Agent;
use super::admission::LOWER_PRIORITY_DIVISOR;

/// A pool stops being saturated after this time without a flow that found no free slot.
const SATURATION_HOLD: Millis = Millis(500);

/// Longest saturation that counts as a burst, even if callers wait for longer. Anything longer is
/// overload.
const BURST_MAX: Millis = Millis::from_secs(2);

/// Load, in thousandths of a service's share, up to which an overloaded target accepts more of its
/// long-lived flows. Requests arrive at random, and above this load most of them would have to
/// wait.
const LONG_LIVED_LOAD_MAX_MILLI: u64 = 850;

/// Period during which no free slot has been found in the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Saturation {
    since: Millis,
    last: Millis,
}

impl<B: Clone> Agent<B> {
    /// Notes that a flow arrived that may be queued and finds no capacity.
    pub(super) fn note_saturation(&mut self, now: Millis) {
        let since = self.saturation.filter(|_| self.is_saturated(now));
        let since = since.map_or(now, |saturation| saturation.since);
        self.saturation = Some(Saturation { since, last: now });
    }

    /// Whether balancers find no free slot in the pool, inferred from their asking this target to
    /// queue flows for which it has no capacity.
    pub(super) fn is_saturated(&self, now: Millis) -> bool {
        let saturation = self.saturation;
        saturation.is_some_and(|saturation| now.since(saturation.last) < SATURATION_HOLD)
    }

    /// Whether the pool has been saturated for longer than a caller waits.
    pub(super) fn is_overloaded(&self, now: Millis, class: &RequestClass) -> bool {
        let timeout = class.time_limit_ms.min(BURST_MAX);
        let is_long = |saturation: Saturation| now.since(saturation.since) >= timeout;
        self.is_saturated(now) && self.saturation.is_some_and(is_long)
    }

    /// Whether the target's open flows use up the service's share, so that no further long-lived
    /// flow fits.
    pub(super) fn is_share_used(&self, now: Millis, flow: &FlowId, class: &RequestClass) -> bool {
        let service = &flow.service;
        let expected = self.demand.expected_milli(now, service);
        let load = self.demand.load_milli(now, |other| other == service) + expected;
        self.demand.is_long_lived(now, service)
            && load >= self.share_milli(now, class) * LONG_LIVED_LOAD_MAX_MILLI / 1_000
    }

    /// Slots available to services of the class, in thousandths: what more urgent services leave,
    /// but at least the minimum share.
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
