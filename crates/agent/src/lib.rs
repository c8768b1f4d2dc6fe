//! The process beside a target.
//!
//! One traffic thread owns every flow of the target. One control thread listens to the target's
//! announcements, sends heartbeats and learns of peers and services. [`link`] is all that passes
//! between the two.

pub mod command;
pub mod control;
pub mod link;
pub mod metrics;
pub mod pass_through;
pub mod run;
pub mod settings;
pub mod traffic;
