//! What the callers of each service ask of the target.
//!
//! A flow that carries many requests is a commitment: once it is open, its requests come without being
//! asked for again. So whether one more fits depends on what the open flows of its service bring, and
//! not on whether a slot is free at the moment. Both the work of a request and the rate of requests are
//! measured, by service, since services that share a target differ in both.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::lru_map::LruMap;

/// Services that are measured. The one without a request for longest goes first.
const SERVICES_MAX: usize = 256;

/// Span of one count, and the number of counts that make a rate.
const COUNT_SPAN: Millis = Millis(250);
const COUNTS: usize = 4;

/// Weight of a mean so far against one more measurement.
const MEAN_WEIGHT: u64 = 15;

/// Requests for each new flow from which a service's flows count as long-lived.
const LONG_LIVED_REQUESTS: u32 = 2;

/// Requests and new flows in one span.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    flows: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    /// Mean work of a request, in microseconds, zero if none has been measured.
    work_micros: u64,
    /// Mean time between two requests of a flow, zero if none has been measured.
    interval_micros: u64,
    counts: [Count; COUNTS],
    /// Number of the span that was counted last.
    span: u64,
}

/// What is asked of the target, by the service's address.
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
    /// The target was given a new flow.
    pub(super) fn on_flow(&mut self, now: Millis, service: SocketAddr) {
        self.count(now, service).flows += 1;
    }

    /// A request came on an open flow, so long after the last one of the flow, if there was one.
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

    /// A request was answered after this work.
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

    /// Slots that requests of the services keep at work, in thousandths.
    pub(super) fn load_milli(&self, now: Millis, is_meant: impl Fn(&SocketAddr) -> bool) -> u64 {
        let services = self.services.newest_first();
        let meant = services.filter(|(addr, _)| is_meant(addr));
        meant.map(|(_, service)| service.load_milli(now)).sum()
    }

    /// The same that a service's flows still bring which were opened a moment ago.
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
    /// The count of the span that `now` is in.
    fn at(&mut self, now: Millis) -> &mut Count {
        let span = now.0 / COUNT_SPAN.0;
        let passed = span.saturating_sub(self.span).min(COUNTS as u64);
        for gone in 0..passed {
            self.counts[index(span - gone)] = Count::default();
        }
        self.span = span;
        &mut self.counts[index(span)]
    }

    /// What was counted in the last spans.
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

/// The mean with one more measurement taken in. The first one stands for itself.
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
