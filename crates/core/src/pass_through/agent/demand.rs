//! Demand of each service on the target.
//!
//! Accepting a flow that carries many requests is a commitment: once it is open, its requests
//! arrive without further admission. Whether one more such flow fits therefore depends on the
//! demand of the service's open flows, not on whether a slot is free at the moment. Both the work
//! per request and the rate of requests are measured per service, because services that share a
//! target differ in both.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::lru_map::LruMap;

/// Maximum number of measured services. The one without a request for the longest time is evicted
/// first.
const SERVICES_MAX: usize = 256;

/// Length of one counting interval, and the number of intervals that make up a rate.
const COUNT_SPAN: Millis = Millis(250);
const COUNTS: usize = 4;

/// Weight of the previous mean against one new measurement.
const MEAN_WEIGHT: u64 = 15;

/// A service's flows count as long-lived above this number of requests per new flow.
const LONG_LIVED_REQUESTS: u32 = 2;

/// Number of requests and new flows in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    flows: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    /// Mean work per request, in microseconds, zero if not measured yet.
    work_micros: u64,
    /// Mean time between two requests of a flow, in microseconds, zero if not measured yet.
    interval_micros: u64,
    counts: [Count; COUNTS],
    /// Number of the latest interval counted.
    span: u64,
}

/// Demand on the target, by service address.
#[derive(Debug)]
pub(super) struct Demand {
    services: LruMap<SocketAddr, Service>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            services: LruMap::new(SERVICES_MAX),
        }
    }
}

impl Demand {
    /// Counts a new flow offered to the target.
    pub(super) fn on_flow(&mut self, now: Millis, service: SocketAddr) {
        self.count(now, service).flows += 1;
    }

    /// Counts a request on an open flow. `interval` is the time since the flow's previous request,
    /// if there was one.
    pub(super) fn on_request(
        &mut self,
        now: Millis,
        service: SocketAddr,
        interval: Option<Millis>,
    ) {
        self.count(now, service).requests += 1;
        if let Some(interval) = interval
            && let Some(service) = self.services.get_mut(&service)
        {
            service.interval_micros = mean(service.interval_micros, interval.0 * 1_000);
        }
    }

    /// Records the work of an answered request.
    pub(super) fn on_answer(&mut self, service: SocketAddr, work_micros: u64) {
        if let Some(service) = self.services.get_mut(&service) {
            service.work_micros = mean(service.work_micros, work_micros);
        }
    }

    /// Whether flows of the service carry many requests.
    pub(super) fn is_long_lived(&self, now: Millis, service: &SocketAddr) -> bool {
        self.services.get(service).is_some_and(|service| {
            let Count { requests, flows } = service.recent(now);
            requests > flows * LONG_LIVED_REQUESTS
        })
    }

    /// Slots kept busy by requests of the included services, in thousandths.
    pub(super) fn load_milli(&self, now: Millis, is_included: impl Fn(&SocketAddr) -> bool) -> u64 {
        let services = self.services.newest_first();
        let included = services.filter(|(addr, _)| is_included(addr));
        included.map(|(_, service)| service.load_milli(now)).sum()
    }

    /// Slots that will additionally be kept busy by the service's recently opened flows, in
    /// thousandths.
    pub(super) fn expected_milli(&self, now: Millis, service: &SocketAddr) -> u64 {
        let service = self.services.get(service);
        service.map_or(0, |service| service.expected_milli(now))
    }

    fn count(&mut self, now: Millis, service: SocketAddr) -> &mut Count {
        if self.services.contains(&service) {
            self.services.touch(now, &service);
        } else {
            self.services.insert(now, service, Service::default());
        }
        let service = self.services.get_mut(&service);
        service.expect("inserted above").at(now)
    }
}

impl Service {
    /// Returns the counter of the interval that contains `now`, and clears the expired ones.
    fn at(&mut self, now: Millis) -> &mut Count {
        let span = now.0 / COUNT_SPAN.0;
        let passed = span.saturating_sub(self.span).min(COUNTS as u64);
        for offset in 0..passed {
            self.counts[index(span - offset)] = Count::default();
        }
        self.span = span;
        &mut self.counts[index(span)]
    }

    /// Sum over the latest intervals.
    fn recent(&self, now: Millis) -> Count {
        let mut until_now = *self;
        until_now.at(now);
        let counts = until_now.counts.iter();
        counts.fold(Count::default(), |sum, count| Count {
            requests: sum.requests + count.requests,
            flows: sum.flows + count.flows,
        })
    }

    fn load_milli(&self, now: Millis) -> u64 {
        let span_micros = COUNT_SPAN.0 * COUNTS as u64 * 1_000;
        u64::from(self.recent(now).requests) * self.work_micros * 1_000 / span_micros
    }

    fn expected_milli(&self, now: Millis) -> u64 {
        let of_flows = u64::from(self.recent(now).flows) * self.work_micros * 1_000;
        of_flows
            .checked_div(self.interval_micros)
            .unwrap_or_default()
    }
}

/// Returns the mean including one more measurement. The first measurement becomes the mean.
pub(super) const fn mean(so_far: u64, measured: u64) -> u64 {
    if so_far == 0 {
        measured
    } else {
        (so_far * MEAN_WEIGHT + measured) / (MEAN_WEIGHT + 1)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a remainder of a few counts"
)]
const fn index(span: u64) -> usize {
    (span % COUNTS as u64) as usize
}
