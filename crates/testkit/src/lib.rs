//! Stand-ins for the systems around the load balancer: platform, fabric, callers and targets.
//!
//! They implement the published protocols of these systems, keep only the state that a test needs
//! to check an outcome, and do not model a cluster. [`load`] drives real TCP flows through a
//! [`fabric`] that sprays their packets over the balancers. [`target`] records the requests it
//! ran, so that a request that ran twice or at the wrong service is detected. [`fleet`] and
//! [`mod@process`] start the real programs, so that tests can stop, freeze and kill them under
//! load.

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
