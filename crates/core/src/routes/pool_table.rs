//! One pool's table from a flow's hash to its ranked members.
//!
//! Weighted rendezvous hashing ranks the members of every bucket. A member that joins or leaves
//! moves only its own share of the buckets. The member that owned a bucket before a join is ranked
//! second in it, so the ranks also list the earlier owners, which may hold the flow.

use std::net::SocketAddr;

use crate::hash;
use crate::id::TargetId;
use crate::members::{TargetRecord, TargetState};

/// Number of members ranked in a bucket.
pub const RANKS: usize = 3;

const NO_MEMBER: u16 = u16::MAX;
const MIN_BUCKETS: usize = 64;
const MAX_BUCKETS: usize = 4_096;
const BUCKETS_PER_MEMBER: usize = 16;

/// A target in the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Identity of the target.
    pub id: TargetId,
    /// UDP address at which the agent receives packets.
    pub agent: SocketAddr,
    /// Number of requests that the target can process concurrently, its weight in the ranking.
    pub slots: u16,
    /// State used for routing.
    pub state: TargetState,
}

impl From<&TargetRecord> for Member {
    fn from(record: &TargetRecord) -> Self {
        Self {
            id: record.id,
            agent: record.agent,
            slots: record.slots,
            state: record.state,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    first_for_new: u16,
    ranked: [u16; RANKS],
}

/// Buckets and members of a pool.
#[derive(Clone, Debug)]
pub struct PoolTable {
    digest: u64,
    members: Vec<Member>,
    buckets: Vec<Bucket>,
    hints: Vec<(u32, u16)>,
}

impl PoolTable {
    /// Builds the table. `members` must be sorted by identity.
    #[must_use]
    pub fn build(members: Vec<Member>) -> Self {
        let count = bucket_count(members.len());
        let buckets = (0..count as u64)
            .map(|bucket| rank(bucket, &members))
            .collect();
        Self {
            digest: Self::digest_of(&members),
            hints: hints(&members),
            buckets,
            members,
        }
    }

    /// Digest of everything that a table is built from.
    #[must_use]
    pub fn digest_of(members: &[Member]) -> u64 {
        members.iter().fold(0, |digest, member| {
            let agent = hash::socket_addr(member.agent, member.id.0);
            let rest = (u64::from(member.slots) << 8) | member.state as u64;
            hash::pair(hash::pair(digest, agent), rest)
        })
    }

    /// Digest of this table's members.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Members sorted by identity.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Member for a new flow, or `None` if no member accepts new flows.
    #[must_use]
    pub fn first_for_new(&self, hash: u64) -> Option<u16> {
        let member = self.bucket(hash)?.first_for_new;
        (member != NO_MEMBER).then_some(member)
    }

    /// Members that may hold a flow, most likely first.
    pub fn ranked(&self, hash: u64) -> impl Iterator<Item = u16> {
        self.bucket(hash)
            .into_iter()
            .flat_map(|bucket| bucket.ranked)
            .filter(|member| *member != NO_MEMBER)
    }

    /// The only member with this hint, or `None` if there is none or several share it.
    #[must_use]
    pub fn by_hint(&self, hint: u32) -> Option<u16> {
        let at = self.hints.partition_point(|(other, _)| *other < hint);
        let (found, member) = *self.hints.get(at)?;
        let shared = self
            .hints
            .get(at + 1)
            .is_some_and(|(other, _)| *other == hint);
        (found == hint && !shared).then_some(member)
    }

    fn bucket(&self, hash: u64) -> Option<&Bucket> {
        if self.members.is_empty() {
            return None;
        }
        // The number of buckets is a power of two, so the mask selects them uniformly.
        let mask = self.buckets.len() as u64 - 1;
        let at = usize::try_from(hash & mask).ok()?;
        self.buckets.get(at)
    }
}

fn bucket_count(members: usize) -> usize {
    (members * BUCKETS_PER_MEMBER)
        .next_power_of_two()
        .clamp(MIN_BUCKETS, MAX_BUCKETS)
}

fn hints(members: &[Member]) -> Vec<(u32, u16)> {
    let mut hints: Vec<_> = (0_u16..)
        .zip(members)
        .map(|(at, member)| (member.id.hint(), at))
        .collect();
    hints.sort_unstable();
    hints
}

fn rank(bucket: u64, members: &[Member]) -> Bucket {
    let mut best = [(f64::INFINITY, NO_MEMBER); RANKS];
    let mut best_for_new = (f64::INFINITY, NO_MEMBER);
    for (at, member) in (0_u16..).zip(members) {
        let cost = cost(bucket, member);
        if member.state.takes_new() && cost < best_for_new.0 {
            best_for_new = (cost, at);
        }
        let index = best.iter().position(|(other, _)| cost < *other);
        if let Some(index) = index {
            best[index..].rotate_right(1);
            best[index] = (cost, at);
        }
    }
    Bucket {
        first_for_new: best_for_new.1,
        ranked: best.map(|(_, at)| at),
    }
}

/// Exponential variate with rate `slots`. The member with the smallest cost owns the bucket, which
/// makes its share of the buckets proportional to its slots.
fn cost(bucket: u64, member: &Member) -> f64 {
    const UNIT: f64 = 1.0 / 9_007_199_254_740_992.0;
    let bits = hash::pair(member.id.0, bucket) >> 11;
    // 53 bits fit an `f64` exactly. Adding one half keeps the argument of the logarithm above zero.
    #[expect(clippy::cast_precision_loss)]
    let uniform = (bits as f64 + 0.5) * UNIT;
    -uniform.ln() / f64::from(member.slots.max(1))
}
