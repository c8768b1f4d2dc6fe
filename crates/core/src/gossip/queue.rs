//! Queue of the updates that still have to be pushed.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::budget::TokenBucket;
use super::peers::choose_peers;
use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};
use crate::members::BalancerRecord;

/// Interval between push rounds.
pub const ROUND: Millis = Millis(200);

/// Peers that get a push in each round.
pub const FAN_OUT: usize = 3;

/// Bytes per second for pushes, including headers.
pub const BUDGET_PER_S: u32 = 1_200;

/// Bytes that pushes may take at once after an idle period.
pub const BUDGET_BURST: u32 = 24_576;

/// Maximum size of a push in one datagram, in bytes, including [`PUSH_OVERHEAD`].
const PUSH_BYTES_MAX: usize = 1_300;

/// IP, UDP and frame headers, tag and fixed fields of a push, in bytes.
const PUSH_OVERHEAD: usize = 60;

/// Maximum size of an encoded target, in bytes.
const TARGET_BYTES: usize = 80;

/// Maximum size of an encoded revision number, in bytes.
pub const NUMBER_BYTES: usize = 12;

/// Rounds in which a push includes a revision's content.
const CONTENT_ROUNDS: u32 = 2;

/// Maximum size of an encoded verdict, in bytes.
const VERDICT_BYTES: usize = 32;

/// Maximum size of an encoded balancer, in bytes.
const BALANCER_BYTES: usize = 64;

/// Subject of an update. The content is looked up when the update is pushed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// A target.
    Target(TargetId),
    /// The verdict on a target whose record has not changed.
    Verdict(TargetId),
    /// A balancer.
    Balancer(BalancerId),
    /// The highest revision, with the bytes that it takes in the push.
    Revision(usize),
}

/// One round's push: the same topics to several peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Push {
    /// Receivers.
    pub to: Vec<BalancerRecord>,
    /// Subjects of the updates, most urgent first.
    pub topics: Vec<Topic>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    topic: Topic,
    rounds: u32,
}

impl Pending {
    /// A revision is pushed without its content after [`CONTENT_ROUNDS`]: most receivers of later
    /// pushes already have the content, and the others fetch it.
    const fn topic_to_push(&self) -> Topic {
        match self.topic {
            Topic::Revision(_) if self.rounds >= CONTENT_ROUNDS => Topic::Revision(NUMBER_BYTES),
            topic => topic,
        }
    }
}

/// Updates that this process still has to push.
#[derive(Clone, Debug)]
pub struct GossipQueue {
    pending: Vec<Pending>,
    budget: TokenBucket,
    rng: SmallRng,
}

impl GossipQueue {
    /// An empty queue that draws peers from a random generator with this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            pending: Vec::new(),
            budget: TokenBucket::new(BUDGET_PER_S, BUDGET_BURST),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds an update, replacing an older one on the same subject.
    pub fn add(&mut self, topic: Topic) {
        let old = self
            .pending
            .iter()
            .position(|entry| is_same_subject(entry.topic, topic));
        let old = old.map(|index| self.pending.remove(index).topic);
        let topic = match (old, topic) {
            // The record has not been pushed to all peers yet, so they need it with the verdict.
            (Some(Topic::Target(id)), Topic::Verdict(_)) => Topic::Target(id),
            _ => topic,
        };
        self.pending.push(Pending { topic, rounds: 0 });
    }

    /// Number of updates still to be pushed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether there is nothing to push.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The push of one round, or `None` without an update, a peer or enough budget.
    pub fn round(
        &mut self,
        now: Millis,
        me: &BalancerRecord,
        peers: &[BalancerRecord],
    ) -> Option<Push> {
        if self.pending.is_empty() || peers.is_empty() {
            return None;
        }
        let to = choose_peers(me, peers, FAN_OUT, &mut self.rng);
        let share = self.budget.available(now) / to.len();
        let (topics, bytes) = self.take(share.min(PUSH_BYTES_MAX), peers.len() + 1);
        if topics.is_empty() {
            return None;
        }
        self.budget.spend(bytes * to.len());
        Some(Push { to, topics })
    }

    /// Returns the most urgent topics that fit and their size in bytes, and drops the topics that
    /// have been pushed in all their rounds.
    fn take(&mut self, bytes_max: usize, fleet: usize) -> (Vec<Topic>, usize) {
        let rounds_max = rounds_for(fleet);
        let mut bytes = PUSH_OVERHEAD;
        let mut topics = Vec::new();
        // The sort is stable, so the newest stay last among equals and are taken first.
        self.pending.sort_by_key(urgency);
        for entry in self.pending.iter_mut().rev() {
            let topic = entry.topic_to_push();
            let size = size_of(topic);
            if bytes + size > bytes_max {
                continue;
            }
            bytes += size;
            entry.rounds += 1;
            topics.push(topic);
        }
        self.pending.retain(|entry| entry.rounds < rounds_max);
        (topics, bytes)
    }
}

/// Copies of one update that each balancer sends.
///
/// The natural logarithm of the fleet size (`ilog2 * 7 / 10`) reaches all but about one balancer.
/// The margin makes the updates of a whole rack reach every balancer.
#[must_use]
pub fn copies_for(fleet: usize) -> u32 {
    const MARGIN: u32 = 7;
    fleet.max(1).ilog2() * 7 / 10 + MARGIN
}

/// Rounds in which each balancer pushes one update.
#[must_use]
pub fn rounds_for(fleet: usize) -> u32 {
    copies_for(fleet).div_ceil(u32::try_from(FAN_OUT).unwrap_or(1))
}

/// Whether the later of two topics replaces the earlier.
fn is_same_subject(a: Topic, b: Topic) -> bool {
    subject(a) == subject(b)
}

const fn subject(topic: Topic) -> (u8, u64) {
    match topic {
        Topic::Target(id) | Topic::Verdict(id) => (0, id.0),
        Topic::Balancer(id) => (1, id.0),
        Topic::Revision(_) => (2, 0),
    }
}

/// Sort key, most urgent last: a revision, then the topics pushed in the fewest rounds.
fn urgency(entry: &Pending) -> (bool, u32) {
    let is_revision = matches!(entry.topic, Topic::Revision(_));
    (is_revision, u32::MAX - entry.rounds)
}

const fn size_of(topic: Topic) -> usize {
    match topic {
        Topic::Target(_) => TARGET_BYTES,
        Topic::Verdict(_) => VERDICT_BYTES,
        Topic::Balancer(_) => BALANCER_BYTES,
        Topic::Revision(content) => content,
    }
}
