//! The agent: a process that runs beside a target.
//!
//! One traffic thread owns every flow of the target. One control thread receives the target's
//! announcements, sends heartbeats to balancers, and learns peers and services from them. [`link`]
//! defines everything that the two threads exchange.

pub mod command;
pub mod control;
pub mod link;
pub mod metrics;
pub mod pass_through;
pub mod run;
pub mod settings;
pub mod traffic;
