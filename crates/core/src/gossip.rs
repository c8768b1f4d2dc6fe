//! Spreading of updates among balancers.
//!
//! Updates are pushed to a few random peers a round, for a number of rounds that grows with the
//! logarithm of the fleet, so that every balancer gets it within seconds at a cost that does not
//! depend on who is slow or gone. What is lost on the way is repaired by comparing digests with a
//! random peer. A token bucket bounds the bytes: under a flood of updates a revision goes first, then
//! what was pushed least, then the newest, and the rest waits for its turn or for the repair.

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
