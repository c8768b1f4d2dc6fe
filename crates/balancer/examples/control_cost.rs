//! Prints the CPU time and memory of the control thread's work at the design's fleet size.

use std::net::SocketAddr;
use std::time::Instant;

use citronhollow_balancer::control::{Effect, Node};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{BalancerRecord, TargetRecord, TargetState, TargetUpdate};
use citronhollow_core::routes::Routes;
use citronhollow_peer::message::{Heartbeat, MembersReply};
use citronhollow_peer::{
    Body, Codec, Envelope, Key, Keyring, balancer_to_message, target_to_message,
};

const BALANCERS: u32 = 1_800;
const TARGETS: u32 = 19_000;
const SERVICES: u32 = 3_700;
const REPORTING: u32 = TARGETS * 3 / BALANCERS;

fn addr(number: u32) -> SocketAddr {
    SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + number), 7_000))
}

fn balancer(number: u32) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId::of(&format!("balancer-{number}")),
        domain: DomainId(u64::from(number % 20)),
        control: addr(number),
        leaving: false,
        incarnation: 1,
        sequence: 1,
    }
}

fn target(number: u32, sequence: u64) -> TargetUpdate {
    TargetUpdate::alive(TargetRecord {
        id: TargetId::of(&format!("target-{number}")),
        group: GroupId::of(&format!("group-{}", number % SERVICES)),
        domain: DomainId(u64::from(number % 20)),
        agent: addr(number),
        slots: 4,
        state: TargetState::Ready,
        incarnation: 1,
        sequence,
    })
}

fn revision(number: u64) -> Revision {
    let service = |it: u32| Service {
        name: format!("service-{it}"),
        addresses: vec![addr(0x10_0000 + it)],
        pool: format!("pool-{it}"),
        refusal: Refusal::Reset,
        new_flows_per_s: Some(u32::try_from(number).unwrap_or(0)),
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    };
    let pool = |it: u32| Pool {
        name: format!("pool-{it}"),
        groups: vec![format!("group-{it}")],
        flows_per_target: None,
    };
    Revision {
        number,
        epoch: 1,
        documents: Documents {
            services: (0..SERVICES).map(service).collect(),
            pools: (0..SERVICES).map(pool).collect(),
            rules: Vec::new(),
        },
    }
}

fn heartbeat(number: u32, sequence: u64) -> Body {
    Body::Heartbeat(Heartbeat {
        target: Some(target_to_message(&target(number, sequence))),
        revision: 1,
        open: 100,
        is_last: false,
        wants_balancers: false,
    })
}

/// Average time of one run of `work`, in microseconds.
fn time(runs: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for run in 0..runs {
        work(run);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn resident_kib() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.map(|line| line.replace("VmRSS:", "").trim().to_owned())
        .unwrap_or_default()
}

fn main() {
    let before = resident_kib();
    let revisions = RevisionStore::default();
    let _ = revisions.offer(revision(1));
    let mut node = Node::new(balancer(0), Vec::new(), revisions.clone());
    let members = MembersReply {
        targets: (0..TARGETS)
            .map(|it| target_to_message(&target(it, 1)))
            .collect(),
        balancers: (1..BALANCERS)
            .map(|it| balancer_to_message(&balancer(it)))
            .collect(),
    };
    node.on_fetched(Millis::ZERO, addr(1), Some(Body::MembersReply(members)));
    let mut effects: Vec<Effect> = Vec::new();
    let unchanged = time(1_000, |run| {
        let number = run % REPORTING;
        node.on_message(
            Millis::ZERO,
            addr(number),
            heartbeat(number, 1),
            &mut effects,
        );
        effects.clear();
    });
    let changed = time(100, |run| {
        let body = heartbeat(run % REPORTING, u64::from(run) + 2);
        node.on_message(Millis::ZERO, addr(1), body, &mut effects);
        effects.clear();
    });
    let tick = time(400, |run| {
        node.on_tick(Millis(u64::from(run) * 50), &mut effects);
        effects.clear();
    });
    let keys = [Key {
        id: 1,
        secret: "a".repeat(64),
    }];
    let codec = Codec::new(Keyring::new(&keys).expect("a key"));
    let frame = time(1_000, |run| {
        let mut buf = bytes::BytesMut::new();
        codec.seal(&Envelope::from(heartbeat(run, 1)), &mut buf);
        codec.open(&buf).expect("own frame");
    });
    let records = node.view().records_for_routes(Millis::ZERO);
    let latest = revisions.latest();
    let mut routes = Routes::build(&latest, &records, None);
    let rebuild = time(20, |_| {
        let records = node.view().records_for_routes(Millis::ZERO);
        routes = Routes::build(&latest, &records, Some(&routes));
    });
    let publish = time(5, |run| {
        let _ = revisions.offer(revision(u64::from(run) + 2));
        node.on_revision();
    });
    println!("resident memory: {before} before, {} after", resident_kib());
    println!("heartbeat without a change: {unchanged:.0} us, after a change: {changed:.0} us");
    println!("tick: {tick:.0} us, frame sealed and opened: {frame:.1} us");
    println!("routes built again: {rebuild:.0} us, revision taken over: {publish:.0} us");
    let heartbeats = f64::from(REPORTING) / 2.0;
    let rebuilds = (1_700.0 * 4.0 + 5_600.0) / 86_400.0;
    let per_s = heartbeats * (unchanged + 2.0 * frame)
        + tick * 20.0
        + rebuilds * (rebuild + f64::from(REPORTING) * changed)
        + 5_600.0 / 86_400.0 * publish;
    println!("in all: {:.2} % of a core", per_s / 1e4);
}
