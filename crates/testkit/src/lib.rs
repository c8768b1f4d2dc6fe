//! Stand-ins for what the load balancer meets: platform, fabric, callers, targets, and processes.
//!
//! They speak the published protocols of the outside systems, keep no more state than a test
//! needs to judge an outcome, and model no cluster. [`load`] drives real TCP flows through a
//! [`fabric`] that sprays their packets over the balancers; [`target`] records what it ran, so
//! that a request that ran twice or at the wrong service is seen. [`fleet`] and [`mod@process`] start
//! the real programs, to be stopped, frozen and ended in the middle of their work.

pub mod caller;
pub mod fabric;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod platform;
pub mod ports;
pub mod process;
pub mod protocol;
pub mod sample;
pub mod target;
