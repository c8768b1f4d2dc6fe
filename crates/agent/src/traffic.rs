//! The traffic thread: terminates every flow of the target and relays its bytes to the target.
//!
//! The thread runs a single-threaded runtime of its own, so that flow state needs no locks and slow
//! control work never delays a packet. `dispatch` passes datagrams to the flow table and performs
//! the actions that it returns. Each flow is a local task that owns both ends of the flow. The
//! control thread passes its state in as commands.

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

/// Handle of the running traffic thread.
#[derive(Debug)]
pub struct TrafficHandle {
    local_addr: SocketAddr,
    thread: JoinHandle<()>,
}

impl TrafficHandle {
    /// UDP address that receives packets.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Waits until the thread has ended, which it does once all command senders are dropped.
    ///
    /// # Errors
    ///
    /// The payload of the thread's panic.
    pub fn join(self) -> thread::Result<()> {
        self.thread.join()
    }
}

/// Starts the traffic thread.
///
/// # Errors
///
/// If the address is in use, or there are no resources for a runtime or a thread.
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
