//! Commands of the control thread of an agent to its traffic thread.

use std::net::SocketAddr;

use citronhollow_core::id::InstanceId;
use citronhollow_core::members::TargetState;
use citronhollow_core::pass_through::{FlowList, Heartbeat};
use tokio::sync::oneshot;

/// From the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// The target sent a heartbeat. Answered when it is applied.
    Heartbeat(Heartbeat, oneshot::Sender<()>),
    /// An instance of the target says that it is gone. Answered when it is applied.
    InstanceLeave(InstanceId, oneshot::Sender<()>),
    /// An earlier agent of the target left this list of flows.
    Inherit(FlowList),
    /// Answered with the flows to be listed.
    ListFlows(oneshot::Sender<Option<FlowList>>),
    /// Balancers may be at these addresses.
    Balancers(Vec<SocketAddr>),
    /// The agent is going to be stopped. Answered with the target's state when it has no request in
    /// progress.
    Leave(oneshot::Sender<TargetState>),
    /// The process ends.
    Stop,
}
