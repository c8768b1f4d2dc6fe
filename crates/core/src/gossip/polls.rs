//! Which balancers to ask for their lowest revision.
//!
//! Digests bring it too, but one random peer at a time, which takes hours in a large fleet. Nobody
//! needs the lowest revision all the time, so a balancer that does need it, because it may publish
//! or because an operator waits, polls the others, a few at a time and only those that were behind
//! when they last answered.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::id::BalancerId;
use crate::members::BalancerRecord;

/// Time between two polls of one balancer.
pub const POLL_AGAIN_AFTER: Millis = Millis(500);

/// Polls in a row without an answer after which a balancer counts as not answering.
pub const POLLS_UNANSWERED_MAX: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct Poll {
    at: Millis,
    unanswered: u32,
}

/// Polls sent to the other balancers.
#[derive(Clone, Debug, Default)]
pub struct Polls {
    sent: HashMap<BalancerId, Poll>,
}

impl Polls {
    /// Takes note of polls, and returns the balancers to poll now: at most `count` of those that
    /// are behind, the one polled longest ago first.
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

    /// A balancer answered.
    pub fn on_answer(&mut self, id: BalancerId) {
        if let Some(poll) = self.sent.get_mut(&id) {
            poll.unanswered = 0;
        }
    }

    /// Whether a balancer answers, as far as is known.
    #[must_use]
    pub fn is_answering(&self, id: BalancerId) -> bool {
        let unanswered = self.sent.get(&id).map_or(0, |poll| poll.unanswered);
        unanswered <= POLLS_UNANSWERED_MAX
    }

    /// Forgets the balancers for which `is_present` says no.
    pub fn retain(&mut self, is_present: impl Fn(BalancerId) -> bool) {
        self.sent.retain(|id, _| is_present(*id));
    }
}
