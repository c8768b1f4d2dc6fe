
//!
//! Stand-ins for what surrounds the load balancer.
//! Stand-ins for what the load balancer meets: fabric, callers, targets, and processes to kill.
//! They speak the published protocols of the outside systems, keep no more state than a test
//! [`fabric`] that sprays their packets over the balancers; [`target`] records what it ran, so
//! needs to judge an outcome, and model no cluster. [`load`] drives real TCP flows through a
//! that a request that ran twice or at the wrong service is seen.
pub mod caller;
pub mod fabric;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod platform;
pub mod process;
pub mod protocol;
pub mod target;
