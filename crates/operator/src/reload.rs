//! Reloading of the settings file while the process runs.
//!
//! The file is read again on SIGHUP and at regular intervals. A new log level takes effect at once.
//! Changes of other fields are logged and take effect with the next start.

use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use log::LevelFilter;
use serde::Serialize;
use serde_json::Value;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;

use crate::decisions::{Decision, DecisionLog, Event};
use crate::failure::Failure;
use crate::logging;

/// Interval of reading the file without SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Installs the handler for SIGHUP. To be called first of all at the start, because SIGHUP ends a
/// process without a handler.
///
/// # Errors
///
/// [`Failure`] if the handler cannot be installed.
pub fn hangup() -> Result<Signal, Failure> {
    signal(SignalKind::hangup()).map_err(|err| {
        let message = format!("no handler for SIGHUP can be installed: {err}");
        Failure::new(ErrorKind::Invalid, message)
    })
}

/// Reloads the file at `path` whenever it changes, until the process ends. `log_level` returns the
/// level in the settings, which takes effect at once.
pub async fn follow<S: Serialize>(
    mut hangup: Signal,
    path: String,
    mut current: S,
    load: impl Fn(&str) -> Result<S, String>,
    log_level: impl Fn(&S) -> LevelFilter,
    mut decisions: DecisionLog,
) {
    loop {
        // The file is read again after a signal or after the interval.
        let _ = timeout(POLL_INTERVAL, hangup.recv()).await;
        let next = match load(&path) {
            Ok(next) => next,
            Err(err) => {
                log::warn!("settings: change not applied: {err}");
                continue;
            }
        };
        let fields = changed_fields(&current, &next).join(", ");
        if fields.is_empty() {
            continue;
        }
        decisions.write(Decision::new(Event::SettingsChanged).reason(&fields));
        logging::set_level(log_level(&next));
        log::info!("settings: {fields} changed; all but log_level need a restart");
        current = next;
    }
}

/// Names of the fields of `new` that differ from those of `old`.
pub fn changed_fields<S: Serialize>(old: &S, new: &S) -> Vec<String> {
    let (old, new) = (serde_json::to_value(old), serde_json::to_value(new));
    let (Ok(Value::Object(old)), Ok(Value::Object(new))) = (old, new) else {
        return Vec::new();
    };
    let differs = |(name, value): &(&String, &Value)| old.get(*name) != Some(*value);
    new.iter()
        .filter(differs)
        .map(|(name, _)| name.clone())
        .collect()
}
