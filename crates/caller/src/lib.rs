//! Callers' packets and the TCP endpoint that serves them.
//!
//! [`packet`] parses a caller's IP packet into the fields that forwarding decisions use, and
//! builds resets. [`endpoint`] terminates a caller's TCP connection. Neither opens a socket or
//! reads a clock, so tests can run both over simulated packet loss, reordering and duplication.

pub mod endpoint;
pub mod packet;
