//! Settings files that change under a running process.
//!
//! A change is noticed with SIGHUP, and without one by looking at the file now and then. What can
//! be changed at once is; the rest is named, and takes effect with the next start.

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

/// Time between two looks at the file.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);

/// SIGHUP, which ends a process that does not listen to it. To be asked for first of all.
///
/// # Errors
///
/// [`Failure`] if the system takes no handler.
pub fn hangup() -> Result<Signal, Failure> {
    signal(SignalKind::hangup()).map_err(|err| {
        let message = format!("no handler for SIGHUP: {err}");
        Failure::new(ErrorKind::Invalid, message)
    })
}

/// Follows the file at `path` for as long as the process runs. `log_level` returns the level in settings,
/// which is put in force at once.
pub async fn follow<S: Serialize>(
    mut hangup: Signal,
    path: String,
    mut current: S,
    load: impl Fn(&str) -> Result<S, String>,
    log_level: impl Fn(&S) -> LevelFilter,
    mut decisions: DecisionLog,
) {
    loop {
        // The time limit is the second way to the next look.
        let _ = timeout(LOOK_INTERVAL, hangup.recv()).await;
        let next = match load(&path) {
            Ok(next) => next,
            Err(err) => {
                log::warn!("settings: change not taken: {err}");
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

/// Names of the fields that differ.
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
