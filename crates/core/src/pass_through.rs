//! Decisions of pass-through delivery, where the target itself terminates the caller's flow.
//!
//! With the other way of delivery, [`crate::flows`], the agent terminates the caller's TCP
//! connection. Here packets reach the target as the caller wrote them, so no flow is lost when an
//! agent loses its state: the target still holds its flows, and returns packets of flows that it
//! does not hold. A restarted agent therefore answers that its target may hold a flow until the
//! target has shown otherwise, and a flow is reset only with proof that no target holds it.
//!
//! [`Balancer`] chooses the target of a new flow, remembers it, and searches for the target that
//! holds an unknown flow. [`Agent`] observes the packets of its target in both directions to
//! determine which flows the target holds and how busy it is. Balancers learn about a target only
//! from the agent's [`Report`].

mod abandoned;
mod agent;
mod balancer;
mod conn;
mod contacts;
mod fleet;
mod packet;
mod search;
mod steering;

pub use abandoned::{ABANDONED_LISTINGS, Abandoned};
pub use agent::{Agent, AgentAction, AgentIdentity, AgentLimits, FlowList, Heartbeat, ListedFlow};
pub use balancer::{Balancer, BalancerAction, BalancerLimits};
pub use contacts::Contacts;
pub use fleet::{REMOTE_REPORT_INTERVAL, Report};
pub use packet::{DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset, ResetReason};
