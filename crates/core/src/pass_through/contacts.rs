//! Which balancers a process knows, and which of them it may name to others.
//!
//! Balancers are named by the platform's list, by the seeds of the settings and by other balancers.
//! While the platform is away only the last two are left, so every greeting names a few balancers
//! that its sender hears. One that was only named is not named again: an address that nobody
//! answers at would otherwise go round for ever.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::id::DomainId;

/// A balancer that is neither named nor heard for this long is forgotten. The platform's list names
/// it every 2 s, so this outlasts an outage of several lists.
const FORGET_AFTER: Millis = Millis::from_secs(20);

/// A balancer that was heard within this time is at work: three greetings of a small fleet.
const HEARD_WITHIN: Millis = Millis::from_secs(3);

/// Balancers of other failure domains up to which an agent reports there as often as it can.
const FAR_FULL: usize = 16;

/// Reports to the own failure domain for each one to all, where few balancers are in others, and at most.
/// Links between domains are costly, and few flows cross them.
const FAR_EVERY_MIN: usize = 2;
const FAR_EVERY_MAX: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When it was named or heard last.
    seen: Millis,
    heard: Option<Millis>,
    /// Its failure domain, none until it said so.
    domain: Option<DomainId>,
}

/// The balancers that a process knows.
#[derive(Debug, Default)]
pub struct Contacts {
    known: HashMap<SocketAddr, Contact>,
}

impl Contacts {
    /// Somebody names a balancer. Returns whether it was unknown.
    pub fn on_advertised(&mut self, now: Millis, balancer: SocketAddr) -> bool {
        self.note(now, balancer).1
    }

    /// A message of a balancer came. Returns whether it was unknown.
    pub fn on_message(&mut self, now: Millis, balancer: SocketAddr) -> bool {
        let (contact, is_new) = self.note(now, balancer);
        contact.heard = Some(now);
        is_new
    }

    /// A greeting of a balancer came, with its failure domain. Returns whether it was unknown.
    pub fn on_hello(&mut self, now: Millis, balancer: SocketAddr, domain: DomainId) -> bool {
        let (contact, is_new) = self.note(now, balancer);
        (contact.heard, contact.domain) = (Some(now), Some(domain));
        is_new
    }

    /// Forgets those that nobody has named or heard for long.
    pub fn remove_inactive(&mut self, now: Millis) {
        self.known
            .retain(|_, contact| now.since(contact.seen) < FORGET_AFTER);
    }

    /// Number of balancers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Addresses of all of them.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Addresses of those that are not known to be in another failure domain.
    pub fn local(&self, domain: DomainId) -> impl Iterator<Item = SocketAddr> {
        let is_near = move |contact: &Contact| contact.domain.is_none_or(|other| other == domain);
        let near = self
            .known
            .iter()
            .filter(move |(_, contact)| is_near(contact));
        near.map(|(addr, _)| *addr)
    }

    /// Addresses of those that were heard within `age`.
    pub fn active(&self, now: Millis, age: Millis) -> impl Iterator<Item = SocketAddr> {
        let is_heard = move |contact: &Contact| {
            let heard = contact.heard;
            heard.is_some_and(|heard| now.since(heard) < age)
        };
        let heard = self
            .known
            .iter()
            .filter(move |(_, contact)| is_heard(contact));
        heard.map(|(addr, _)| *addr)
    }

    /// Reports of an agent to its failure domain for each one to all. It grows with the balancers
    /// elsewhere, so that what an agent sends there does not.
    #[must_use]
    pub fn local_reports_per_remote_report(&self, domain: DomainId) -> u32 {
        let far = self.len() - self.local(domain).count();
        let every = (far * FAR_EVERY_MIN / FAR_FULL).clamp(FAR_EVERY_MIN, FAR_EVERY_MAX);
        u32::try_from(every).unwrap_or(u32::MAX)
    }

    /// At most `max` of them, by chance.
    pub fn sample(&self, max: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.iter().choose_multiple(rng, max)
    }

    /// At most `max` of those that are at work, by chance.
    pub fn sample_active(&self, now: Millis, max: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.active(now, HEARD_WITHIN).choose_multiple(rng, max)
    }

    fn note(&mut self, now: Millis, balancer: SocketAddr) -> (&mut Contact, bool) {
        let is_new = !self.known.contains_key(&balancer);
        let contact = self.known.entry(balancer).or_insert(Contact {
            seen: now,
            heard: None,
            domain: None,
        });
        contact.seen = now;
        (contact, is_new)
    }
}
