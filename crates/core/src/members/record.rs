//! Records of targets and balancers as they announce themselves.
//!
//! The incarnation increases with every start of an agent, and the sequence with every change that
//! it announces. Two records of one target are therefore always ordered, and a delayed one cannot
//! overwrite a newer one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BalancerId, DomainId, GroupId, TargetId};

/// State of a target.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Announced, not yet ready for flows.
    #[default]
    Starting,
    /// Accepts new flows.
    Ready,
    /// Finishes its open flows and accepts no new ones.
    Draining,
    /// Gone.
    Dead,
}

impl TargetState {
    /// Whether the target accepts new flows.
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
    /// Identity of the target.
    pub id: TargetId,
    /// Group, the label by which pools select targets.
    pub group: GroupId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// UDP address at which the agent receives packets.
    pub agent: SocketAddr,
    /// Number of requests that the target can process concurrently.
    pub slots: u16,
    /// State that the agent announces.
    pub state: TargetState,
    /// Increases with every start of the agent.
    pub incarnation: u64,
    /// Increases with every change within an incarnation.
    pub sequence: u64,
}

impl TargetRecord {
    /// Incarnation and sequence, which order the records of one target.
    #[must_use]
    pub const fn version(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// One balancer as it announces itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerRecord {
    /// Identity of the balancer.
    pub id: BalancerId,
    /// Failure domain of the balancer.
    pub domain: DomainId,
    /// Address of its control socket, UDP and TCP.
    pub control: SocketAddr,
    /// Whether the balancer is leaving or gone.
    pub leaving: bool,
    /// Increases with every start.
    pub incarnation: u64,
    /// Increases with every change within an incarnation.
    pub sequence: u64,
}
