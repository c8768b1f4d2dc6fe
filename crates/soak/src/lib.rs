//! Faults drawn from a seed against the real programs, and checks of what they promise meanwhile.
//!
//! Both programs run as processes on loopback, beside the stand-ins of the platform. A plan of
//! signals, stops, crashes, changes and troubles of the store is drawn from a seed. Callers open
//! flows, use them for several requests, and judge what they see, and so do the targets:
//!
//! - a request that must not be repeated runs once at most;
//! - an answer is the whole answer to the request, and no packet is changed on its way;
//! - a new flow reaches a service to which the configuration sends it, in time and never by an
//!   older version than the same process used before;
//! - a flow that its target holds is not reset;
//! - a target that has announced that it leaves is given no new flow once the bound is over;
//! - after the last fault every caller is served again;
//! - no process ends by itself, and none outlives its grace.
//!
//! A seed fixes the plan and the callers' choices. Processes, threads and the network run in real
//! time, so the order of packets and signals within a few milliseconds differs from run to run.

pub mod bounds;
pub mod disturbances;
pub mod exchange;
pub mod fleet;
pub mod invariants;
pub mod link;
pub mod plan;
pub mod regressions;
pub mod router;
pub mod run;
pub mod target;
