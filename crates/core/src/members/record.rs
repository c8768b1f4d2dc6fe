//! Records of targets and balancers as they announce themselves.
//!
//! The incarnation grows with every start of an agent, and the sequence with every change that it
//! announces, so that two records of one target always have an order and a late one cannot undo a
//! newer one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BalancerId, DomainId, GroupId, TargetId};

/// What a target can take.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Announced, not ready for flows.
    #[default]
    Starting,
    /// Takes new flows.
    Ready,
    /// Finishes the flows it has and takes no new ones.
    Draining,
    /// Known to be gone.
    Dead,
}

impl TargetState {
    /// Whether the target may be given a new flow.
    #[must_use]
    pub const fn takes_new(self) -> bool {
        matches!(self, Self::Ready)
    }

    /// Whether the target may still hold flows.
    #[must_use]
    pub const fn may_hold(self) -> bool {
        matches!(self, Self::Ready | Self::Draining | Self::Starting)
    }
}

/// One target as its agent announces it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Who.
    pub id: TargetId,
    /// The label that pools select by.
    pub group: GroupId,
    /// The failure domain it runs in.
    pub domain: DomainId,
    /// UDP address at which its agent takes packets.
    pub agent: SocketAddr,
    /// Requests it can work on at once.
    pub slots: u16,
    /// What it can take.
    pub state: TargetState,
    /// Grows with every start of the agent.
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    pub sequence: u64,
}

impl TargetRecord {
    /// Order of two records of one target, the later one greater.
    #[must_use]
    pub const fn version(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// One balancer as it announces itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerRecord {
    /// Who.
    pub id: BalancerId,
    /// The failure domain it runs in.
    pub domain: DomainId,
    /// Address of its control socket, UDP and TCP.
    pub control: SocketAddr,
    /// Whether it is leaving or gone.
    pub leaving: bool,
    /// Grows with every start.
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    pub sequence: u64,
}
