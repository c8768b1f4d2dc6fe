//! Configuration documents that operators edit, and the revisions made of them.
//!
//! [`check`] validates a whole set before any of it is published, [`plan`] lists what a new set
//! would change, and [`Revision::subset_for`] selects what the agents of one group need.

mod check;
mod documents;
mod plan;
mod problem;
mod share;
mod subset;

pub use check::{HeldAddress, MAX_PRIORITY, check, check_names, colliding, request_class_problems};
pub use documents::{Documents, Pool, Refusal, RequestClass, Revision, Rule, Service, Spill};
pub use plan::{Action, Change, plan};
pub use problem::{CheckError, DocumentKind, DocumentRef, Problem};
pub use share::Share;
