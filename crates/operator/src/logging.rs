//! Logs on standard error.
//!
//! A line consists of time, level, prefix of the component, and one short sentence:
//! `2026-03-01T08:00:00Z [WARN] platform: no answer within 2 s; the revision in force stays`. The
//! prefix is part of the message that the component logs. A message contains objects and addresses,
//! never the payload of a flow, a key or a token. A message that repeats one of the last
//! [`REPEAT_WINDOW`] is left out and counted. Only the crates of this project are logged, since the
//! messages of libraries do not follow these rules.

use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::failure::Failure;
use crate::repeats::RepeatLimiter;

/// Prefix of the module paths of this project.
const OWN_CRATES: &str = "citronhollow";

/// Time within which a message is written only once.
pub const REPEAT_WINDOW: Millis = Millis::from_secs(10);

/// Starts logging to standard error.
///
/// # Errors
///
/// [`Failure`] if logging is already set up.
pub fn init(level: LevelFilter) -> Result<(), Failure> {
    // The logger itself accepts every level, so that `set_level` can change the level at any time.
    let logger = Box::new(Logger::new(io::stderr()));
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

/// Logger in the project's format that suppresses repeated messages.
pub struct Logger<W: Write + Send + 'static> {
    lines: WriteLogger<W>,
    repeats: Mutex<RepeatLimiter<u64>>,
    subjects: RandomState,
    started: Instant,
}

impl<W: Write + Send + 'static> Logger<W> {
    /// Creates a logger that writes to `out`.
    #[must_use]
    pub fn new(out: W) -> Self {
        Self {
            lines: *WriteLogger::new(LevelFilter::Trace, config(), out),
            repeats: Mutex::new(RepeatLimiter::new(REPEAT_WINDOW)),
            subjects: RandomState::new(),
            started: Instant::now(),
        }
    }

    /// Returns how many repeats of the message were left out before, or none if this one has to be
    /// left out.
    fn admit(&self, sentence: &str) -> Option<u64> {
        let subject = self.subjects.hash_one(sentence);
        let now = Millis::from(self.started.elapsed());
        let mut repeats = self.repeats.lock().unwrap_or_else(PoisonError::into_inner);
        repeats.admit(subject, now)
    }
}

impl<W: Write + Send + 'static> Log for Logger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with(OWN_CRATES)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let sentence = record.args().to_string();
        let Some(repeats) = self.admit(&sentence) else {
            return;
        };
        if repeats == 0 {
            self.lines.log(record);
            return;
        }
        let mut counted = Record::builder();
        counted.metadata(record.metadata().clone());
        let args = format_args!("{sentence} ({repeats} repeats left out)");
        self.lines.log(&counted.args(args).build());
    }

    fn flush(&self) {
        self.lines.flush();
    }
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_time_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
