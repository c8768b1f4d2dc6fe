//! The agent's link to its target.

pub mod splice;
