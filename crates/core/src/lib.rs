//! Decisions of the load balancer, and nothing else.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. Events go in together
//! with the time at which they happened, and actions come out. The same code therefore runs in
//! the real processes, under replayed traces and under property tests, and a failure seen in one
//! of them can be fed to the others.
//!
//! [`routes`] is the balancer's choice for a packet, [`flows`] the agent's, [`config`] the
//! operators' documents and [`members`] what is known of targets and balancers.

pub mod clock;
pub mod config;
pub mod error;
pub mod flow;
pub mod flows;
pub mod gossip;
pub mod hash;
pub mod id;
mod lru_map;
pub mod members;
pub mod pass_through;
pub mod publisher;
pub mod routes;
