//! Stand-in of the platform's object service.
//!
//! It serves the protocol of [`citronhollow_platform`] out of memory, and fails on request: a test
//! sets [`Faults`] through the handle or with `PUT /admin/faults`, and reads the counts of calls
//! from the handle or with `GET /admin/counts`. A request that the stand-in never means to answer
//! is held open until its client gives up, as a lost packet would be.

mod faults;
mod server;
mod store;

pub use faults::{Faults, Reads, Service};
pub use server::{CallCounts, StandIn};
pub use store::Store;
