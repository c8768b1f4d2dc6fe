//! Logs on standard error.
//!
//! A line is the time, the level, the prefix of the part that speaks, and one short sentence:
//! `2026-03-01T08:00:00Z [WARN] platform: no answer within 2 s; the revision in force stays`. The
//! prefix is written by the part itself as the first word of its sentence. A sentence names
//! objects and addresses, never the payload of a flow, a key or a token. What may happen many
//! times a second goes through [`crate::repeats::Repeats`] first. Only this project's own crates
//! are logged, since the libraries' lines do not follow these rules.

use std::io::{self, Write};

use citronhollow_core::error::ErrorKind;
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::failure::Failure;

/// Module paths of this project begin with this.
const OWN_CRATES: &str = "citronhollow";

/// Starts to log to standard error.
///
/// # Errors
///
/// [`Failure`] if the process logs already.
pub fn init(level: LevelFilter) -> Result<(), Failure> {
    // The logger passes every level on, so that set_level alone decides, also later on.
    let logger = logger(io::stderr());
    log::set_boxed_logger(logger).map_err(|_| {
        let message = "the log is set up already; set it up once in a process";
        Failure::new(ErrorKind::Invalid, message)
    })?;
    set_level(level);
    Ok(())
}

/// Changes the least severe level that is logged.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// A logger in the project's format.
#[must_use]
pub fn logger<W: Write + Send + 'static>(out: W) -> Box<WriteLogger<W>> {
    WriteLogger::new(LevelFilter::Trace, config(), out)
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_time_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(OWN_CRATES)
        .build()
}
