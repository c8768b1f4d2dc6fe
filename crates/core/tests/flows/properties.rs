//! Properties that hold for any sequence of events between agents and callers.

use std::cell::Cell;

use proptest::test_runner::TestCaseResult;

use crate::network::{Network, Seen, Step, steps};
use crate::runner;

/// Runs the steps. The network checks throughout that
///
/// - the bytes of a connection reach one target, through the endpoint that was opened for it,
/// - a refused connection delivered no bytes to any target,
/// - no agent resets a flow while the agent that holds it is alive,
/// - only a ready target opens flows,
/// - no table exceeds its limit.
///
/// After the faults end, every established flow must be reachable and every new one must be
/// answered.
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

/// Events of all runs, to detect runs in which a property holds only because nothing happened.
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
