//! Selection of the balancers that this agent reports to, and the schedule of its heartbeats.
//!
//! The agent reports to the seeds until it has received balancers' records. Then rendezvous hashing
//! selects among these. A heartbeat without an answer is retried once after a short time, so that a
//! lost packet does not look like a silent agent. A balancer that leaves several heartbeats
//! unanswered is not selected for a while.

use std::collections::HashMap;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::hash;
use citronhollow_core::id::{BalancerId, DomainId, TargetId};
use citronhollow_core::members::{BalancerRecord, HEARTBEAT, REPORTERS, reporters_for};

/// Time without an answer after which a heartbeat is retried.
pub const RETRY_AFTER: Millis = Millis(500);

/// Largest number of consecutive unanswered heartbeats. After one more, another balancer is
/// selected.
pub const HEARTBEATS_UNANSWERED_MAX: u32 = 2;

/// Time for which a balancer that does not answer is not selected.
pub const UNRESPONSIVE_BACKOFF: Millis = Millis::from_secs(60);

/// Largest number of balancers kept.
const KNOWN_MAX: usize = 64;

/// A heartbeat to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueHeartbeat {
    /// Address of the balancer.
    pub to: SocketAddr,
    /// Whether this is the last one, because the agent reports to another balancer from now on.
    pub is_last: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownBalancer {
    record: BalancerRecord,
    is_seed: bool,
    /// Not selected before this time, unless too few others are usable.
    failed_until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    addr: SocketAddr,
    next_at: Millis,
    /// Time of the retry, if the last heartbeat is unanswered.
    retry_at: Option<Millis>,
    unanswered: u32,
}

/// The balancers that this agent knows, and those that it reports to.
#[derive(Debug)]
pub struct Reporting {
    target: TargetId,
    known: HashMap<SocketAddr, KnownBalancer>,
    reporters: Vec<Reporter>,
    released: Vec<SocketAddr>,
}

impl Reporting {
    /// Starts with the seeds alone.
    #[must_use]
    pub fn new(target: TargetId, seeds: &[SocketAddr]) -> Self {
        let known = seeds
            .iter()
            .map(|seed| (*seed, seed_entry(*seed)))
            .collect();
        let mut reporting = Self {
            target,
            known,
            reporters: Vec::new(),
            released: Vec::new(),
        };
        reporting.select(Millis::ZERO);
        reporting
    }

    /// Addresses of the balancers that this agent reports to.
    pub fn current(&self) -> impl Iterator<Item = SocketAddr> {
        self.reporters.iter().map(|reporter| reporter.addr)
    }

    /// Whether fewer than [`REPORTERS`] balancers are usable: known by record, not leaving, and not
    /// marked unresponsive.
    #[must_use]
    pub fn wants_balancers(&self, now: Millis) -> bool {
        let usable = self
            .known
            .values()
            .filter(|known| !known.is_seed && !known.record.leaving && known.failed_until <= now);
        usable.count() < REPORTERS
    }

    /// Adds or updates a balancer's record.
    pub fn learn(&mut self, now: Millis, record: BalancerRecord) {
        let old = self.known.get(&record.control);
        let is_update = old.is_none_or(|old| old.is_seed || is_newer(&record, &old.record));
        if !is_update {
            return;
        }
        let failed_until = old.map_or(Millis::ZERO, |old| old.failed_until);
        let known = KnownBalancer {
            record,
            is_seed: false,
            failed_until,
        };
        self.known.insert(record.control, known);
        self.evict_excess();
        self.select(now);
    }

    /// Records that a balancer answered.
    pub fn on_answer(&mut self, _now: Millis, from: SocketAddr) {
        if let Some(known) = self.known.get_mut(&from) {
            known.failed_until = Millis::ZERO;
        }
        let reporter = self.reporters.iter_mut().find(|it| it.addr == from);
        if let Some(reporter) = reporter {
            reporter.retry_at = None;
            reporter.unanswered = 0;
        }
    }

    /// Makes a heartbeat to every selected balancer due at once.
    pub fn report_at_once(&mut self, now: Millis) {
        for reporter in &mut self.reporters {
            reporter.next_at = now;
        }
    }

    /// Returns the heartbeats that are due.
    pub fn due(&mut self, now: Millis) -> Vec<DueHeartbeat> {
        self.replace_unresponsive(now);
        let mut sends: Vec<DueHeartbeat> = self
            .released
            .drain(..)
            .map(|to| DueHeartbeat { to, is_last: true })
            .collect();
        for (index, reporter) in self.reporters.iter_mut().enumerate() {
            if reporter.is_due(now, index) {
                sends.push(DueHeartbeat {
                    to: reporter.addr,
                    is_last: false,
                });
            }
        }
        sends
    }

