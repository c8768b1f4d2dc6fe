//! The process that runs beside a target in pass-through delivery.
//!
//! The traffic thread owns the state of the target and of its flows. The control thread receives
//! the target's heartbeats, answers readiness probes and discovers the balancers. A heartbeat is
//! acknowledged only after the traffic thread has applied it, so that a target that leaves gets no
//! new flow after the acknowledgement.

mod control;
pub mod link;
mod run;
pub mod settings;
mod traffic;

use std::time::{SystemTime, UNIX_EPOCH};

use citronhollow_core::clock::Millis;

pub use run::run;

/// Unix time in ms. Used only to order the starts of processes.
fn time_of_day_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| Millis::from(span).0)
}
