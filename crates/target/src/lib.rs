//! The agent's interface to its target: announcements, and one TCP connection per flow.

pub mod announce;
pub mod splice;
