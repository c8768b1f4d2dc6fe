//! Failures of real processes and their effect on real flows.
//!
//! Each case starts balancers, targets and agents as separate processes, injects a failure while
//! flows are open, and checks the outcome. Guards against flows that break although their agent and
//! target survive, answers from a wrong service, and requests that run twice or after a refusal.
//! Times only limit how long a case waits. No result depends on the speed of the machine, except
//! where a requirement has a time bound.

use std::io;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::members::{DEAD_AFTER, SUSPECT_AFTER};
use citronhollow_testkit::fabric::{Fabric, Faults};
use citronhollow_testkit::fleet::Fleet;
use citronhollow_testkit::load::{Load, Session};
use citronhollow_testkit::outcome::Outcome;
use citronhollow_testkit::process::Signal;
use citronhollow_testkit::sample;

const SEED: u64 = 7;
const FLOWS: u32 = 40;

/// When the failure is injected. Every flow is open by then.
const BREAK_AT: Millis = Millis(1_500);

/// When a case stops waiting for its flows.
const END_AT: Millis = Millis::from_secs(60);

/// Ticks in which a silent target is suspected and then declared dead.
const VERDICT_TICKS: Millis = Millis::from_secs(2);

/// When every balancer knows that a target is dead whose agent was killed at [`BREAK_AT`].
const DETECTED_BY: Millis = BREAK_AT
    .after(SUSPECT_AFTER)
    .after(DEAD_AFTER)
    .after(VERDICT_TICKS);

/// Time after its request by which every caller has repeated a packet after the detection. Pauses
/// between repetitions double, so that the one in which the detection falls ends at twice its time
/// and one timeout.
const LAST_REPETITION: Millis = Millis::from_secs(50);

#[derive(Clone, Copy)]
struct Network {
    faults: Faults,
    with_timestamps: bool,
}

const FAULT_FREE: Network = Network {
    faults: Faults {
        loss: 0.0,
        duplication: 0.0,
    },
    with_timestamps: true,
};

const FAULTY: Network = Network {
    faults: Faults {
        loss: 0.02,
        duplication: 0.02,
    },
    with_timestamps: true,
};

/// Callers echo no hint, so the holder of a flow is found only by the candidates and the search.
const WITHOUT_HINTS: Network = Network {
    with_timestamps: false,
    ..FAULT_FREE
};

struct Case {
    fleet: Fleet,
    load: Load,
}

impl Case {
    /// Starts a fleet and its sessions, and runs until the failure is due.
    fn start(name: &str, balancers: usize, targets: u16, network: Network) -> io::Result<Self> {
        let mut fabric = Fabric::bind(Duration::from_millis(1), SEED)?;
        fabric.set_faults(network.faults);
        let mut fleet = Fleet::start(name, fabric.local_addr()?, balancers)?;
        for number in 1..=targets {
            fleet.add_target(&sample::target(number))?;
        }
        fleet.apply(&sample::documents())?;
        fleet.wait_for_ready_targets(usize::from(targets))?;
        let mut load = Load::new(fabric, sessions(network.with_timestamps));
        load.fabric().set_balancers(fleet.fabric_addrs());
        load.run_until(BREAK_AT);
        Ok(Self { fleet, load })
    }

    /// Runs to the end and evaluates the run.
    fn outcome(mut self) -> io::Result<Outcome> {
        self.load.run_until(END_AT);
        let ran = self.fleet.ran()?;
        Ok(self.load.into_outcome(&ran, &[]))
    }
}

fn sessions(with_timestamps: bool) -> Vec<Session> {
    (0..FLOWS)
        .map(|number| Session {
            flow: sample::flow(number),
            service: String::from(sample::NAME),
            start: Millis(u64::from(number) * 20),
            requests: 12,
            think: Millis(400),
            answer_bytes: 2_000,
            with_timestamps,
        })
        .collect()
}

/// Checks what must hold after any failure.
fn assert_nothing_wrong(outcome: &Outcome) {
    assert_eq!(outcome.misdelivered, 0, "{outcome:?}");
    assert_eq!(outcome.doubled, 0, "{outcome:?}");
    assert_eq!(outcome.refused_but_run, 0, "{outcome:?}");
}

fn assert_all_completed(outcome: &Outcome) {
    assert_nothing_wrong(outcome);
    assert_eq!(outcome.completed, u64::from(FLOWS), "{outcome:?}");
}

