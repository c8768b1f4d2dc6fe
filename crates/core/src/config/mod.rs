//! The operators' documents and the revision made of them.

mod documents;

pub use documents::{Documents, Pool, Refusal, Revision, Rule, Service};
