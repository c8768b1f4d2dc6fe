//! To which balancers this agent reports, and when.
//!
//! Seeds come first, until balancers are known by their records. Then rendezvous hashing chooses.
//! A heartbeat without an answer is repeated once soon, so that a lost packet does not look like a
//! silent agent; a balancer that leaves several unanswered is passed over for a while.

use std::collections::HashMap;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::hash;
use citronhollow_core::id::{BalancerId, DomainId, TargetId};
use citronhollow_core::members::{BalancerRecord, HEARTBEAT, REPORTERS, reporters_for};

/// Time without an answer after which a heartbeat is repeated.
pub const RETRY_AFTER: Millis = Millis(500);

/// Heartbeats in a row without an answer after which another balancer is chosen.
pub const HEARTBEATS_UNANSWERED_MAX: u32 = 2;

/// Time for which a balancer that does not answer is passed over.
pub const UNRESPONSIVE_BACKOFF: Millis = Millis::from_secs(60);

/// Balancers that are remembered at most.
const KNOWN_MAX: usize = 64;

/// A heartbeat to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportingSend {
    /// To whom.
    pub to: SocketAddr,
    /// Whether this agent reports to another balancer from now on.
    pub is_last: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownBalancer {
    record: BalancerRecord,
    is_seed: bool,
    failed_until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    addr: SocketAddr,
    next_at: Millis,
    /// When to repeat the heartbeat that is not answered yet.
    retry_at: Option<Millis>,
    unanswered: u32,
}

/// The balancers that this agent knows and reports to.
#[derive(Debug)]
pub struct Reporting {
    target: TargetId,
    known: HashMap<SocketAddr, KnownBalancer>,
    reporters: Vec<Reporter>,
    released: Vec<SocketAddr>,
}

impl Reporting {
    /// Only the seeds are known.
    #[must_use]
    pub fn new(target: TargetId, seeds: &[SocketAddr]) -> Self {
        let known = seeds.iter().map(|seed| (*seed, seed_of(*seed))).collect();
        let mut reporting = Self {
            target,
            known,
            reporters: Vec::new(),
            released: Vec::new(),
        };
        reporting.choose(Millis::ZERO);
        reporting
    }

    /// Addresses to which this agent reports now.
    pub fn current(&self) -> impl Iterator<Item = SocketAddr> {
        self.reporters.iter().map(|reporter| reporter.addr)
    }

    /// Whether too few balancers are known by record and answer.
    #[must_use]
    pub fn wants_balancers(&self, now: Millis) -> bool {
        let usable = self
            .known
            .values()
            .filter(|known| !known.is_seed && !known.record.leaving && known.failed_until <= now);
        usable.count() < REPORTERS
    }

    /// Takes a balancer in.
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
        self.forget_excess();
        self.choose(now);
    }

    /// A balancer answered.
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

    /// Something changed: every balancer hears of it now.
    pub fn report_at_once(&mut self, now: Millis) {
        for reporter in &mut self.reporters {
            reporter.next_at = now;
        }
    }

    /// The heartbeats that are due.
    pub fn due(&mut self, now: Millis) -> Vec<ReportingSend> {
        self.drop_failed(now);
        let mut sends: Vec<ReportingSend> = self
            .released
            .drain(..)
            .map(|to| ReportingSend { to, is_last: true })
            .collect();
        for (place, reporter) in self.reporters.iter_mut().enumerate() {
            if reporter.is_due(now, place) {
                sends.push(ReportingSend {
                    to: reporter.addr,
                    is_last: false,
                });
            }
        }
        sends
    }

    fn drop_failed(&mut self, now: Millis) {
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
            log::info!("control: balancer {addr} does not answer");
            if let Some(known) = self.known.get_mut(addr) {
                known.failed_until = now.after(UNRESPONSIVE_BACKOFF);
            }
        }
        for reporter in &mut self.reporters {
            if failed.contains(&reporter.addr) {
                reporter.unanswered = 0;
            }
        }
        self.choose(now);
    }

    /// Chooses anew and keeps what stays.
    fn choose(&mut self, now: Millis) {
        let chosen = self.best(now);
        let old = std::mem::take(&mut self.reporters);
        self.reporters = chosen
            .iter()
            .map(|addr| {
                let kept = old.iter().find(|reporter| reporter.addr == *addr);
                kept.copied().unwrap_or(Reporter::new(*addr, now))
            })
            .collect();
        let released = old
            .iter()
            .map(|reporter| reporter.addr)
            .filter(|addr| !chosen.contains(addr));
        self.released.extend(released);
    }

    /// Balancers known by record go before seeds, and those that answer before those that don't.
    fn best(&self, now: Millis) -> Vec<SocketAddr> {
        let mut best = Vec::with_capacity(REPORTERS);
        for (is_seed, has_failed) in [(false, false), (true, false), (false, true), (true, true)] {
            let candidates: Vec<BalancerRecord> = self
                .known
                .values()
                .filter(|known| known.is_seed == is_seed)
                .filter(|known| (known.failed_until > now) == has_failed)
                .map(|known| known.record)
                .collect();
            let chosen = reporters_for(self.target, &candidates, REPORTERS);
            let free = REPORTERS - best.len();
            best.extend(chosen.iter().map(|record| record.control).take(free));
        }
        best
    }

    /// Keeps the best-ranked of too many.
    fn forget_excess(&mut self) {
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

    fn is_due(&mut self, now: Millis, place: usize) -> bool {
        if now >= self.next_at {
            self.next_at = next_slot(now, place);
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

/// The places are staggered over the interval.
fn next_slot(now: Millis, place: usize) -> Millis {
    let offset = HEARTBEAT.0 * place as u64 / REPORTERS as u64;
    let passed = (now.0 + HEARTBEAT.0 - offset) % HEARTBEAT.0;
    now.after(Millis(HEARTBEAT.0 - passed))
}

fn is_newer(new: &BalancerRecord, old: &BalancerRecord) -> bool {
    (new.incarnation, new.sequence) > (old.incarnation, old.sequence)
}

/// A seed has no record yet; its address stands for its identity.
fn seed_of(addr: SocketAddr) -> KnownBalancer {
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
