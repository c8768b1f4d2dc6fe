//! Measures how evenly policies spread load, in a simulation of the routing decisions.
//!
//! Feeds generated arrivals to the same decision code that the processes run, with the delays
//! between failure domains of both users' deployments, and to baselines in the same run: a hash of
//! the five-tuple, power of two choices with load reports as old as the agents' own, and a
//! dispatcher with current load data. It models time and delay, and nothing else of a cluster.
//! Prints a table, and with `--plot FILE` writes the busy slots of every target over time to a CSV
//! file.

use std::error::Error;
use std::fs::File;
use std::io::{BufWriter, Write};

use gumdrop::Options;

mod agents;
mod arrivals;
mod model;
mod policy;

use arrivals::Workload;
use model::{Fleet, Outcome, simulate};
use policy::Policy;

/// Default number of seeds per table cell, whose values are means over the seeds.
const SEEDS: u64 = 5;

/// Measures how evenly policies spread load.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "write busy slots over time as CSV", meta = "FILE")]
    plot: Option<String>,
    #[options(no_short, help = "seeds of each cell", default = "5")]
    seeds: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let seeds = arguments.seeds.clamp(1, 10 * SEEDS);
    let mut plot = arguments
        .plot
        .map(|path| File::create(path).map(BufWriter::new))
        .transpose()?;
    println!(
        "{:<18} {:<16} {:<20} {:>8} {:>8} {:>9} {:>8} {:>7} {:>9}",
        "fleet",
        "arrivals",
        "policy",
        "max/mean",
        "p99/mean",
        "of ideal",
        "refused",
        "redirected",
        "ctrl B/s"
    );
    for fleet in Fleet::all() {
        for workload in Workload::ALL {
            table(&fleet, workload, seeds, plot.as_mut())?;
        }
    }
    Ok(())
}

fn table(
    fleet: &Fleet,
    workload: Workload,
    seeds: u64,
    mut plot: Option<&mut BufWriter<File>>,
) -> Result<(), Box<dyn Error>> {
    let mut ideal = None;
    for policy in Policy::ALL {
        let mut mean = Outcome::default();
        for seed in 0..seeds {
            let outcome = simulate(fleet, workload, policy, seed);
            if let (0, Some(plot)) = (seed, plot.as_deref_mut()) {
                write_series(plot, fleet, workload, policy, &outcome)?;
            }
            mean.add(&outcome, seeds);
        }
        let ideal = *ideal.get_or_insert(mean.max_over_mean);
        println!(
            "{:<18} {:<16} {:<20} {:>8.3} {:>8.3} {:>8.1}% {:>8.0} {:>6.0}% {:>9.0}",
            fleet.name,
            workload.to_string(),
            policy.to_string(),
            mean.max_over_mean,
            mean.p99_over_mean,
            mean.max_over_mean / ideal * 100.0,
            mean.refused,
            mean.redirected * 100.0,
            mean.control_bytes_per_s,
        );
    }
    Ok(())
}

fn write_series(
    plot: &mut impl Write,
    fleet: &Fleet,
    workload: Workload,
    policy: Policy,
    outcome: &Outcome,
) -> std::io::Result<()> {
    for (ms, busy) in &outcome.series {
        write!(plot, "{},{workload},{policy},{ms}", fleet.name)?;
        for requests in busy {
            write!(plot, ",{requests}")?;
        }
        writeln!(plot)?;
    }
    Ok(())
}
