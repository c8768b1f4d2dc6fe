//! Commands from the rest of the process to the control thread.

use std::net::SocketAddr;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::Counts;
use citronhollow_operator::status::{DrainStatus, FleetStatus};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::publish::FleetView;

/// Capacity of the command queue.
const COMMANDS_MAX: usize = 64;

/// Status of the control thread for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Targets, counted by how the routes treat them.
    pub targets: Counts,
    /// Agents that report to this balancer.
    pub reporting: usize,
    /// Known balancers that are not leaving, including this one.
    pub balancers: usize,
    /// Revision in force here.
    pub revision: u64,
    /// Frames refused since the start: a wrong key, a wrong version or an invalid message.
    pub refused_frames: u64,
    /// Whether this balancer receives messages from no other process.
    pub is_isolated: bool,
    /// Whether this balancer is about to exit.
    pub is_leaving: bool,
    /// Drains requested at this balancer.
    pub drains: Vec<DrainStatus>,
}

/// Command to the control loop.
#[derive(Debug)]
pub enum Command {
    /// Start or end a drain of a target.
    Drain {
        /// Name of the target.
        name: String,
        /// `true` starts the drain, `false` ends it.
        on: bool,
        /// Receives the outcome.
        done: oneshot::Sender<Result<(), ErrorKind>>,
    },
    /// Reply with the status of every member.
    Fleet(oneshot::Sender<FleetStatus>),
    /// Reply with the status of the control thread.
    Status(oneshot::Sender<Status>),
    /// Leave the fleet.
    Leave,
}

/// Handle to the control thread for the rest of the process.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    addr: SocketAddr,
    commands: mpsc::Sender<Command>,
    fleet_view: watch::Receiver<FleetView>,
}

/// The loop's side of a [`ControlHandle`].
#[derive(Debug)]
pub(super) struct ControlChannel {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) fleet_view: watch::Sender<FleetView>,
}

/// Creates a handle and the loop's side of it.
pub(super) fn channel(addr: SocketAddr) -> (ControlHandle, ControlChannel) {
    let (commands, receiver) = mpsc::channel(COMMANDS_MAX);
    let (fleet_view_tx, fleet_view) = watch::channel(FleetView::default());
    let handle = ControlHandle {
        addr,
        commands,
        fleet_view,
    };
    let channel = ControlChannel {
        commands: receiver,
        fleet_view: fleet_view_tx,
    };
    (handle, channel)
}

impl ControlHandle {
    /// Address of the control sockets.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts or ends a drain of a target and waits until its agent confirms it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if no target has the name, [`ErrorKind::Timeout`] if the agent does
    /// not confirm the state in time. The request may still take effect later; it is idempotent and
    /// may be repeated.
    pub async fn send_drain(&self, name: &str, on: bool) -> Result<(), ErrorKind> {
        let (done, outcome) = oneshot::channel();
        let command = Command::Drain {
            name: String::from(name),
            on,
            done,
        };
        self.send(command).await;
        outcome.await.unwrap_or(Err(ErrorKind::Timeout))
    }

    /// The view of the fleet for the publisher, as of the last tick.
    #[must_use]
    pub fn fleet_view(&self) -> FleetView {
        *self.fleet_view.borrow()
    }

    /// Status of every known member, `None` if the control thread has ended.
    pub async fn fleet(&self) -> Option<FleetStatus> {
        let (reply, fleet) = oneshot::channel();
        self.send(Command::Fleet(reply)).await;
        fleet.await.ok()
    }

    /// Status of the control thread, `None` if it has ended.
    pub async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Command::Status(reply)).await;
        status.await.ok()
    }

    /// Starts to leave the fleet. The control thread ends after [`super::LEAVE_DURATION`].
    pub async fn leave(&self) {
        self.send(Command::Leave).await;
    }

    /// Sends a command. If the loop has ended, the command is dropped and its reply channel closes.
    async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}
