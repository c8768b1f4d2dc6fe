//! The traffic thread: every flow of the target, from the callers' packets to the target's bytes.
//!
//! The thread runs a single-threaded runtime of its own, so that flow state needs no locks and a
//! slow control step never delays a packet. `dispatch` turns datagrams into decisions and does
//! what they say; each flow is a local task that owns its two ends. What the control thread knows
//! comes in as commands.

mod agent;
mod datagrams;
mod dispatch;
mod flow;
mod lingering;
mod mailbox;
mod pump;
mod refusal;
mod run;
mod tasks;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use citronhollow_peer::Keyring;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::link::{ControlCommand, TrafficCommand, TrafficStats};
use crate::settings::Settings;

/// The running traffic thread.
#[derive(Debug)]
pub struct TrafficHandle {
    local_addr: SocketAddr,
    thread: JoinHandle<()>,
}

impl TrafficHandle {
    /// Address at which packets are taken.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Waits until the thread has ended, which it does when nobody can command it any more.
    ///
    /// # Errors
    ///
    /// Whatever the thread panicked with.
    pub fn join(self) -> thread::Result<()> {
        self.thread.join()
    }
}

/// Starts the traffic thread.
///
/// # Errors
///
/// If the address is taken, or there are no resources for a runtime or a thread.
pub fn spawn(
    settings: &Settings,
    keys: Keyring,
    commands: UnboundedReceiver<TrafficCommand>,
    control: UnboundedSender<ControlCommand>,
    stats: Arc<TrafficStats>,
) -> io::Result<TrafficHandle> {
    let socket = run::bind(settings.traffic_listen)?;
    let local_addr = socket.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let settings = settings.clone();
    let thread = thread::Builder::new()
        .name(String::from("traffic"))
        .spawn(move || {
            run::run(&runtime, socket, &settings, keys, commands, control, stats);
        })?;
    Ok(TrafficHandle { local_addr, thread })
}
