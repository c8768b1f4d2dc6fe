//! Gossip: dissemination of updates among balancers.
//!
//! Each round pushes updates to a few random peers, and the number of rounds per update grows with
//! the logarithm of the fleet size. Every balancer gets an update within seconds, at a cost that
//! does not depend on slow or unreachable peers. Lost updates are repaired by anti-entropy:
//! comparing digests with a random peer. A token bucket limits the bytes sent. If there are more
//! updates than the budget allows, a revision is sent first, then the updates that were pushed the
//! fewest times, then the newest. The rest waits for a later round or for the repair.

mod action;
mod budget;
mod delta;
mod liveness;
mod node;
mod peers;
mod polls;
mod queue;
mod repair;
mod reports;

pub use action::{Action, Summary, Update};
pub use budget::TokenBucket;
pub use delta::RevisionDelta;
pub use liveness::{GONE_AFTER, Liveness, PROBE_RETRY, PROBE_SILENT_EVERY, PROBES_MAX};
pub use node::{FETCH_AGAIN_AFTER, GossipNode, INLINE_MAX, JOIN_EVERY, JOIN_TIMEOUT};
pub use peers::choose_peers;
pub use polls::{POLL_AGAIN_AFTER, POLLS_UNANSWERED_MAX, Polls};
pub use queue::{
    BUDGET_BURST, BUDGET_PER_S, FAN_OUT, GossipQueue, Push, ROUND, Topic, copies_for, rounds_for,
};
pub use repair::{
    BUCKETS_PER_FETCH, DIGEST_EVERY, DIGEST_EVERY_IN_REPAIR, REPAIR_FOR, buckets_to_fetch,
    comparable_digests,
};
pub use reports::{AgentReport, BalancerReport, Reports};
