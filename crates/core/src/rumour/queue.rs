//! The queue of news that is still to be pushed.

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
pub const BUDGET_BURST: u32 = 16_384;

/// Bytes of a datagram that carry news, the rest being headers and tag.
const PUSH_BYTES_MAX: usize = 1_300;

/// Headers of IP, UDP and frame, tag and fixed fields of a push, in bytes.
const PUSH_OVERHEAD: usize = 60;

/// Largest encoded target, in bytes.
const TARGET_BYTES: usize = 80;

/// Largest encoded balancer, in bytes.
const BALANCER_BYTES: usize = 64;

/// What a piece of news is about. Its content is looked up when it is pushed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// A target.
    Target(TargetId),
    /// A balancer.
    Balancer(BalancerId),
    /// The highest revision, with as many bytes of content as the push carries.
    Revision(usize),
}

/// News for some peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Push {
    /// Who gets it.
    pub to: Vec<BalancerRecord>,
    /// What it is about, newest first.
    pub topics: Vec<Topic>,
}

#[derive(Clone, Copy, Debug)]
struct Hot {
    topic: Topic,
    rounds: u32,
}

/// News that this process still pushes.
#[derive(Clone, Debug)]
pub struct Rumours {
    /// The newest last.
    hot: Vec<Hot>,
    budget: TokenBucket,
    rng: SmallRng,
}

impl Rumours {
    /// An empty queue whose choices follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            hot: Vec::new(),
            budget: TokenBucket::new(BUDGET_PER_S, BUDGET_BURST),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes news in. News on the same topic replaces the older.
    pub fn add(&mut self, topic: Topic) {
        self.hot.retain(|hot| !is_same(hot.topic, topic));
        self.hot.push(Hot { topic, rounds: 0 });
    }

    /// News still to be pushed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hot.len()
    }

    /// Whether nothing is to be pushed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hot.is_empty()
    }

    /// The pushes of one round, none if there is no news, no peer or no budget.
    pub fn round(
        &mut self,
        now: Millis,
        me: &BalancerRecord,
        peers: &[BalancerRecord],
    ) -> Option<Push> {
        if self.hot.is_empty() || peers.is_empty() {
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

    /// Takes the topics that fit, a revision first and then the newest, and drops those that had
    /// all their rounds.
    fn take(&mut self, bytes_max: usize, fleet: usize) -> (Vec<Topic>, usize) {
        let rounds_max = rounds_for(fleet);
        let mut bytes = PUSH_OVERHEAD;
        let mut topics = Vec::new();
        self.hot.sort_by_key(|hot| is_revision(hot.topic));
        for hot in self.hot.iter_mut().rev() {
            let size = size_of(hot.topic);
            if bytes + size > bytes_max {
                continue;
            }
            bytes += size;
            hot.rounds += 1;
            topics.push(hot.topic);
        }
        self.hot.retain(|hot| hot.rounds < rounds_max);
        (topics, bytes)
    }
}

/// Copies of one piece of news that each balancer sends, so that less than one balancer in a
/// hundred spreadings is left out: the logarithm of the fleet and a margin.
#[must_use]
pub fn copies_for(fleet: usize) -> u32 {
    const MARGIN: u32 = 4;
    fleet.max(1).ilog2() * 7 / 10 + MARGIN
}

/// Rounds in which one piece of news is pushed.
#[must_use]
pub fn rounds_for(fleet: usize) -> u32 {
    copies_for(fleet).div_ceil(u32::try_from(FAN_OUT).unwrap_or(1))
}

fn is_same(a: Topic, b: Topic) -> bool {
    a == b || is_revision(a) && is_revision(b)
}

const fn is_revision(topic: Topic) -> bool {
    matches!(topic, Topic::Revision(_))
}

const fn size_of(topic: Topic) -> usize {
    match topic {
        Topic::Target(_) => TARGET_BYTES,
        Topic::Balancer(_) => BALANCER_BYTES,
        Topic::Revision(content) => content,
    }
}
