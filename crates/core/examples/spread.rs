//! Prints how fast gossip disseminates updates in simulated fleets, and the traffic per balancer.

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::{INLINE_MAX, ROUND};

#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[path = "../tests/fleet/scenarios.rs"]
mod scenarios;

use scenarios::{Load, heal, heartbeat_bytes_per_s, one_revision, one_target, rack, steady};

fn main() {
    println!("one round is {ROUND}, datagrams take 2 to 25 ms");
    println!(
        "heartbeats of agents, per balancer and second: {}",
        heartbeat_bytes_per_s()
    );
    for size in [10, 100, 1_800] {
        for loss in [0, 5] {
            println!("-- {size} balancers, {loss} % loss");
            println!("   one target:            {}", one_target(size, loss));
            println!(
                "   revision inline:       {}",
                one_revision(size, loss, INLINE_MAX)
            );
            println!(
                "   revision fetched:      {}",
                one_revision(size, loss, 3_000)
            );
            println!(
                "   a day's rate for 60 s: {}",
                steady(size, loss, Load::DESIGN)
            );
            println!("   rack of 40 lost:       {}", rack(size, loss, 40));
            let partition = Millis::from_secs(120);
            println!("   region cut and healed: {}", heal(size, loss, partition));
        }
    }
}
