//! Command-line handling shared by the programs.
//!
//! Help and version are printed to standard output and succeed. An error is printed to standard
//! error, as JSON if the command prints JSON, and its kind determines the exit code.

use std::io::{self, Write};
use std::process::ExitCode;

use citronhollow_core::error::ErrorKind;
use gumdrop::{Options, ParsingStyle};

use crate::failure::Failure;

/// Section on exit codes at the end of the help.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  invalid input: arguments, settings or documents
  3  conflict: another operator changed the object first
  4  not found
  5  refused: no target is ready or all are full
  6  the platform does not answer
  7  not authorized: the token is missing or wrong
  8  timed out";

/// Description of a program for its help and version.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version of the package.
    pub version: &'static str,
    /// Purpose of the program, in one sentence.
    pub about: &'static str,
    /// Example command lines, each with a description.
    pub examples: &'static str,
}

impl Program {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// [`Failure`] that names the invalid argument.
    pub fn parse<O: Options>(&self, args: &[String]) -> Result<O, Failure> {
        O::parse_args(args, ParsingStyle::AllOptions).map_err(|error| {
            let message = format!("{error}; run {} --help", self.name);
            Failure::new(ErrorKind::Invalid, message)
        })
    }

    /// Help for the command in `options`, or for the program if there is none.
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
    // A reader such as `head` may close the pipe early, which is not an error.
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
    // If standard error is closed too, the failure cannot be reported.
    let _ = io::stderr().write_all(text.as_bytes());
}

/// Serializes a value as indented JSON with a final newline.
#[must_use]
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value);
    text.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}")) + "\n"
}
