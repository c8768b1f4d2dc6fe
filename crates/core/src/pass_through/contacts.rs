//! The balancers that are known to a process, and those that it advertises to others.
//!
//! Balancer addresses come from the platform's list, from the seeds in the settings and from other
//! balancers. While the platform is unavailable, only the last two are left. Therefore every hello
//! message contains a few balancers from which its sender has recently received a message. A
//! balancer that was only advertised is not advertised again, because otherwise an address that no
//! balancer uses any more would circulate forever.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::id::DomainId;

/// A balancer that is neither advertised nor active for this long is removed. The platform's list
/// contains it every 2 s, so this outlasts the loss of several lists.
const INACTIVITY_TIMEOUT: Millis = Millis::from_secs(20);

/// A balancer that sent a message within this time is active: three hello intervals of a small
/// fleet.
const ACTIVE_WITHIN: Millis = Millis::from_secs(3);

/// Balancers in other failure domains up to which an agent reports to them at the highest rate.
const REMOTE_FULL_RATE_MAX: usize = 16;

/// Bounds of the number of reports to the own failure domain for each report to all. The minimum
/// applies while few balancers are in other domains. Links between domains are costly, and few
/// flows cross them.
const LOCAL_PER_REMOTE_MIN: usize = 2;
const LOCAL_PER_REMOTE_MAX: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When the balancer was last advertised or sent a message.
    last_seen: Millis,
    last_message: Option<Millis>,
    /// Its failure domain, `None` until its first hello message.
    domain: Option<DomainId>,
}

/// The balancers that are known to a process.
#[derive(Debug, Default)]
pub struct Contacts {
    known: HashMap<SocketAddr, Contact>,
}

impl Contacts {
    /// Records that a balancer was advertised. Returns whether it was unknown.
    pub fn on_advertised(&mut self, now: Millis, balancer: SocketAddr) -> bool {
        self.record(now, balancer).1
    }

    /// Records a message from a balancer. Returns whether it was unknown.
    pub fn on_message(&mut self, now: Millis, balancer: SocketAddr) -> bool {
        let (contact, is_new) = self.record(now, balancer);
        contact.last_message = Some(now);
        is_new
    }

    /// Records a hello message from a balancer in `domain`. Returns whether it was unknown.
    pub fn on_hello(&mut self, now: Millis, balancer: SocketAddr, domain: DomainId) -> bool {
        let (contact, is_new) = self.record(now, balancer);
        (contact.last_message, contact.domain) = (Some(now), Some(domain));
        is_new
    }

    /// Removes the balancers that were not advertised and sent no message for 20 s.
    pub fn remove_inactive(&mut self, now: Millis) {
        self.known
            .retain(|_, contact| now.since(contact.last_seen) < INACTIVITY_TIMEOUT);
    }

    /// Number of known balancers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Addresses of all balancers.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Addresses of the balancers that are not known to be in another failure domain.
    pub fn local(&self, domain: DomainId) -> impl Iterator<Item = SocketAddr> {
        let is_local = move |contact: &Contact| contact.domain.is_none_or(|other| other == domain);
        let local = self
            .known
            .iter()
            .filter(move |(_, contact)| is_local(contact));
        local.map(|(addr, _)| *addr)
    }

    /// Addresses of the balancers that sent a message within `age`.
    pub fn active(&self, now: Millis, age: Millis) -> impl Iterator<Item = SocketAddr> {
        let is_active = move |contact: &Contact| {
            let last_message = contact.last_message;
            last_message.is_some_and(|last_message| now.since(last_message) < age)
        };
        let active = self
            .known
            .iter()
            .filter(move |(_, contact)| is_active(contact));
        active.map(|(addr, _)| *addr)
    }

    /// Number of reports that an agent sends to its own failure domain for each report to all. It
    /// grows with the number of balancers in other domains, so that the traffic to them does not.
    #[must_use]
    pub fn local_reports_per_remote_report(&self, domain: DomainId) -> u32 {
        let remote = self.len() - self.local(domain).count();
        let every = (remote * LOCAL_PER_REMOTE_MIN / REMOTE_FULL_RATE_MAX)
            .clamp(LOCAL_PER_REMOTE_MIN, LOCAL_PER_REMOTE_MAX);
        u32::try_from(every).unwrap_or(u32::MAX)
    }

    /// At most `max` balancers, chosen at random.
    pub fn sample(&self, max: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.iter().choose_multiple(rng, max)
    }

    /// At most `max` active balancers, chosen at random.
    pub fn sample_active(&self, now: Millis, max: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.active(now, ACTIVE_WITHIN).choose_multiple(rng, max)
    }

    fn record(&mut self, now: Millis, balancer: SocketAddr) -> (&mut Contact, bool) {
        let is_new = !self.known.contains_key(&balancer);
        let contact = self.known.entry(balancer).or_insert(Contact {
            last_seen: now,
            last_message: None,
            domain: None,
        });
        contact.last_seen = now;
        (contact, is_new)
    }
}
