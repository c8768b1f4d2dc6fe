//! Decision logic of the load balancer, free of I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. State machines take
//! events together with the time at which they happened, and return actions. The same code
//! therefore runs in the real processes, under replayed traces and under property tests, and a
//! failure seen in one of them can be reproduced in the others.
//!
//! [`routes`] chooses a target for a packet at a balancer, [`flows`] decides about packets at an
//! agent, [`config`] holds the documents that operators edit, [`publisher`] turns them into
//! revisions, [`members`] tracks the state of targets and balancers, and [`gossip`] spreads both
//! among the balancers. [`pass_through`] decides in place of [`routes`] and [`flows`] if the target
//! itself terminates the caller's flow.

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
pub mod unusable;
