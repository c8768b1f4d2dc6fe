//! Runs a command with a seed and extracts the value from its output.

use std::path::PathBuf;
use std::process::Command;

use thiserror::Error;

/// Placeholder for the seed in a command.
pub const SEED: &str = "{seed}";

/// Error of a run that produced no value.
#[derive(Debug, Error)]
pub enum RunError {
    /// The command is empty.
    #[error("the command is empty; give a program and its arguments")]
    Empty,
    /// The program could not be started.
    #[error("cannot start {program}: {source}; check its path and the working directory")]
    Start {
        /// The program.
        program: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// No output line contains the value.
    #[error(
        "seed {seed}: no output line begins with \"{label}\" and a number; the last is: {last}"
    )]
    NoValue {
        /// The seed.
        seed: u64,
        /// Expected first word of the line.
        label: String,
        /// Last line of the output.
        last: String,
    },
}

/// A command that prints a value for a seed.
#[derive(Clone, Debug)]
pub struct Benchmark {
    /// Program and arguments, split at whitespace, with [`SEED`] as placeholder for the seed.
    pub command: String,
    /// Working directory of the command.
    pub folder: PathBuf,
    /// First word of the line that contains the value. The value is the second word.
    pub label: String,
}

impl Benchmark {
    /// Runs the command with a seed and returns the value.
    ///
    /// # Errors
    ///
    /// Returns [`RunError`] if the command cannot be started or prints no value.
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
        parse_value(&printed, &self.label).ok_or_else(|| RunError::NoValue {
            seed,
            label: self.label.clone(),
            last: String::from(printed.lines().last().unwrap_or_default()),
        })
    }
}

/// Finds the first line that begins with the label and a number, and returns the number.
#[must_use]
pub fn parse_value(printed: &str, label: &str) -> Option<f64> {
    printed.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        let is_labelled = words.next() == Some(label);
        words.next().filter(|_| is_labelled)?.parse().ok()
    })
}
