//! The process of an entry VM, and the operator's commands.
//!
//! [`traffic`] receives packets from the fabric on its own threads and keeps no state per flow. One
//! control thread runs everything else and passes new [`citronhollow_core::routes::Routes`] to the
//! traffic threads whenever the revision or the membership changes.

pub mod commands;
pub mod control;
pub mod documents;
pub mod metrics;
pub mod operator_http;
pub mod pass_through;
pub mod publish;
pub mod revisions;
pub mod run;
pub mod settings;
pub mod traffic;
