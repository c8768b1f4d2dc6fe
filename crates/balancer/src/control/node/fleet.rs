//! What the control thread tells others of the fleet: operators and the publisher.

use citronhollow_core::clock::Millis;
use citronhollow_core::members::{BalancerRecord, TargetNews, TargetState, Verdict};
use citronhollow_operator::status::{BalancerState, BalancerStatus, FleetStatus, TargetStatus};

use super::Node;
use crate::publish::FleetView;

impl Node {
    /// The fleet as the publisher needs it.
    #[must_use]
    pub fn fleet_view(&self, now: Millis) -> FleetView {
        let peers = self.reachable_peers(now);
        FleetView {
            rank: peers.iter().filter(|peer| peer.id < self.me.id).count(),
            lowest_reported: self.lowest_reported(&peers),
        }
    }

    /// The fleet as operators see it. Drains and the process's own state are the caller's to add.
    #[must_use]
    pub fn fleet_status(&self, now: Millis) -> FleetStatus {
        let balancers = self.view.balancers().iter();
        FleetStatus {
            revision: self.revisions.latest().number,
            lowest_reported: self.lowest_reported(&self.reachable_peers(now)),
            balancers: std::iter::once(self.own_status())
                .chain(balancers.map(|record| self.balancer_status(now, record)))
                .collect(),
            targets: self
                .view
                .targets(now)
                .map(|news| self.target_status(now, &news))
                .collect(),
            is_isolated: self.view.is_isolated(now),
            refused_frames: self.refused,
            ..FleetStatus::default()
        }
    }

    fn lowest_reported(&self, peers: &[BalancerRecord]) -> u64 {
        let own = self.revisions.latest().number;
        self.reports
            .lowest_of(own, peers.iter().map(|peer| peer.id))
    }

    fn own_status(&self) -> BalancerStatus {
        BalancerStatus {
            id: self.me.id.to_string(),
            domain: self.me.domain.to_string(),
            control: self.me.control,
            state: state_of(&self.me, true),
            revision: Some(self.revisions.latest().number),
            last_seen_ms: Some(Millis::ZERO),
        }
    }

    fn balancer_status(&self, now: Millis, record: &BalancerRecord) -> BalancerStatus {
        let report = self.reports.balancer(record.id);
        BalancerStatus {
            id: record.id.to_string(),
            domain: record.domain.to_string(),
            control: record.control,
            state: state_of(record, self.liveness.is_reachable(now, record.id)),
            revision: report.map(|report| report.revision),
            last_seen_ms: report.map(|report| now.since(report.at)),
        }
    }

    fn target_status(&self, now: Millis, news: &TargetNews) -> TargetStatus {
        let record = &news.record;
        let report = self.reports.agent(record.id);
        let state = if news.is_gone() {
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
            is_suspect: news.verdict == Verdict::Suspect,
            revision: report.map(|report| report.revision),
            open: report.map(|report| report.open),
            last_seen_ms: report.map(|report| now.since(report.at)),
        }
    }
}

const fn state_of(record: &BalancerRecord, is_reachable: bool) -> BalancerState {
    match (record.leaving, is_reachable) {
        (true, _) => BalancerState::Leaving,
        (false, true) => BalancerState::Alive,
        (false, false) => BalancerState::Suspect,
    }
}
