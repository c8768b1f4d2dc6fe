//! Rate limits on new flows, per service and per caller.
//!
//! A limit applies to the service as a whole, and no single agent sees all of its flows. Each agent
//! therefore enforces its share: the limit divided by the number of agents that take new flows.
//! Balancers spread flows over all of them, so the shares are used evenly. An agent allows a burst
//! of one second's worth, and of at least one flow, so N agents together allow the limit, plus at
//! most N flows if the limit is smaller than N. A flow is counted by the agent to which the
//! balancer sent it, and not again by an agent to which it is redirected.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::clock::Millis;
use crate::id::ServiceId;

use super::bucket::{Bucket, Rate};
use crate::lru_map::LruMap;

/// Limits of one service, `None` for unlimited.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewFlowLimits {
    pub(super) per_s: Option<u32>,
    pub(super) per_s_per_caller: Option<u32>,
}

/// Token buckets of services and callers.
#[derive(Debug)]
pub(super) struct Rates {
    services: BTreeMap<ServiceId, Bucket>,
    callers: LruMap<(ServiceId, IpAddr), Bucket>,
}

impl Rates {
    pub(super) fn new(callers: usize) -> Self {
        Self {
            services: BTreeMap::new(),
            callers: LruMap::new(callers),
        }
    }

    /// Number of callers that are tracked.
    pub(super) fn callers_len(&self) -> usize {
        self.callers.len()
    }

    /// Removes the services for which `is_known` returns false.
    pub(super) fn retain(&mut self, is_known: impl Fn(ServiceId) -> bool) {
        self.services.retain(|service, _| is_known(*service));
    }

    /// Counts a new flow.
    ///
    /// # Errors
    ///
    /// The time until the next one is allowed, if this one is over a limit.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        service: ServiceId,
        caller: IpAddr,
        limits: NewFlowLimits,
        agents: u32,
    ) -> Result<(), Millis> {
        let of_service = limits.per_s.map(|limit| Rate::share(limit, agents));
        let of_caller = limits
            .per_s_per_caller
            .map(|limit| Rate::share(limit, agents));
        // The caller's limit is checked first, so that a caller over its limit uses up none of the
        // service's rate.
        self.admit_caller(now, (service, caller), of_caller)?;
        let admitted = self.admit_service(now, service, of_service);
        if admitted.is_err()
            && let Some(bucket) = self.callers.get_mut(&(service, caller))
        {
            bucket.refund();
        }
        admitted
    }

    fn admit_caller(
        &mut self,
        now: Millis,
        key: (ServiceId, IpAddr),
        rate: Option<Rate>,
    ) -> Result<(), Millis> {
        let Some(rate) = rate else {
            return Ok(());
        };
        if self.callers.contains(&key) {
            self.callers.touch(now, &key);
        } else {
            self.callers.insert(now, key, Bucket::full(now, rate));
        }
        let bucket = self.callers.get_mut(&key);
        bucket.map_or(Ok(()), |bucket| take_one(now, bucket, rate))
    }

    fn admit_service(
        &mut self,
        now: Millis,
        service: ServiceId,
        rate: Option<Rate>,
    ) -> Result<(), Millis> {
        let Some(rate) = rate else {
            return Ok(());
        };
        let new = || Bucket::full(now, rate);
        let bucket = self.services.entry(service).or_insert_with(new);
        take_one(now, bucket, rate)
    }
}

fn take_one(now: Millis, bucket: &mut Bucket, rate: Rate) -> Result<(), Millis> {
    if bucket.take(now, rate, 1) {
        Ok(())
    } else {
        Err(bucket.time_to_one(rate))
    }
}
