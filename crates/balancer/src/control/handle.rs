//! What the rest of the process asks of the control thread.

use std::net::SocketAddr;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::Counts;
use citronhollow_operator::status::{DrainStatus, FleetStatus};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::publish::FleetView;

/// Commands that wait for the loop.
const COMMANDS_MAX: usize = 64;

/// What an operator sees of the control thread.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Targets by what the routes do with them.
    pub targets: Counts,
    /// Agents that report to this balancer.
    pub reporting: usize,
    /// Balancers known and not leaving, this one included.
    pub balancers: usize,
    /// Revision in force here.
    pub revision: u64,
    /// Frames refused since the start: a wrong key, a wrong version or a message that is invalid.
    pub refused_frames: u64,
    /// Whether this balancer hears from nobody.
    pub is_isolated: bool,
    /// Whether this balancer is about to exit.
    pub is_leaving: bool,
    /// Drains asked for at this balancer.
    pub drains: Vec<DrainStatus>,
}

/// To the loop.
#[derive(Debug)]
pub enum Command {
    /// Drain a target, or stop doing so.
    Drain {
        /// Name of the target.
        name: String,
        /// Whether it drains.
        on: bool,
        /// Takes the outcome.
        done: oneshot::Sender<Result<(), ErrorKind>>,
    },
    /// Tell of every member.
    Fleet(oneshot::Sender<FleetStatus>),
    /// Tell the status.
    Status(oneshot::Sender<Status>),
    /// Leave the fleet.
    Leave,
}

/// The rest of the process's side of the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    addr: SocketAddr,
    commands: mpsc::Sender<Command>,
    fleet_view: watch::Receiver<FleetView>,
}

/// The loop's end of a handle.
#[derive(Debug)]
pub(super) struct ControlChannel {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) fleet_view: watch::Sender<FleetView>,
}

/// A handle and the loop's end of it.
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

    /// Drains a target or stops doing so, and waits until its agent shows it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if no target has the name, [`ErrorKind::Timeout`] if the agent does
    /// not show the state in time. It may then still come to it: the request is idempotent and may
    /// be repeated.
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

    /// This balancer's fleet_view in the fleet.
    #[must_use]
    pub fn fleet_view(&self) -> FleetView {
        *self.fleet_view.borrow()
    }

    /// Every member that the control thread knows, none if it has ended.
    pub async fn fleet(&self) -> Option<FleetStatus> {
        let (reply, fleet) = oneshot::channel();
        self.send(Command::Fleet(reply)).await;
        fleet.await.ok()
    }

    /// What the control thread knows, none if it has ended.
    pub async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Command::Status(reply)).await;
        status.await.ok()
    }

    /// Starts to leave the fleet. The control thread ends after [`super::LEAVE_DURATION`].
    pub async fn leave(&self) {
        self.send(Command::Leave).await;
    }

    /// A loop that has ended drops the command, and whoever waits for the answer sees that.
    async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}
