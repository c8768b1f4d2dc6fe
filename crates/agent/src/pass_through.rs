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

pub use run::run;
