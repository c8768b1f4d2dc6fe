//! Decisions of pass-through delivery, where the target itself ends the caller's flow.
//!
//! The other way of delivery, [`crate::flows`], ends the caller's TCP at the agent. Here packets
//! reach the target as the caller wrote them, so nothing that an agent forgets is lost: the target
//! still holds its flows, and returns a packet of a flow that it does not hold. That decides what
//! may be concluded. An agent that was started again answers that it may hold a flow until its
//! target has shown otherwise, and a flow is reset only with proof that no target holds it.
//!
//! [`Balancer`] chooses the target of a new flow, remembers it and searches for the holder of a
//! flow that it does not know. [`Agent`] watches the packets of its target in both directions:
//! from them it knows which flows the target holds and how busy it is. Its [`Report`] is all that
//! balancers know of a target.

mod abandoned;
mod agent;
mod balancer;
mod conn;
mod contacts;
mod fleet;
mod packet;
mod search;
mod steering;

pub use abandoned::{ABANDONED_LOOKS, Abandoned};
pub use agent::{Agent, AgentAction, AgentLimits, FlowList, Heartbeat, ListedFlow, Place};
pub use balancer::{Balancer, BalancerAction, BalancerLimits};
pub use contacts::Contacts;
pub use fleet::{REMOTE_REPORT_INTERVAL, Report};
pub use packet::{DropReason, Holding, Offer, Packet, RejectReason, Rejected, Reset, ResetReason};
