//! Entry point of `citronhollow`.

use std::process::ExitCode;

use citronhollow_balancer::commands;
use citronhollow_core::error::ErrorKind;
use citronhollow_operator::failure::Failure;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    commands::run(&args, |_settings| {
        let message = "this build has no traffic path; only the operator's commands work";
        Err(Failure::new(ErrorKind::Invalid, message))
    })
}
