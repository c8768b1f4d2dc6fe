//! Gossip in simulated fleets of up to the design size, with bounds on time and bytes.
//!
//! Guards against updates that do not reach every balancer in time when messages are lost, a rack
//! fails or a region is partitioned, and against control traffic above its budget.

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::INLINE_MAX;
use citronhollow_core::members::SUSPECT_AFTER;

mod fleet;
#[path = "fleet/scenarios.rs"]
mod scenarios;

use scenarios::{Load, Outcome, heartbeat_bytes_per_s};

/// Bound on the time until a change is in force in every process.
const IN_FORCE: Millis = Millis::from_secs(4);

/// Additional time for an agent after its balancers: a third of a heartbeat interval and a fetch.
const AGENT: Millis = Millis(1_000);

/// Bytes per second for all control traffic of a node, sent and received.
const BYTES_PER_S: u64 = 4_096;

const DESIGN_SIZE: usize = 1_800;

fn within(outcome: &Outcome, bound: Millis) {
    println!("{outcome}");
    let slowest = outcome.slowest.expect("every balancer is reached");
    assert!(slowest.after(AGENT) <= bound, "{slowest} is too slow");
}

/// Checks a balancer's mean control traffic, sent and received, including heartbeats.
fn affordable(outcome: &Outcome) {
    // Every byte that a node sends is received by another, so the means of both are about equal.
    let mean = heartbeat_bytes_per_s() + 2 * outcome.mean_sent;
    println!("{mean} B/s both ways on average");
    assert!(mean <= BYTES_PER_S, "{mean} B/s on average, both ways");
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    change_of_a_target_reaches_all_in_time => {
        for (size, loss) in [(10, 0), (10, 5), (100, 5), (DESIGN_SIZE, 5)] {
            within(&scenarios::one_target(size, loss), IN_FORCE);
        }
    };

    short_revision_reaches_all_in_time => {
        for (size, loss) in [(10, 5), (100, 5), (DESIGN_SIZE, 5)] {
            within(&scenarios::one_revision(size, loss, INLINE_MAX), IN_FORCE);
        }
    };

    long_revision_reaches_all_in_time => {
        for (size, loss) in [(10, 5), (100, 5), (DESIGN_SIZE, 5)] {
            within(&scenarios::one_revision(size, loss, 3_000), IN_FORCE);
        }
    };

    a_days_rate_of_changes_is_affordable => {
        for (size, loss) in [(10, 5), (100, 5), (DESIGN_SIZE, 5)] {
            let outcome = scenarios::steady(size, loss, Load::DESIGN);
            within(&outcome, IN_FORCE);
            affordable(&outcome);
        }
    };

    lost_rack_is_suspected_by_all_and_delays_no_revision => {
        for (size, loss) in [(10, 5), (100, 5), (DESIGN_SIZE, 5)] {
            let outcome = scenarios::rack(size, loss, 40);
            within(&outcome, SUSPECT_AFTER.after(IN_FORCE));
        }
    };

    region_that_was_cut_off_agrees_again => {
        for (size, loss) in [(10, 5), (100, 5)] {
            let outcome = scenarios::heal(size, loss, Millis::from_secs(120));
            within(&outcome, Millis::from_secs(20));
            affordable(&outcome);
        }
    };
}
