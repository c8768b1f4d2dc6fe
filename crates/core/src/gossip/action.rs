//! Contents of gossip messages, and the actions that the gossip protocol requests.

use std::net::SocketAddr;

use crate::members::{BalancerRecord, TargetUpdate, VerdictUpdate};

/// Updates pushed from one balancer to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Changed targets, with their full records.
    pub targets: Vec<TargetUpdate>,
    /// Verdicts on targets whose records did not change.
    pub verdicts: Vec<VerdictUpdate>,
    /// Changed balancers.
    pub balancers: Vec<BalancerRecord>,
    /// Highest revision known to the sender.
    pub revision: u64,
    /// Whether the push includes the revision's content.
    pub carries_revision: bool,
}

/// Summary of one balancer's state, for a peer to compare with its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The sender.
    pub sender: BalancerRecord,
    /// Highest revision known to the sender.
    pub revision: u64,
    /// Lowest revision of the sender and of the agents that report to it.
    pub lowest_revision: u64,
    /// Digest of each bucket of members, zero for a bucket that changed recently.
    pub members: Vec<u64>,
    /// Whether the receiver must reply with its own summary.
    pub wants_answer: bool,
}

/// A message to send or a fetch to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a balancer for the lowest revision of itself and of the agents that report to it.
    AskLowest {
        /// Receiver.
        to: SocketAddr,
    },
    /// Push updates.
    Push {
        /// Receiver.
        to: SocketAddr,
        /// Content of the push.
        update: Update,
    },
    /// Send a summary.
    Compare {
        /// Receiver.
        to: SocketAddr,
        /// The sender's state.
        summary: Summary,
    },
    /// Fetch members and pass them to [`GossipNode::on_members`](super::GossipNode::on_members).
    FetchMembers {
        /// Balancer to fetch from.
        from: SocketAddr,
        /// Digest buckets whose members to fetch, or empty for all.
        buckets: Vec<usize>,
    },
    /// Fetch the latest revision.
    FetchRevision {
        /// Balancer to fetch from.
        from: SocketAddr,
    },
}
