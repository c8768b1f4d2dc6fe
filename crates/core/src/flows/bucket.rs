//! Token buckets.

use crate::clock::Millis;

/// Fill rate of a bucket. The capacity is one second's worth of tokens, and at least one token
/// unless the rate is zero.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Rate {
    milli_per_s: u64,
}

impl Rate {
    pub(super) const fn per_s(tokens: u32) -> Self {
        Self {
            milli_per_s: tokens as u64 * 1_000,
        }
    }

    /// One agent's share of a rate that is divided among several agents.
    pub(super) fn share(tokens: u32, agents: u32) -> Self {
        let all = u64::from(tokens) * MILLI;
        Self {
            milli_per_s: all / u64::from(agents.max(1)),
        }
    }

    const fn capacity_micro(self) -> u64 {
        let milli = match self.milli_per_s {
            0 => 0,
            1..=MILLI => MILLI,
            more => more,
        };
        milli * MILLI
    }
}

const MILLI: u64 = 1_000;
const MICRO: u64 = 1_000_000;

/// A token bucket. Counts in millionths of a token, so that one millisecond's share of any rate is
/// a whole number.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    micro: u64,
    filled_at: Millis,
}

impl Bucket {
    pub(super) const fn full(now: Millis, rate: Rate) -> Self {
        Self {
            micro: rate.capacity_micro(),
            filled_at: now,
        }
    }

    /// Takes all of the tokens or none. Returns whether it took them.
    pub(super) fn take(&mut self, now: Millis, rate: Rate, tokens: usize) -> bool {
        self.fill(now, rate);
        let micro = tokens as u64 * MICRO;
        if self.micro < micro {
            return false;
        }
        self.micro -= micro;
        true
    }

    /// Returns one taken token to the bucket.
    pub(super) const fn refund(&mut self) {
        self.micro += MICRO;
    }

    /// Time until one token is available.
    pub(super) fn time_to_one(&self, rate: Rate) -> Millis {
        let missing = MICRO.saturating_sub(self.micro);
        Millis(missing.div_ceil(rate.milli_per_s.max(1)))
    }

    fn fill(&mut self, now: Millis, rate: Rate) {
        let span = now.since(self.filled_at).0;
        let gained = span.saturating_mul(rate.milli_per_s);
        let micro = self.micro.saturating_add(gained);
        self.micro = micro.min(rate.capacity_micro());
        self.filled_at = self.filled_at.max(now);
    }
}
