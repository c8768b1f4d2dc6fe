//! What balancers tell one another, and what one of them is to do.

use std::net::SocketAddr;

use crate::members::{BalancerRecord, TargetUpdate, VerdictUpdate};

/// Updates, pushed from one balancer to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Targets that changed.
    pub targets: Vec<TargetUpdate>,
    /// Verdicts on targets that did not change otherwise.
    pub verdicts: Vec<VerdictUpdate>,
    /// Balancers that changed.
    pub balancers: Vec<BalancerRecord>,
    /// Highest revision that the sender has.
    pub revision: u64,
    /// Whether the push carries the revision's content.
    pub carries_revision: bool,
}

/// What one balancer has, for another to compare.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The sender.
    pub sender: BalancerRecord,
    /// Highest revision that the sender has.
    pub revision: u64,
    /// Lowest revision of the sender and of the agents that report to it.
    pub lowest_revision: u64,
    /// Digest of each slice, zero where a change is on its way.
    pub members: Vec<u64>,
    /// Whether the receiver is to answer with its own.
    pub wants_answer: bool,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a balancer for the lowest revision among it and the agents that report to it.
    AskLowest {
        /// The balancer.
        to: SocketAddr,
    },
    /// Push updates.
    Push {
        /// To whom.
        to: SocketAddr,
        /// What.
        update: Update,
    },
    /// Send a summary.
    Compare {
        /// To whom.
        to: SocketAddr,
        /// What.
        summary: Summary,
    },
    /// Fetch members and hand them to [`GossipNode::on_members`](super::GossipNode::on_members).
    FetchMembers {
        /// From whom.
        from: SocketAddr,
        /// Which slices, none for all.
        buckets: Vec<usize>,
    },
    /// Fetch the revision.
    FetchRevision {
        /// From whom.
        from: SocketAddr,
    },
}
