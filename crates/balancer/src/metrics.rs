//! Periodic reports of a balancer's metrics.

use std::sync::Arc;

use citronhollow_core::members::TargetState;
use citronhollow_operator::metrics::{Counter, Gauge, Metrics, REPORT_EVERY, Totals};
use citronhollow_operator::status::{BalancerState, FleetStatus, TrafficStatus};
use citronhollow_platform::Client;
use tokio::time::{MissedTickBehavior, interval};

use crate::control::ControlHandle;
use crate::traffic::{Event, TrafficStats};

/// Sources of the reported values.
pub struct Sources {
    /// Counters of the traffic threads.
    pub stats: Arc<TrafficStats>,
    /// Handle to the control loop.
    pub control: ControlHandle,
    /// Client of the platform, for its call counters.
    pub platform: Client,
}

/// Reports until the control loop has ended.
pub async fn run(metrics: Metrics, sources: Sources) {
    let mut totals = Totals::new(metrics.clone());
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(fleet) = sources.control.fleet().await else {
            return;
        };
        report_fleet(&metrics, &fleet);
        report_traffic(&mut totals, &sources.stats);
        let counters = sources.platform.counters();
        totals.report(Counter::PlatformCalls, counters.total());
        totals.report(Counter::PlatformRetries, counters.retries());
    }
}

fn report_fleet(metrics: &Metrics, fleet: &FleetStatus) {
    let balancers = fleet.balancers.iter();
    let alive = balancers.filter(|it| it.state == BalancerState::Alive);
    let targets = fleet.targets.iter();
    let ready = targets.filter(|it| it.state == TargetState::Ready && !it.is_suspect);
    metrics.gauge(Gauge::Revision, fleet.revision);
    metrics.gauge(Gauge::LowestRevision, fleet.lowest_reported);
    metrics.gauge(Gauge::Balancers, alive.count() as u64);
    metrics.gauge(Gauge::TargetsReady, ready.count() as u64);
}

fn report_traffic(totals: &mut Totals, stats: &TrafficStats) {
    let TrafficStatus {
        packets,
        forwarded,
        malformed,
        refused,
    } = stats.status();
    let refused = refused.iter().map(|refusal| refusal.count).sum();
    totals.report(Counter::PacketsTaken, packets);
    totals.report(Counter::PacketsForwarded, forwarded);
    totals.report(Counter::PacketsMalformed, malformed);
    totals.report(Counter::PacketsRefused, refused);
    totals.report(Counter::PacketsUnsent, stats.get(Event::SendFailed));
}
