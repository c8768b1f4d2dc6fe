//! The command line of `citronhollow`.
//!
//! One module per command. A command gets its parsed options and returns the text for standard
//! output, or a [`Failure`], which determines the text on standard error and the exit code.

use std::process::ExitCode;

use citronhollow_operator::cli::{self, Program};
use citronhollow_operator::failure::Failure;
use gumdrop::Options;

use crate::settings::Checked;

mod apply;
mod balancer;
mod check;
mod drain;
mod explain;
mod get;
mod remote;
mod set;
mod status;

const PROGRAM: Program = Program {
    name: "citronhollow",
    version: env!("CARGO_PKG_VERSION"),
    about: "Layer-4 load balancer: the process of an entry VM, and the operator's commands.",
    examples: "  \
  citronhollow balancer --settings balancer.json --check-settings
      checks a settings file and does nothing else
  citronhollow balancer --settings balancer.json
      runs the balancer until it gets SIGTERM
  citronhollow check services.json pools.json
      checks documents offline as one set
  citronhollow apply services.json --dry-run
      shows what would change
  citronhollow apply services.json --wait 30
      applies documents and waits until they are in force on every process
  citronhollow get service match-desk
      shows the state of a draft
  citronhollow get --export > set.json
      writes the drafts as a file for apply
  citronhollow status --balancer 127.0.0.1:7980
      shows the fleet, the revisions, drains and the platform
  citronhollow explain 100.64.0.7:40001 < decisions.log
      shows what every process decided about the flow of this caller
  citronhollow drain match-desk-3 --wait 600
      takes a target out of service and waits until it holds no flow
  citronhollow undrain match-desk-3
      puts it back into service

Environment:
  CITRONHOLLOW_BALANCER  address of a balancer's operator HTTP, 127.0.0.1:7980 if unset
  CITRONHOLLOW_TOKEN     the balancer's operator_token, for commands that change something",
};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the process of an entry VM")]
    Balancer(balancer::BalancerOptions),
    #[options(help = "check documents without a balancer")]
    Check(check::CheckOptions),
    #[options(help = "write documents to the drafts, which are then published")]
    Apply(apply::ApplyOptions),
    #[options(help = "show drafts and their states")]
    Get(get::GetOptions),
    #[options(help = "show what a balancer knows of the fleet")]
    Status(status::StatusOptions),
    #[options(help = "join the decision logs of several processes about one flow")]
    Explain(explain::ExplainOptions),
    #[options(help = "take a target out of service without breaking a flow")]
    Drain(drain::DrainOptions),
    #[options(help = "put a drained target back into service")]
    Undrain(drain::UndrainOptions),
}

/// Runs the command given by the arguments. `start` runs a balancer until it has stopped.
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
        if self.help_requested() {
            return Ok(PROGRAM.help(&self));
        }
        match self.command {
            Some(Command::Balancer(options)) => balancer::run(&options, start),
            Some(Command::Check(options)) => check::run(&options),
            Some(Command::Apply(options)) => apply::run(&options),
            Some(Command::Get(options)) => get::run(&options),
            Some(Command::Status(options)) => status::run(&options),
            Some(Command::Explain(options)) => explain::run(&options),
            Some(Command::Drain(options)) => drain::run(&options.into()),
            Some(Command::Undrain(options)) => drain::run(&options.into()),
            None => Ok(PROGRAM.help(&self)),
        }
    }
}
