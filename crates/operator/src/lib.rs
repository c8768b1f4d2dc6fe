//! Operator interface of a process: command line, settings, HTTP, status, logs, metrics and traces.
//!
//! This crate makes no decisions about flows, members or documents. The other packages share its
//! code for checking settings, describing state and answering over HTTP, so that all processes
//! present the same information in the same form.

pub mod cli;
pub mod client;
pub mod control;
pub mod decisions;
pub mod documents;
pub mod exposition;
pub mod failure;
pub mod http;
pub mod input;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod probe;
pub mod problem;
pub mod reload;
pub mod repeats;
pub mod report;
pub mod settings;
pub mod status;
pub mod stop;
pub mod token;
pub mod trace;
pub mod worker;
