//! The process of an entry VM in pass-through delivery.
//!
//! The traffic thread makes every decision about packets and owns all state about agents and other
//! balancers, so that it needs no lock and no packet waits for a slow call. The control thread
//! reads the configuration from the platform, maintains this balancer's entry there and answers
//! readiness probes. The two threads communicate only through [`link`].

mod control;
pub mod link;
mod run;
pub mod settings;
mod traffic;

pub use run::run;
