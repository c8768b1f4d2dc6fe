//! What operators see of a process: its status, its answers, its settings and its logs.
//!
//! Nothing in this crate decides anything about flows, members or documents. It gives the other
//! packages one way to check settings, to describe their state and to answer over HTTP, so that
//! every process tells operators the same things in the same words.

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
