//! Placeholder.

pub mod announce;
