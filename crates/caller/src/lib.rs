//! The fabric's side: callers' packets in and out.
//!
//! [`packet`] reads a caller's IP packet into what the decisions look at and builds resets.
//! [`endpoint`] is the TCP endpoint that a caller talks to. Neither opens a socket or reads a
//! clock, so both run under tests that lose, reorder and repeat packets.

pub mod endpoint;
pub mod packet;
