//! `citronhollow-lab`: compares two versions on the same seeds and prints a confidence interval.

use std::path::PathBuf;
use std::process::ExitCode;

use citronhollow_lab::pairs::{MIN_PAIRS, Pair, Summary};
use citronhollow_lab::run::{Benchmark, RunError};
use gumdrop::Options;

/// Compares two versions in pairs of runs on the same seeds.
///
/// Example: citronhollow-lab --before ../old --after ../new --seeds 8 --label worth
/// --command "bench run site.toml day --seed {seed}"
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "directory of the version without the change",
        meta = "DIR"
    )]
    before: PathBuf,
    #[options(
        no_short,
        help = "directory of the version with the change",
        meta = "DIR"
    )]
    after: PathBuf,
    #[options(
        no_short,
        help = "program and arguments; {seed} is replaced by the seed",
        meta = "COMMAND"
    )]
    command: String,
    #[options(
        no_short,
        help = "first word of the output line that contains the value",
        meta = "WORD",
        default = "worth"
    )]
    label: String,
    #[options(no_short, help = "first seed", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of seeds", meta = "N", default = "8")]
    seeds: u64,
    #[options(no_short, help = "print the result as JSON")]
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match compare(&arguments) {
        Ok(pairs) => print(&pairs, arguments.json),
        Err(err) => {
            eprintln!("citronhollow-lab: {err}");
            ExitCode::FAILURE
        }
    }
}

fn compare(arguments: &Arguments) -> Result<Vec<Pair>, RunError> {
    let version = |folder: &PathBuf| Benchmark {
        command: arguments.command.clone(),
        folder: folder.clone(),
        label: arguments.label.clone(),
    };
    let (before, after) = (version(&arguments.before), version(&arguments.after));
    let last = arguments.seed.saturating_add(arguments.seeds);
    (arguments.seed..last)
        .map(|seed| {
            let pair = Pair {
                seed,
                before: before.run(seed)?,
                after: after.run(seed)?,
            };
            let difference = pair.difference();
            eprintln!(
                "seed {seed}: {} {} {difference:+.4}",
                pair.before, pair.after
            );
            Ok(pair)
        })
        .collect()
}

fn print(pairs: &[Pair], is_json: bool) -> ExitCode {
    let Some(summary) = Summary::of(pairs) else {
        eprintln!("citronhollow-lab: an interval needs {MIN_PAIRS} seeds or more, see --seeds");
        return ExitCode::FAILURE;
    };
    if is_json {
        let result = serde_json::json!({"pairs": pairs, "summary": summary});
        println!("{result}");
    } else {
        let Summary { mean, from, to, .. } = summary;
        let verdict = format!("{:?}", summary.verdict).to_lowercase();
        let count = summary.pairs;
        println!(
            "{count} pairs: mean difference {mean:+.4}, 95 % in {from:+.4} to {to:+.4}: {verdict}"
        );
    }
    ExitCode::SUCCESS
}
