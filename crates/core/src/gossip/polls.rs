//! Polls of other balancers for their lowest revision.
//!
//! Summaries carry it too, but from one random peer at a time, which takes hours in a large fleet.
//! The lowest revision is only needed at times: by a balancer that may publish or on which an
//! operator's command waits. That balancer polls the others, a few at a time, and only those that
//! were behind in their last answer.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::id::BalancerId;
use crate::members::BalancerRecord;

/// Interval between polls of one balancer.
pub const POLL_AGAIN_AFTER: Millis = Millis(500);

/// Consecutive unanswered polls that are tolerated. With one more, a balancer counts as not
/// answering.
pub const POLLS_UNANSWERED_MAX: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct Poll {
    at: Millis,
    unanswered: u32,
}

/// Polls sent to other balancers.
#[derive(Clone, Debug, Default)]
pub struct Polls {
    sent: HashMap<BalancerId, Poll>,
}

impl Polls {
    /// Returns the balancers to poll now and records the polls as sent: at most `count` of those
    /// that are behind, least recently polled first.
    pub fn due(
        &mut self,
        now: Millis,
        behind: impl Iterator<Item = BalancerRecord>,
        count: usize,
    ) -> Vec<BalancerRecord> {
        let mut due: Vec<_> = behind
            .map(|record| (self.sent.get(&record.id).map(|poll| poll.at), record))
            .filter(|(at, _)| at.is_none_or(|at| now.since(at) >= POLL_AGAIN_AFTER))
            .collect();
        due.sort_unstable_by_key(|(at, record)| (*at, record.id));
        due.truncate(count);
        for (_, record) in &due {
            let poll = self.sent.entry(record.id).or_insert(Poll {
                at: now,
                unanswered: 0,
            });
            poll.at = now;
            poll.unanswered = poll.unanswered.saturating_add(1);
        }
        due.into_iter().map(|(_, record)| record).collect()
    }

    /// Records an answer, which resets the count of unanswered polls.
    pub fn on_answer(&mut self, id: BalancerId) {
        if let Some(poll) = self.sent.get_mut(&id) {
            poll.unanswered = 0;
        }
    }

    /// Whether a balancer has at most [`POLLS_UNANSWERED_MAX`] unanswered polls.
    #[must_use]
    pub fn is_answering(&self, id: BalancerId) -> bool {
        let unanswered = self.sent.get(&id).map_or(0, |poll| poll.unanswered);
        unanswered <= POLLS_UNANSWERED_MAX
    }

    /// Removes the balancers for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(BalancerId) -> bool) {
        self.sent.retain(|id, _| is_present(*id));
    }
}
