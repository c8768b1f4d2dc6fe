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

pub use run::run;
