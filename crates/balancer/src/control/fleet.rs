//! Views of the fleet for the rest of the process.

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::GossipNode;
use citronhollow_core::members::{BalancerRecord, TargetState, TargetUpdate, Verdict};
use citronhollow_operator::status::{BalancerState, BalancerStatus, FleetStatus, TargetStatus};

use crate::publish::FleetView;

/// The view of the fleet for the publisher.
///
/// A balancer that has seeds but has not joined them yet gets the last rank instead of the first.
/// Otherwise all balancers of a region that starts at once would call the platform at once.
pub(super) fn fleet_view(now: Millis, gossip: &GossipNode) -> FleetView {
    let me = gossip.me().id;
    let peers = gossip.reachable_peers();
    let before_me = peers.iter().filter(|peer| peer.id < me).count();
    let is_joining = gossip.has_seeds() && !gossip.has_fleet_view(now);
    FleetView {
        rank: if is_joining { usize::MAX } else { before_me },
        lowest_reported: gossip.lowest_of_all(),
    }
}

/// The status of the fleet for operators.
pub(super) fn status(now: Millis, gossip: &GossipNode) -> FleetStatus {
    let view = gossip.view();
    let me = gossip.me().id;
    let balancers = view.balancers().iter().filter(|other| other.id != me);
    let balancers = balancers.map(|record| balancer(now, gossip, record));
    let targets = view.targets(now).map(|update| target(now, gossip, &update));
    FleetStatus {
        revision: gossip.revision(),
        lowest_reported: gossip.lowest_of_answering(),
        balancers: std::iter::once(own(gossip)).chain(balancers).collect(),
        targets: targets.collect(),
        is_isolated: view.is_isolated(now),
        ..FleetStatus::default()
    }
}

fn own(gossip: &GossipNode) -> BalancerStatus {
    let me = gossip.me();
    BalancerStatus {
        id: me.id.to_string(),
        domain: me.domain.to_string(),
        control: me.control,
        state: state_of(me, true),
        revision: Some(gossip.revision()),
        last_seen_ms: Some(Millis::ZERO),
    }
}

fn balancer(now: Millis, gossip: &GossipNode, record: &BalancerRecord) -> BalancerStatus {
    let report = gossip.reports().balancer(record.id);
    BalancerStatus {
        id: record.id.to_string(),
        domain: record.domain.to_string(),
        control: record.control,
        state: state_of(record, gossip.is_reachable(record.id)),
        revision: report.map(|report| report.revision),
        last_seen_ms: report.map(|report| now.since(report.at)),
    }
}

const fn state_of(record: &BalancerRecord, is_reachable: bool) -> BalancerState {
    match (record.leaving, is_reachable) {
        (true, _) => BalancerState::Leaving,
        (false, true) => BalancerState::Alive,
        (false, false) => BalancerState::Suspect,
    }
}

fn target(now: Millis, gossip: &GossipNode, update: &TargetUpdate) -> TargetStatus {
    let record = &update.record;
    let report = gossip.reports().agent(record.id);
    let state = if update.is_gone() {
        TargetState::Dead
    } else {
        record.state
    };
    TargetStatus {
        id: record.id.to_string(),
        group: record.group.to_string(),
        domain: record.domain.to_string(),
        agent: record.agent,
        slots: record.slots,
        state,
        is_suspect: update.verdict == Verdict::Suspect,
        revision: report.map(|report| report.revision),
        open: report.map(|report| report.open),
        last_seen_ms: report.map(|report| now.since(report.at)),
    }
}
