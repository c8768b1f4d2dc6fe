//! `citronhollow balancer`: checks the settings and runs the process.

use citronhollow_operator::failure::Failure;
use gumdrop::Options;

use crate::pass_through;
use crate::settings::{Checked, Settings};

/// Runs the process of an entry VM until it gets SIGTERM.
#[derive(Debug, Options)]
pub struct BalancerOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, - for standard input", meta = "FILE", required)]
    settings: String,
    #[options(no_short, help = "check the settings and stop")]
    check_settings: bool,
    #[options(
        no_short,
        help = "run in pass-through delivery, with its settings file"
    )]
    pass_through: bool,
}

/// Checks the settings and, without `--check-settings`, runs the process.
pub fn run(
    options: &BalancerOptions,
    start: impl FnOnce(Checked) -> Result<(), Failure>,
) -> Result<String, Failure> {
    let valid = format!("{}: settings are valid\n", options.settings);
    if options.pass_through {
        let checked = pass_through::settings::Settings::load(&options.settings)?;
        if options.check_settings {
            return Ok(valid);
        }
        pass_through::run(&options.settings, &checked)?;
        return Ok(String::new());
    }
    let checked = Settings::load(&options.settings)?;
    if options.check_settings {
        return Ok(valid);
    }
    start(checked)?;
    Ok(String::new())
}
