//! Stand-in of the platform's object service.
//!
//! It serves the protocol of [`citronhollow_platform`] from memory and injects faults: a test sets
//! [`Faults`] through the handle or with `PUT /admin/faults`, and reads the counts of calls from
//! the handle or with `GET /admin/counts`. A request that is to get no answer is held open until
//! its client times out, as if a packet were lost.

mod faults;
mod server;
mod store;

pub use faults::{Faults, Reads, Service};
pub use server::{CallCounts, StandIn};
pub use store::Store;
