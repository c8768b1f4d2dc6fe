//! Fixtures shared by the tests.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::flows::{
    Action, Arrival, FlowLimits, Flows, LoadReport, MAX_REDIRECTS, Packet, Relay,
};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};

/// Stand-in for a packet's bytes, which the decisions don't inspect.
pub type Bytes = u32;
pub type Actions = Vec<Action<Bytes>>;

pub const SERVICE: &str = "10.1.0.1:443";
pub const START: Millis = Millis::from_secs(100);

pub fn addr(text: &str) -> SocketAddr {
    text.parse().expect("address of the test")
}

pub fn service(name: &str, address: &str, pool: &str) -> Service {
    Service {
        name: String::from(name),
        addresses: vec![addr(address)],
        pool: String::from(pool),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    }
}

pub fn pool(name: &str) -> Pool {
    Pool {
        name: String::from(name),
        groups: vec![String::from(name)],
        flows_per_target: None,
    }
}

/// Two services: `match-desk` served by the pool `desk`, and `draw-office` by `draw`.
pub fn revision() -> Revision {
    Revision {
        number: 1,
        epoch: 1,
        documents: Documents {
            services: vec![
                service("match-desk", SERVICE, "desk"),
                service("draw-office", "10.1.0.2:443", "draw"),
            ],
            pools: vec![pool("desk"), pool("draw")],
            rules: Vec::new(),
        },
    }
}

pub fn id(number: u16) -> TargetId {
    TargetId::of(&format!("desk-{number}"))
}

pub fn record(number: u16, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: id(number),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        agent: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        slots: 2,
        state,
        incarnation: 1,
        sequence: 1,
    }
}

pub fn ready(numbers: impl IntoIterator<Item = u16>) -> Vec<TargetRecord> {
    let ready = |number| record(number, TargetState::Ready);
    numbers.into_iter().map(ready).collect()
}

/// Agent `number` of `count` agents that know one another. It is ready and fully ramped up.
pub fn agent(number: u16, count: u16) -> Flows<Bytes> {
    agent_with(number, count, FlowLimits::default())
}

pub fn agent_with(number: u16, count: u16, limits: FlowLimits) -> Flows<Bytes> {
    let mut flows = Flows::new(id(number), limits, u64::from(number));
    flows.set_group(GroupId::of("desk"));
    flows.set_services(&revision());
    flows.set_slots(Millis::ZERO, 2);
    flows.set_state(Millis::ZERO, TargetState::Ready);
    flows.set_peers(Millis::ZERO, &ready(1..=count));
    flows
}

/// Load report of an idle target.
pub fn idle(number: u16, sequence: u64) -> LoadReport {
    LoadReport {
        sender: id(number),
        incarnation: 1,
        sequence,
        milli_slots: 2_000,
        takes_new: true,
        ..LoadReport::default()
    }
}

/// Load report of a target with this many requests in progress.
pub fn busy(number: u16, sequence: u64, requests: u32) -> LoadReport {
    LoadReport {
        open: requests,
        busy: requests,
        ..idle(number, sequence)
    }
}

pub fn flow(number: u16) -> FlowId {
    FlowId {
        caller: SocketAddr::from(([10, 9, 0, 1], 1_024 + number)),
        service: addr(SERVICE),
    }
}

pub fn packet(flow: FlowId, segment: Segment) -> Packet<Bytes> {
    Packet {
        flow,
        segment,
        arrival: Arrival::Balancer,
        candidates: Vec::new(),
        hops: 0,
        trace: 0,
        bytes: 0,
    }
}

pub fn syn(number: u16, seq: u32) -> Packet<Bytes> {
    let segment = Segment {
        syn: true,
        seq,
        ..Segment::default()
    };
    packet(flow(number), segment)
}

pub fn ack(number: u16, seq: u32, ack_seq: u32) -> Packet<Bytes> {
    let segment = Segment {
        ack: true,
        seq,
        ack_seq,
        ..Segment::default()
    };
    packet(flow(number), segment)
}

/// The packet as passed on by a peer.
pub fn passed(from: u16, packet: Packet<Bytes>) -> Packet<Bytes> {
    Packet {
        arrival: Arrival::Passed(id(from)),
        hops: packet.hops + 1,
        ..packet
    }
}

/// The packet as redirected by a peer.
pub fn redirected(from: u16, packet: Packet<Bytes>) -> Packet<Bytes> {
    Packet {
        arrival: Arrival::Redirected(id(from)),
        hops: packet.hops + 1,
        ..packet
    }
}

/// The packet as redirected by a peer that used up the redirect limit.
pub fn redirected_last(from: u16, packet: Packet<Bytes>) -> Packet<Bytes> {
    Packet {
        hops: MAX_REDIRECTS,
        ..redirected(from, packet)
    }
}

/// The actions that one packet causes.
pub fn on_packet(flows: &mut Flows<Bytes>, now: Millis, packet: Packet<Bytes>) -> Actions {
    let mut out = Vec::new();
    flows.on_packet(now, packet, &mut out);
    out
}

/// Peer and relay kind of the only packet among the actions, if it was sent on. Notices to peers
/// are ignored.
pub fn sent(actions: &Actions) -> Option<(TargetId, Relay)> {
    match only_packet(actions)? {
        Action::Send { to, relay, .. } => Some((*to, *relay)),
        _ => None,
    }
}

/// Whether the only packet among the actions was delivered. Notices to peers are ignored.
pub fn is_delivered(actions: &Actions) -> bool {
    matches!(only_packet(actions), Some(Action::Deliver { .. }))
}

fn only_packet(actions: &Actions) -> Option<&Action<Bytes>> {
    let is_notice = |action: &&Action<Bytes>| matches!(action, Action::Reply { .. });
    let mut others = actions.iter().filter(|action| !is_notice(action));
    let first = others.next();
    first.filter(|_| others.next().is_none())
}

/// Opens a flow that a peer redirected to the agent, and finishes its handshake.
pub fn establish(flows: &mut Flows<Bytes>, now: Millis, number: u16, seq: u32, isn: u32) {
    let actions = on_packet(flows, now, redirected_last(99, syn(number, seq)));
    assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    flows.on_isn(&flow(number), isn);
    let packet = ack(number, seq.wrapping_add(1), isn.wrapping_add(1));
    let actions = on_packet(flows, now, packet);
    assert!(
        matches!(actions[..], [Action::Deliver { .. }]),
        "{actions:?}"
    );
    flows.on_established(now, &flow(number));
}
