//! What the traffic threads count, as a status shows it.

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::status::{RefusalCount, TrafficStatus};

use crate::traffic::{Figure, TrafficFigures};

/// Why packets were not forwarded.
const REFUSALS: [(Figure, ErrorKind); 3] = [
    (Figure::UnknownService, ErrorKind::UnknownService),
    (Figure::NoTarget, ErrorKind::NoTarget),
    (Figure::RefusedNoTarget, ErrorKind::NoTarget),
];

pub(super) fn status(figures: &TrafficFigures) -> TrafficStatus {
    // A packet that could not be sent was counted before it was tried.
    let taken = Figure::ALL
        .iter()
        .filter(|figure| **figure != Figure::SendFailed);
    TrafficStatus {
        packets: taken.map(|figure| figures.get(*figure)).sum(),
        forwarded: figures.get(Figure::ByTable) + figures.get(Figure::ByHint),
        malformed: figures.get(Figure::Malformed),
        refused: refused(figures),
    }
}

fn refused(figures: &TrafficFigures) -> Vec<RefusalCount> {
    let mut counts: Vec<RefusalCount> = Vec::new();
    for (figure, kind) in REFUSALS {
        let count = figures.get(figure);
        match counts.iter_mut().find(|known| known.kind == kind) {
            Some(known) => known.count += count,
            None => counts.push(RefusalCount { kind, count }),
        }
    }
    counts.retain(|refusal| refusal.count > 0);
    counts
}