    fn replace_unresponsive(&mut self, now: Millis) {
        let failed: Vec<SocketAddr> = self
            .reporters
            .iter()
            .filter(|reporter| reporter.unanswered > HEARTBEATS_UNANSWERED_MAX)
            .map(|reporter| reporter.addr)
            .collect();
        if failed.is_empty() {
            return;
        }
        for addr in &failed {
            log::info!("control: balancer {addr} does not answer heartbeats");
            if let Some(known) = self.known.get_mut(addr) {
                known.failed_until = now.after(UNRESPONSIVE_BACKOFF);
            }
        }
        for reporter in &mut self.reporters {
            if failed.contains(&reporter.addr) {
                reporter.unanswered = 0;
            }
        }
        self.select(now);
    }

    /// Selects the balancers again. Those that stay selected keep their schedule.
    fn select(&mut self, now: Millis) {
        let selected = self.preferred(now);
        let old = std::mem::take(&mut self.reporters);
        self.reporters = selected
            .iter()
            .map(|addr| {
                let kept = old.iter().find(|reporter| reporter.addr == *addr);
                kept.copied().unwrap_or(Reporter::new(*addr, now))
            })
            .collect();
        let released = old
            .iter()
            .map(|reporter| reporter.addr)
            .filter(|addr| !selected.contains(addr));
        self.released.extend(released);
    }

    /// The preferred balancers: those that answer before those that do not, and among these, those
    /// known by record before seeds.
    fn preferred(&self, now: Millis) -> Vec<SocketAddr> {
        let mut preferred = Vec::with_capacity(REPORTERS);
        for (is_seed, has_failed) in [(false, false), (true, false), (false, true), (true, true)] {
            let candidates: Vec<BalancerRecord> = self
                .known
                .values()
                .filter(|known| known.is_seed == is_seed)
                .filter(|known| (known.failed_until > now) == has_failed)
                .map(|known| known.record)
                .collect();
            let selected = reporters_for(self.target, &candidates, REPORTERS);
            let free = REPORTERS - preferred.len();
            preferred.extend(selected.iter().map(|record| record.control).take(free));
        }
        preferred
    }

    /// Removes the lowest-ranked balancer if there are too many. Seeds stay.
    fn evict_excess(&mut self) {
        if self.known.len() <= KNOWN_MAX {
            return;
        }
        let target = self.target.0;
        let worst = self
            .known
            .iter()
            .filter(|(_, known)| !known.is_seed)
            .max_by_key(|(_, known)| hash::pair(target, known.record.id.0))
            .map(|(addr, _)| *addr);
        if let Some(addr) = worst {
            self.known.remove(&addr);
        }
    }
}

impl Reporter {
    const fn new(addr: SocketAddr, now: Millis) -> Self {
        Self {
            addr,
            next_at: now,
            retry_at: None,
            unanswered: 0,
        }
    }

    fn is_due(&mut self, now: Millis, index: usize) -> bool {
        if now >= self.next_at {
            self.next_at = next_slot(now, index);
            self.retry_at = Some(now.after(RETRY_AFTER));
            self.unanswered += 1;
            return true;
        }
        let is_retry = self.retry_at.is_some_and(|at| now >= at);
        if is_retry {
            self.retry_at = None;
        }
        is_retry
    }
}

/// Time of the next heartbeat of the reporter at `index`. The reporters are staggered evenly
/// over the interval.
fn next_slot(now: Millis, index: usize) -> Millis {
    let offset = HEARTBEAT.0 * index as u64 / REPORTERS as u64;
    let passed = (now.0 + HEARTBEAT.0 - offset) % HEARTBEAT.0;
    now.after(Millis(HEARTBEAT.0 - passed))
}

fn is_newer(new: &BalancerRecord, old: &BalancerRecord) -> bool {
    (new.incarnation, new.sequence) > (old.incarnation, old.sequence)
}

/// A provisional record for a seed. Its identity is derived from its address.
fn seed_entry(addr: SocketAddr) -> KnownBalancer {
    let record = BalancerRecord {
        id: BalancerId(hash::socket_addr(addr, 0)),
        domain: DomainId(hash::socket_addr(addr, 1)),
        control: addr,
        leaving: false,
        incarnation: 0,
        sequence: 0,
    };
    KnownBalancer {
        record,
        is_seed: true,
        failed_until: Millis::ZERO,
    }
}
