//! Token bucket that limits bytes per second.

use crate::clock::Millis;

/// Token bucket with a rate and a burst. One spend may overdraw it, and the balance then has to
/// recover before the next.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_s: i64,
    burst: i64,
    /// Thousandths of a byte, so that refills for short spans are not lost to rounding.
    milli_tokens: i64,
    at: Millis,
}

impl TokenBucket {
    /// A full bucket with `per_s` bytes per second and a `burst` in bytes.
    #[must_use]
    pub const fn new(per_s: u32, burst: u32) -> Self {
        Self {
            per_s: per_s as i64,
            burst: burst as i64 * 1_000,
            milli_tokens: burst as i64 * 1_000,
            at: Millis::ZERO,
        }
    }

    /// Refills the bucket and returns the bytes that may be spent now.
    pub fn available(&mut self, now: Millis) -> usize {
        let span = i64::try_from(now.since(self.at).0).unwrap_or(i64::MAX);
        let earned = self.per_s.saturating_mul(span);
        self.milli_tokens = self.milli_tokens.saturating_add(earned).min(self.burst);
        self.at = self.at.max(now);
        usize::try_from(self.milli_tokens / 1_000).unwrap_or(0)
    }

    /// Spends bytes, also beyond what is available.
    pub fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let spent = bytes.saturating_mul(1_000);
        self.milli_tokens = self.milli_tokens.saturating_sub(spent);
    }
}
