//! Entry point of `citronhollow-agent`.

use std::process::ExitCode;

use citronhollow_agent::command;
use citronhollow_core::error::ErrorKind;
use citronhollow_operator::failure::Failure;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    command::run(&args, |_settings| {
        let message = "this build has no traffic path; only the check of settings works";
        Err(Failure::new(ErrorKind::Invalid, message))
    })
}
