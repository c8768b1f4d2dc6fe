//! The command line of `citronhollow-agent`.

use std::process::ExitCode;

use citronhollow_operator::cli::{self, Program};
use citronhollow_operator::failure::Failure;
use gumdrop::Options;

use crate::pass_through;
use crate::settings::{Checked, Settings};

const PROGRAM: Program = Program {
    name: "citronhollow-agent",
    version: env!("CARGO_PKG_VERSION"),
    about: "Agent of the layer-4 load balancer citronhollow: the process beside a target.",
    examples: "  \
  citronhollow-agent --settings agent.json --check-settings
      checks a settings file and does nothing else
  citronhollow-agent --settings agent.json
      runs the agent until it gets SIGTERM",
};

#[derive(Debug, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "settings file, - for standard input", meta = "FILE")]
    settings: Option<String>,
    #[options(no_short, help = "check the settings and stop")]
    check_settings: bool,
    #[options(
        no_short,
        help = "leave callers' flows to the target, with settings for that"
    )]
    pass_through: bool,
    #[options(no_short, help = "print errors as JSON")]
    json: bool,
}

/// Runs the command line. `start` runs an agent until it has stopped.
pub fn run(args: &[String], start: impl FnOnce(Checked) -> Result<(), Failure>) -> ExitCode {
    let json = args.iter().any(|arg| arg == "--json");
    let outcome = PROGRAM
        .parse::<Arguments>(args)
        .and_then(|arguments| arguments.run(start));
    cli::finish(outcome, json)
}

impl Arguments {
    fn run(self, start: impl FnOnce(Checked) -> Result<(), Failure>) -> Result<String, Failure> {
        if self.version {
            return Ok(PROGRAM.version_line());
        }
        let (false, Some(path)) = (self.help, &self.settings) else {
            return Ok(PROGRAM.help(&self));
        };
        let valid = format!("{path}: settings are valid\n");
        if self.pass_through {
            let checked = pass_through::settings::Settings::load(path)?;
            if self.check_settings {
                return Ok(valid);
            }
            pass_through::run(path, &checked)?;
            return Ok(String::new());
        }
        let checked = Settings::load(path)?;
        if self.check_settings {
            return Ok(valid);
        }
        start(checked)?;
        Ok(String::new())
    }
}
