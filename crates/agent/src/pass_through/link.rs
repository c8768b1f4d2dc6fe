//! Commands from an agent's control thread to its traffic thread.

use std::net::SocketAddr;

use citronhollow_core::id::InstanceId;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{FlowList, Heartbeat};
use tokio::sync::oneshot;

/// A command from the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// The target sent a heartbeat. Acknowledged once it is applied.
    Heartbeat(Heartbeat, oneshot::Sender<()>),
    /// An instance of the target sent a leave notice. Acknowledged once it is applied.
    TargetLeave(InstanceId, oneshot::Sender<()>),
    /// Take over the flows that an earlier agent of the target has listed in the store.
    Inherit(FlowList),
    /// Answer with the list of flows to store, if there is one.
    ListFlows(oneshot::Sender<Option<FlowList>>),
    /// Addresses at which there may be balancers.
    Balancers(Vec<SocketAddr>),
    /// Announce that the agent is about to stop. Answered with the target's state once it has no
    /// request in progress, or at a timeout.
    Leave(oneshot::Sender<TargetState>),
    /// End the thread.
    Stop,
}