macro_rules! cases {
    ($($name:ident: $balancers:expr, $targets:expr, $network:expr => $break_it:expr, $check:expr;)*) => {
        $(
            #[test]
            fn $name() -> io::Result<()> {
                let mut case = Case::start(stringify!($name), $balancers, $targets, $network)?;
                let break_it: fn(&mut Case) -> io::Result<()> = $break_it;
                break_it(&mut case)?;
                let check: fn(&Outcome) = $check;
                check(&case.outcome()?);
                Ok(())
            }
        )*
    };
}

cases! {
    killed_balancer_breaks_no_flow: 3, 3, FAULT_FREE => |case| {
        // For one second the fabric still sends a third of all packets to the dead balancer.
        case.fleet.balancers[0].process.kill()?;
        case.load.run_until(BREAK_AT.after(Millis(1_000)));
        let left = case.fleet.fabric_addrs().split_off(1);
        case.load.fabric().set_balancers(left);
        Ok(())
    }, assert_all_completed;

    frozen_balancer_breaks_no_flow: 3, 3, FAULT_FREE => |case| {
        case.fleet.balancers[1].process.signal(Signal::Stop)?;
        case.load.run_until(BREAK_AT.after(Millis(2_000)));
        case.fleet.balancers[1].process.signal(Signal::Continue)
    }, assert_all_completed;

    frozen_agent_breaks_no_flow: 2, 3, FAULT_FREE => |case| {
        case.fleet.targets[0].agent.signal(Signal::Stop)?;
        case.load.run_until(BREAK_AT.after(Millis(3_000)));
        case.fleet.targets[0].agent.signal(Signal::Continue)
    }, assert_all_completed;

    lost_and_doubled_packets_break_no_flow: 3, 3, FAULTY => |_| {
        Ok(())
    }, assert_all_completed;

    killed_platform_breaks_no_flow_and_balancers_are_replaced: 3, 3, FAULT_FREE => |case| {
        case.fleet.platform.kill()?;
        case.fleet.add_balancer()?;
        case.fleet.wait_for_ready_targets(3)?;
        let retired = case.fleet.begin_retirement(0)?;
        case.load.fabric().set_balancers(case.fleet.fabric_addrs());
        case.load.run_until(BREAK_AT.after(Millis(3_000)));
        Fleet::end_retirement(retired)
    }, assert_all_completed;

    killed_balancer_breaks_no_flow_without_hints: 3, 3, WITHOUT_HINTS => |case| {
        case.fleet.balancers[0].process.kill()?;
        let left = case.fleet.fabric_addrs().split_off(1);
        case.load.fabric().set_balancers(left);
        Ok(())
    }, assert_all_completed;

    new_targets_break_no_flow_without_hints: 2, 2, WITHOUT_HINTS => |case| {
        // Two thirds of the buckets move to other targets while every flow is open.
        for number in 3..=6 {
            case.fleet.add_target(&sample::target(number))?;
        }
        Ok(())
    }, assert_all_completed;

    drained_and_stopped_agent_cuts_no_flow_without_hints: 2, 3, WITHOUT_HINTS => |case| {
        case.fleet.drain("desk-1")?;
        case.load.run_until(BREAK_AT.after(Millis(500)));
        case.fleet.targets[0].agent.signal(Signal::Terminate)
    }, assert_all_completed;

    stopping_agent_cuts_no_flow: 2, 3, FAULT_FREE => |case| {
        case.fleet.targets[0].agent.signal(Signal::Terminate)
    }, assert_all_completed;

    killed_agent_breaks_only_its_own_flows_and_those_are_told: 2, 3, FAULT_FREE => |case| {
        case.load.set_progress_timeout(LAST_REPETITION);
        case.fleet.targets[0].agent.kill()
    }, |outcome| {
        assert_nothing_wrong(outcome);
        let own = outcome.by_target.get("desk-1").copied().unwrap_or_default();
        assert!(own > 0, "{outcome:?}");
        assert_eq!(outcome.broken, own, "{outcome:?}");
        assert_eq!(outcome.completed, u64::from(FLOWS) - own, "{outcome:?}");
        assert_eq!(outcome.silent, 0, "{outcome:?}");
        for sent in &outcome.broken_sends {
            let after_detection = sent.iter().filter(|at| **at >= DETECTED_BY).count();
            assert!(after_detection <= 1, "reset at the first repetition: {outcome:?}");
        }
    };
}
