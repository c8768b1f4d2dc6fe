//! The queue of updates that is still to be pushed.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::budget::TokenBucket;
use super::peers::choose_peers;
use crate::clock::Millis;
use crate::id::{BalancerId, TargetId};
use crate::members::BalancerRecord;

/// Time between two rounds of pushes.
pub const ROUND: Millis = Millis(200);

/// Peers that get a push in one round.
pub const FAN_OUT: usize = 3;

/// Bytes a second that pushes may take, headers included.
pub const BUDGET_PER_S: u32 = 1_200;

/// Bytes that pushes may take at once after a calm time.
pub const BUDGET_BURST: u32 = 24_576;

/// Bytes of a datagram that carry updates, the rest being headers and tag.
const PUSH_BYTES_MAX: usize = 1_300;

/// Headers of IP, UDP and frame, tag and fixed fields of a push, in bytes.
const PUSH_OVERHEAD: usize = 60;

/// Largest encoded target, in bytes.
const TARGET_BYTES: usize = 80;

/// Bytes that the number of a revision takes.
pub const NUMBER_BYTES: usize = 12;

/// Rounds in which a push carries a revision's content.
const CONTENT_ROUNDS: u32 = 2;

/// Largest encoded verdict, in bytes.
const VERDICT_BYTES: usize = 32;

/// Largest encoded balancer, in bytes.
const BALANCER_BYTES: usize = 64;

/// What an update is about. Its content is looked up when it is pushed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// A target.
    Target(TargetId),
    /// The verdict on a target whose record did not change.
    Verdict(TargetId),
    /// A balancer.
    Balancer(BalancerId),
    /// The highest revision, with as many bytes of content as the push carries.
    Revision(usize),
}

/// Updates for some peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Push {
    /// Who gets it.
    pub to: Vec<BalancerRecord>,
    /// What it is about, most urgent first.
    pub topics: Vec<Topic>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    topic: Topic,
    rounds: u32,
}

impl Pending {
    /// Most of those that get a late push have the content by then, and the others fetch it.
    const fn topic_to_push(&self) -> Topic {
        match self.topic {
            Topic::Revision(_) if self.rounds >= CONTENT_ROUNDS => Topic::Revision(NUMBER_BYTES),
            topic => topic,
        }
    }
}

/// Updates that this process still pushes.
#[derive(Clone, Debug)]
pub struct GossipQueue {
    pending: Vec<Pending>,
    budget: TokenBucket,
    rng: SmallRng,
}

impl GossipQueue {
    /// An empty queue whose choices follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            pending: Vec::new(),
            budget: TokenBucket::new(BUDGET_PER_S, BUDGET_BURST),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes updates in. An update on the same subject replaces the older.
    pub fn add(&mut self, topic: Topic) {
        let old = self
            .pending
            .iter()
            .position(|entry| is_same_subject(entry.topic, topic));
        let old = old.map(|place| self.pending.remove(place).topic);
        let topic = match (old, topic) {
            // Peers lack the record to which the verdict belongs, so they need both.
            (Some(Topic::Target(id)), Topic::Verdict(_)) => Topic::Target(id),
            _ => topic,
        };
        self.pending.push(Pending { topic, rounds: 0 });
    }

    /// Updates still to be pushed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nothing is to be pushed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The pushes of one round, none if there is no update, no peer or no budget.
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

    /// Takes the most urgent topics that fit, and drops those that had all their rounds.
    fn take(&mut self, bytes_max: usize, fleet: usize) -> (Vec<Topic>, usize) {
        let rounds_max = rounds_for(fleet);
        let mut bytes = PUSH_OVERHEAD;
        let mut topics = Vec::new();
        // The sort is stable, so that the newest stay last among equals.
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

/// Copies of one update that each balancer sends: the logarithm of the fleet, which reaches
/// all but about one balancer, and a margin, which leaves none out of a rack's worth of updates.
#[must_use]
pub fn copies_for(fleet: usize) -> u32 {
    const MARGIN: u32 = 7;
    fleet.max(1).ilog2() * 7 / 10 + MARGIN
}

/// Rounds in which one update is pushed.
#[must_use]
pub fn rounds_for(fleet: usize) -> u32 {
    copies_for(fleet).div_ceil(u32::try_from(FAN_OUT).unwrap_or(1))
}

/// Whether two topics are about the same thing, so that the later takes the place of the earlier.
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

/// A revision goes first, then what was pushed least, then the newest.
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
