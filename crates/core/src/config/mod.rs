//! The operators' documents and the revision made of them.
//!
//! [`check`] judges the whole set before any of it is published, [`plan`] tells what a new set
//! would change, and [`Revision::slice_for`] cuts out what the agents of one group must know.

mod check;
mod documents;
mod plan;
mod problem;
mod share;
mod slice;

pub use check::{HeldAddress, MAX_PRIORITY, check, check_names, colliding, request_class_problems};
pub use documents::{Documents, Pool, Refusal, RequestClass, Revision, Rule, Service, Spill};
pub use plan::{Action, Change, plan};
pub use problem::{CheckError, DocumentKind, DocumentRef, Problem};
pub use share::Share;
