//! Spans and metrics that real processes send about their flows.
//!
//! Guards against a flow that cannot be followed over a redirect, because a process sends no span
//! or one with another trace id, and against missing metrics.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Service};
use citronhollow_core::flow::FlowId;
use citronhollow_testkit::fabric::Fabric;
use citronhollow_testkit::fleet::{Fleet, TargetPlan};
use citronhollow_testkit::load::{Load, Session};
use serde_json::Value;

const SERVICE: &str = "10.1.0.1:443";
const FLOWS: u16 = 60;
const SEED: u64 = 3;

/// Duration of the load.
const RUN_FOR: Millis = Millis::from_secs(6);

/// Ends the wait for lines if the test hangs; the assertions do not depend on it.
const HANG_GUARD: Duration = Duration::from_mins(1);

/// Maximum datagram length, in bytes.
const DATAGRAM_MAX: usize = 2_048;

/// UDP receiver of spans and metrics.
struct Observer {
    addr: SocketAddr,
    lines: Receiver<String>,
}

impl Observer {
    fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let addr = socket.local_addr()?;
        let (tx, lines) = mpsc::channel();
        // The thread ends when the receiver is dropped or the test process exits.
        std::thread::spawn(move || {
            let mut buf = [0; DATAGRAM_MAX];
            while let Ok(len) = socket.recv(&mut buf) {
                let line = String::from_utf8_lossy(&buf[..len]).into_owned();
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Self { addr, lines })
    }

    /// Collects lines until `is_enough` returns true, or for `HANG_GUARD` at most.
    fn take_until(&self, mut is_enough: impl FnMut(&[String]) -> bool) -> Vec<String> {
        let started = Instant::now();
        let mut taken = Vec::new();
        while !is_enough(&taken) && started.elapsed() < HANG_GUARD {
            taken.extend(self.lines.recv_timeout(HANG_GUARD));
            taken.extend(self.lines.try_iter());
        }
        taken
    }
}

/// Spans of one flow: each hop and the process that reported it.
type Trace = BTreeSet<(String, String)>;

fn traces(lines: &[String]) -> BTreeMap<String, Trace> {
    let mut traces: BTreeMap<String, Trace> = BTreeMap::new();
    for line in lines {
        let Ok(span) = serde_json::from_str::<Value>(line) else {
            continue;
        };
        let text = |name: &str| span[name].as_str().unwrap_or_default().to_owned();
        let spans = traces.entry(text("trace")).or_default();
        spans.insert((text("hop"), text("process")));
    }
    traces
}

/// Whether a flow went from a balancer through one agent to a second agent and its target.
fn goes_through_three_processes(trace: &Trace) -> bool {
    let process_of = |hop: &str| trace.iter().find(|(it, _)| it == hop).map(|(_, by)| by);
    let (Some(balancer), Some(first), Some(second), Some(target)) = (
        process_of("balancer"),
        process_of("redirect"),
        process_of("agent"),
        process_of("target"),
    ) else {
        return false;
    };
    balancer != first && first != second && second == target
}

fn documents() -> Result<Documents, Box<dyn Error>> {
    let service = Service {
        name: String::from("desk"),
        addresses: vec![SERVICE.parse()?],
        pool: String::from("desk"),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = Pool {
        name: String::from("desk"),
        groups: vec![String::from("desk")],
        flows_per_target: None,
    };
    Ok(Documents {
        services: vec![service],
        pools: vec![pool],
        rules: Vec::new(),
    })
}

fn sessions() -> Result<Vec<Session>, Box<dyn Error>> {
    let service = SERVICE.parse()?;
    let sessions = (0..FLOWS).map(|number| Session {
        flow: FlowId {
            caller: SocketAddr::from(([10, 9, 0, 1], 20_000 + number)),
            service,
        },
        service: String::from("desk"),
        start: Millis(u64::from(number) * 20),
        requests: 3,
        think: Millis(300),
        answer_bytes: 100,
        with_timestamps: true,
    });
    Ok(sessions.collect())
}

fn plan(number: u16) -> TargetPlan {
    TargetPlan {
        name: format!("desk-{number}"),
        group: String::from("desk"),
        service: String::from("desk"),
        slots: 2,
        work_ms: 5,
    }
}

/// Runs the load against two targets, so that flows are redirected from one to the other.
fn observe() -> Result<(Fleet, Observer), Box<dyn Error>> {
    let observer = Observer::start()?;
    let fabric = Fabric::bind(Duration::from_millis(1), SEED)?;
    let mut fleet = Fleet::start("observed", fabric.local_addr()?, 0)?;
    fleet.set_observer(observer.addr);
    fleet.add_balancer()?;
    for number in 1..=2 {
        fleet.add_target(&plan(number))?;
    }
    fleet.apply(&documents()?)?;
    fleet.wait_for_ready_targets(2)?;
    let mut load = Load::new(fabric, sessions()?);
    load.fabric().set_balancers(fleet.fabric_addrs());
    load.run_until(RUN_FOR);
    Ok((fleet, observer))
}

#[test]
fn one_flow_is_followed_through_three_processes_and_counted() {
    let (_fleet, observer) = observe().expect("the fleet runs");
    let metrics = [
        ".entry-1.packets.forwarded:",
        ".entry-1.members.targets:2|g",
        ".desk-1.flows.opened:",
        ".desk-2.flows.opened:",
        ".flows.redirected:",
        ".target.connect:",
    ];
    let lines = observer.take_until(|lines| {
        let has = |metric: &str| lines.iter().any(|line| line.contains(metric));
        let is_traced = traces(lines).values().any(goes_through_three_processes);
        is_traced && metrics.iter().all(|metric| has(metric))
    });
    for metric in metrics {
        let has = lines.iter().any(|line| line.contains(metric));
        assert!(has, "{metric} in {} lines", lines.len());
    }
    let traces = traces(&lines);
    let followed = traces.values().find(|it| goes_through_three_processes(it));
    assert!(followed.is_some(), "{traces:?}");
}
