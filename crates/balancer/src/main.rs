//! Entry point of `citronhollow`.

use std::process::ExitCode;

use citronhollow_balancer::{commands, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    commands::run(&args, |settings| run::run(&settings))
}
