//! `soak`: runs fault plans from seeds against the real programs and prints violations.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

use citronhollow_core::clock::Millis;
use citronhollow_soak::plan::{Plan, Shape};
use citronhollow_soak::regressions::REGRESSIONS;
use citronhollow_soak::run::{self, Report, SHAPE};
use gumdrop::Options;

/// Maximum number of processes of a kind. Each has its own address in one part of the loopback
/// network.
const MAX_PROCESSES: usize = 200;

/// Runs the real programs under faults that are drawn from seeds and checks invariants.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "first seed", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of seeds", meta = "N", default = "1")]
    count: u64,
    #[options(
        no_short,
        help = "duration of the fault plan of one seed, in seconds",
        default = "20"
    )]
    seconds: u64,
    #[options(no_short, help = "number of balancers per run", default = "3")]
    balancers: usize,
    #[options(
        no_short,
        help = "number of targets per run, each with an agent",
        default = "5"
    )]
    targets: usize,
    #[options(no_short, help = "seeds that run concurrently", default = "1")]
    jobs: usize,
    #[options(no_short, help = "run only the seeds that once failed")]
    regressions: bool,
    #[options(no_short, help = "print the plan of the first seed and exit")]
    plan: bool,
    #[options(
        no_short,
        help = "directory in which the logs of failed seeds are kept",
        meta = "DIR"
    )]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let length = Millis::from_secs(arguments.seconds);
    let shape = Shape {
        balancers: arguments.balancers.clamp(SHAPE.balancers, MAX_PROCESSES),
        targets: arguments.targets.clamp(SHAPE.targets, MAX_PROCESSES),
    };
    if arguments.plan {
        return print_plan(&Plan::draw(arguments.seed, shape, length));
    }
    let last = arguments.seed.saturating_add(arguments.count);
    let runs: Vec<_> = if arguments.regressions {
        let seeds = REGRESSIONS.iter();
        seeds
            .map(|regression| (regression.seed, regression.length))
            .collect()
    } else {
        let seeds = arguments.seed..last;
        seeds.map(|seed| (seed, length)).collect()
    };
    let runs = Mutex::new(runs.into_iter());
    let has_failed = Mutex::new(false);
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| {
                let next = || runs.lock().ok()?.next();
                while let Some((seed, length)) = next() {
                    let has_passed = run_seed(seed, shape, length, arguments.keep.as_ref());
                    if !has_passed && let Ok(mut has_failed) = has_failed.lock() {
                        *has_failed = true;
                    }
                }
            });
        }
    });
    match has_failed.into_inner() {
        Ok(false) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_plan(plan: &Plan) -> ExitCode {
    let mut out = std::io::stdout().lock();
    for (at, action) in &plan.steps {
        // The reader closed the pipe.
        if writeln!(out, "{:>6} ms  {action:?}", at.0).is_err() {
            break;
        }
    }
    ExitCode::SUCCESS
}

/// Runs one seed. Returns whether every invariant held.
fn run_seed(seed: u64, shape: Shape, length: Millis, keep: Option<&PathBuf>) -> bool {
    let name = format!("citronhollow-soak-{}-{seed}", std::process::id());
    let dir = keep
        .map_or_else(std::env::temp_dir, Clone::clone)
        .join(name);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let report =
        runtime.and_then(|runtime| runtime.block_on(run::run_seed(seed, shape, length, &dir)));
    let has_passed = match &report {
        Ok(report) => {
            print(report);
            report.violations.is_empty()
        }
        Err(err) => {
            println!("seed {seed}: not run: {err}");
            false
        }
    };
    if has_passed || keep.is_none() {
        // A directory left behind in the temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&dir);
    }
    has_passed
}

fn print(report: &Report) {
    println!(
        "seed {}: {} steps, {} flows, {} answered, {} given up, {} reset, {} broken",
        report.seed,
        report.steps,
        report.opened,
        report.answered,
        report.given_up,
        report.resets,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("seed {}: {violation}", report.seed);
    }
}
