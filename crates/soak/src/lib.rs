//! Soak tests: injects faults drawn from a seed into the real programs and checks invariants.
//!
//! Both programs run as processes on loopback, next to the platform's stand-ins. A plan of signals,
//! restarts, crashes, configuration changes and store faults is drawn from a seed. Callers open
//! flows and send several requests on each. Callers and targets check these invariants:
//!
//! - a non-idempotent request runs at most once;
//! - a response is complete and belongs to its request, and no packet is altered in transit;
//! - a new flow reaches a service that the configuration routes it to, within the propagation
//!   bound, and a process never returns to an older configuration than it used before;
//! - a flow that its target holds is not reset;
//! - a draining target receives no new flow after the drain bound;
//! - every caller is served again after the last fault;
//! - no process exits on its own, and none outlives its grace period.
//!
//! A seed determines the plan and the callers' choices. Processes, threads and the network run in
//! real time, so the order of packets and signals within a few milliseconds differs between runs.

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
