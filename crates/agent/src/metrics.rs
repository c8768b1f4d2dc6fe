//! Regular reports of what the traffic thread counts.

use std::sync::Arc;

use citronhollow_operator::metrics::{Counter, Gauge, Metrics, REPORT_EVERY, Totals};
use tokio::time::{MissedTickBehavior, interval};

use crate::link::TrafficFigures;

/// Reports until it is dropped.
pub async fn run(metrics: Metrics, figures: Arc<TrafficFigures>) {
    let mut totals = Totals::new(metrics.clone());
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        report(&metrics, &mut totals, &figures);
    }
}

fn report(metrics: &Metrics, totals: &mut Totals, figures: &TrafficFigures) {
    totals.report(Counter::FlowsOpened, figures.opened());
    totals.report(Counter::FlowsRedirected, figures.redirected());
    totals.report(Counter::FlowsRefused, figures.refused());
    totals.report(Counter::PacketsPassed, figures.passed());
    totals.report(Counter::FlowsAsked, figures.asked());
    totals.report(Counter::PacketsDropped, figures.dropped());
    totals.report(Counter::FramesMalformed, figures.malformed());
    totals.report(Counter::FramesUnsent, figures.unsent());
    metrics.gauge(Gauge::FlowsOpen, u64::from(figures.open()));
}
