//! Runs of a command on a seed, and the value in its output.

use std::path::PathBuf;
use std::process::Command;

use thiserror::Error;

/// What stands for the seed in the words of a command.
pub const SEED: &str = "{seed}";

/// A run without a value.
#[derive(Debug, Error)]
pub enum RunError {
    /// The command has no word.
    #[error("the command is empty; give a program and its arguments")]
    Empty,
    /// The program was not started.
    #[error("{program} was not started: {source}; check its path and the folder")]
    Start {
        /// The program.
        program: String,
        /// Why.
        source: std::io::Error,
    },
    /// No line has the value.
    #[error(
        "seed {seed}: no line of the output begins with \"{label}\" and a number; the last is: {last}"
    )]
    NoValue {
        /// The seed.
        seed: u64,
        /// What the line should begin with.
        label: String,
        /// The last line that was printed.
        last: String,
    },
}

/// A command that prints a value for a seed.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Program and arguments, split at spaces, with [`SEED`] in the place of the seed.
    pub command: String,
    /// Folder in which it runs.
    pub folder: PathBuf,
    /// Word at the beginning of the line that has the value behind it.
    pub label: String,
}

impl Measured {
    /// Runs the command on a seed.
    ///
    /// # Errors
    ///
    /// [`RunError`] if it cannot be started or prints no value.
    pub fn run(&self, seed: u64) -> Result<f64, RunError> {
        let text = self.command.replace(SEED, &seed.to_string());
        let mut words = text.split_whitespace();
        let program = words.next().ok_or(RunError::Empty)?;
        let output = Command::new(program)
            .args(words)
            .current_dir(&self.folder)
            .output()
            .map_err(|source| RunError::Start {
                program: String::from(program),
                source,
            })?;
        let printed = String::from_utf8_lossy(&output.stdout);
        value_in(&printed, &self.label).ok_or_else(|| RunError::NoValue {
            seed,
            label: self.label.clone(),
            last: String::from(printed.lines().last().unwrap_or_default()),
        })
    }
}

/// The number behind the label at the beginning of a line.
#[must_use]
pub fn value_in(printed: &str, label: &str) -> Option<f64> {
    printed.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        let is_labelled = words.next() == Some(label);
        words.next().filter(|_| is_labelled)?.parse().ok()
    })
}
