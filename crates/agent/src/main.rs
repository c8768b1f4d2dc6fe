//! Entry point of `citronhollow-agent`.

use std::process::ExitCode;

use citronhollow_agent::{command, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    command::run(&args, |settings| run::run(&settings))
}
