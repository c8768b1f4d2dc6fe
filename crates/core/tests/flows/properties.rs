//! What holds whatever happens between agents and callers.

use std::cell::Cell;

use proptest::test_runner::TestCaseResult;

use crate::network::{Network, Seen, Step, steps};
use crate::runner;

/// Runs the steps; the network itself checks that
///
/// - bytes of a connection reach one target, and only the endpoint that it was opened with,
/// - a refused connection put no byte anywhere,
/// - nobody resets a flow while the agent that holds it lives,
/// - only a ready target opens flows,
/// - no table exceeds its bound.
///
/// After the faults every established flow is reached and every new one is answered.
fn check(steps: &[Step], total: &Cell<Totals>) -> TestCaseResult {
    let mut network = Network::new();
    for step in steps {
        network.step(step)?;
    }
    network.heal()?;
    network.check_reachable()?;
    network.check_answered()?;
    total.set(total.get().with(&network.seen));
    Ok(())
}

/// Events of all runs, so that no property holds because nothing happened.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    opened: u32,
    established: u32,
    resets: u32,
    refusals: u32,
    with_bytes: usize,
}

impl Totals {
    fn with(self, seen: &Seen) -> Self {
        Self {
            opened: self.opened + seen.opened,
            established: self.established + seen.established,
            resets: self.resets + seen.resets,
            refusals: self.refusals + seen.refusals,
            with_bytes: self.with_bytes + seen.bytes_at.len(),
        }
    }
}

cases! {
    flows_stay_whole_under_any_interleaving => {
        let total = Cell::new(Totals::default());
        runner::run(runner::cases(300), steps(), |steps| check(&steps, &total));
        let total = total.get();
        println!("{total:?}");
        assert!(total.resets > 0 && total.refusals > 0 && total.with_bytes > 0, "{total:?}");
        assert!(total.opened > total.established, "some handshakes are doubled: {total:?}");
    };
}
