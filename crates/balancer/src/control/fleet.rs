//! What the rest of the process is told about the fleet.

use citronhollow_core::clock::Millis;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{BalancerRecord, TargetNews, View};
use citronhollow_operator::status::{BalancerState, BalancerStatus, FleetStatus, TargetStatus};

use super::handle::DrainStatus;
use crate::publish::FleetView;

/// The fleet as an operator sees it.
pub(super) fn status(
    now: Millis,
    me: &BalancerRecord,
    view: &View,
    revision: u64,
    drains: &[DrainStatus],
) -> FleetStatus {
    let own = BalancerStatus {
        revision: Some(revision),
        last_seen_ms: Some(Millis::ZERO),
        ..balancer(me)
    };
    FleetStatus {
        revision,
        balancers: std::iter::once(own)
            .chain(view.balancers().iter().map(balancer))
            .collect(),
        targets: view
            .targets(now)
            .filter(|news| !news.is_gone())
            .map(|news| target(&news, drains))
            .collect(),
    }
}

/// This balancer's place in the fleet.
///
/// The lowest revision that anybody reports is not gathered yet, so it is told as none: released
/// addresses stay reserved rather than being given away too early.
pub(super) fn view_of(me: &BalancerRecord, view: &View) -> FleetView {
    let before_me = view.balancers().present().filter(|other| other.id < me.id);
    FleetView {
        rank: before_me.count(),
        lowest_reported: 0,
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
        .find(|drain| citronhollow_operator::status::target_id(&drain.target) == id)
        .and_then(|drain| drain.open)
}
