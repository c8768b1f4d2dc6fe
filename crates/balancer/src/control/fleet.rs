//! What the rest of the process is told about the fleet.

use citronhollow_core::clock::Millis;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{BalancerRecord, TargetNews, View};
use citronhollow_core::rumour::Floor;
use citronhollow_operator::status::{
    BalancerState, BalancerStatus, DrainStatus, FleetStatus, TargetStatus, target_id,
};

use super::handle::Status;
use crate::publish::FleetView;

/// The fleet as an operator sees it.
pub(super) fn status(
    now: Millis,
    me: &BalancerRecord,
    view: &View,
    floor: Floor,
    status: Status,
) -> FleetStatus {
    let own = BalancerStatus {
        revision: Some(status.revision),
        last_seen_ms: Some(Millis::ZERO),
        ..balancer(me)
    };
    FleetStatus {
        revision: status.revision,
        lowest_reported: floor.of_answering,
        balancers: std::iter::once(own)
            .chain(view.balancers().iter().map(balancer))
            .collect(),
        targets: view
            .targets(now)
            .filter(|news| !news.is_gone())
            .map(|news| target(&news, &status.drains))
            .collect(),
        drains: status.drains,
        is_isolated: status.is_isolated,
        is_leaving: status.is_leaving,
        refused_frames: status.refused_frames,
    }
}

/// This balancer's place in the fleet.
pub(super) fn place(me: &BalancerRecord, view: &View, floor: Floor) -> FleetView {
    let before_me = view.balancers().present().filter(|other| other.id < me.id);
    FleetView {
        rank: before_me.count(),
        lowest_reported: floor.of_all,
    }
}

fn balancer(record: &BalancerRecord) -> BalancerStatus {
    BalancerStatus {
        id: record.id.to_string(),
        domain: record.domain.to_string(),
        control: record.control,
        state: if record.leaving {
            BalancerState::Leaving
        } else {
            BalancerState::Alive
        },
        revision: None,
        last_seen_ms: None,
    }
}

fn target(news: &TargetNews, drains: &[DrainStatus]) -> TargetStatus {
    let record = &news.record;
    TargetStatus {
        id: record.id.to_string(),
        group: record.group.to_string(),
        domain: record.domain.to_string(),
        agent: record.agent,
        slots: record.slots,
        state: record.state,
        revision: None,
        open: open_of(record.id, drains),
        last_seen_ms: None,
    }
}

fn open_of(id: TargetId, drains: &[DrainStatus]) -> Option<u32> {
    drains
        .iter()
        .find(|drain| target_id(&drain.target) == id)
        .and_then(|drain| drain.open)
}
