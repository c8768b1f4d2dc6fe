//! The process of an entry VM in pass-through delivery.
//!
//! The traffic thread owns every decision about packets and all that is known of agents and other
//! balancers, so that nothing is locked and no packet waits for a slow call. The control thread
//! reads the configuration from the platform, keeps this balancer's entry there and answers
//! probes. [`link`] is all that passes between the two.

mod control;
pub mod link;
mod run;
pub mod settings;
mod traffic;

pub use run::run;
