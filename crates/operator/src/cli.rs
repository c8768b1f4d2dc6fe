//! What both programs do alike with their command line.
//!
//! Help and version go to standard output and succeed. An error goes to standard error, as JSON
//! where the command prints JSON, and its kind decides the exit code.

use std::io::{self, Write};
use std::process::ExitCode;

use citronhollow_core::error::ErrorKind;
use gumdrop::{Options, ParsingStyle};

use crate::failure::Failure;

/// Exit codes, as help prints them.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  invalid input: arguments, settings or documents
  3  conflict: somebody else changed the object first
  4  not found
  5  refused: no target is ready or all are full
  6  the platform does not answer
  7  not authorized: the token is missing or wrong
  8  timed out";

/// A program as its help and version describe it.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version of the package.
    pub version: &'static str,
    /// One sentence on what it is for.
    pub about: &'static str,
    /// Command lines with what they do.
    pub examples: &'static str,
}

impl Program {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that names the argument.
    pub fn parse<O: Options>(&self, args: &[String]) -> Result<O, Failure> {
        O::parse_args(args, ParsingStyle::AllOptions).map_err(|error| {
            let message = format!("{error}; run {} --help", self.name);
            Failure::new(ErrorKind::Invalid, message)
        })
    }

    /// Help for the command that `options` name, or for the program.
    #[must_use]
    pub fn help(&self, options: &dyn Options) -> String {
        let name = self.name;
        let about = self.about;
        let usage = match (options.command(), options.self_command_list()) {
            (Some(command), _) => {
                let command_name = command.command_name().unwrap_or_default();
                let usage = command.self_usage();
                format!("Usage: {name} {command_name} [OPTIONS]\n\n{usage}")
            }
            (None, Some(commands)) => {
                let usage = options.self_usage();
                format!("Usage: {name} COMMAND [OPTIONS]\n\n{usage}\n\nCommands:\n{commands}")
            }
            (None, None) => format!("Usage: {name} [OPTIONS]\n\n{}", options.self_usage()),
        };
        let examples = self.examples;
        format!("{about}\n\n{usage}\n\nExamples:\n{examples}\n\n{EXIT_CODES}\n")
    }

    /// Name and version.
    #[must_use]
    pub fn version_line(&self) -> String {
        format!("{} {}\n", self.name, self.version)
    }
}

/// Prints the outcome of a command and turns it into the exit code.
#[must_use]
pub fn finish(outcome: Result<String, Failure>, json: bool) -> ExitCode {
    match outcome {
        Ok(text) => print(&text),
        Err(failure) => {
            report(&failure, json);
            ExitCode::from(failure.exit())
        }
    }
}

fn print(text: &str) -> ExitCode {
    // A reader that closes the pipe early, such as head, is no error of ours.
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}

fn report(failure: &Failure, json: bool) {
    let text = if json {
        to_json(failure)
    } else {
        format!("error: {failure}\n")
    };
    // Nothing is left to tell if standard error is closed too.
    let _ = io::stderr().write_all(text.as_bytes());
}

/// A value as indented JSON with a line end.
#[must_use]
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value);
    text.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}")) + "\n"
}
