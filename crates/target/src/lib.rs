//! The agent's link to its target: the target's announcements, and its end of each flow.

pub mod announce;
pub mod splice;
