//! The process beside a target in pass-through delivery.
//!
//! The traffic thread owns what is known of the target and its flows. The control thread takes
//! the target's heartbeats, answers probes and finds the balancers. A heartbeat is acknowledged
//! only once the traffic thread has applied it, so that a target that leaves is given no new flow
//! after its acknowledgement.

mod control;
pub mod link;
mod run;
pub mod settings;
mod traffic;

use std::time::{SystemTime, UNIX_EPOCH};

use citronhollow_core::clock::Millis;

pub use run::run;

/// Time of day in ms. Only starts of processes are compared by it.
fn time_of_day_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| Millis::from(span).0)
}
