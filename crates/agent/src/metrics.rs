//! Periodic reports of the traffic thread's stats as metrics.

use std::sync::Arc;

use citronhollow_operator::metrics::{Counter, Gauge, Metrics, REPORT_EVERY, Totals};
use tokio::time::{MissedTickBehavior, interval};

use crate::link::TrafficStats;

/// Reports at every [`REPORT_EVERY`] until the future is dropped.
pub async fn run(metrics: Metrics, stats: Arc<TrafficStats>) {
    let mut totals = Totals::new(metrics.clone());
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        report(&metrics, &mut totals, &stats);
    }
}

fn report(metrics: &Metrics, totals: &mut Totals, stats: &TrafficStats) {
    totals.report(Counter::FlowsOpened, stats.opened());
    totals.report(Counter::FlowsRedirected, stats.redirected());
    totals.report(Counter::FlowsRefused, stats.refused());
    totals.report(Counter::PacketsPassed, stats.passed());
    totals.report(Counter::FlowsAsked, stats.asked());
    totals.report(Counter::PacketsDropped, stats.dropped());
    totals.report(Counter::FramesMalformed, stats.malformed());
    totals.report(Counter::FramesUnsent, stats.unsent());
    metrics.gauge(Gauge::FlowsOpen, u64::from(stats.open()));
}
