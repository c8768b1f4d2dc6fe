//! Load reports that the agents of a pool exchange, and the scores derived from them.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::TargetId;

/// Load of a target, measured by its own agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReport {
    /// The sender's target.
    pub sender: TargetId,
    /// Identifies the sender's start.
    pub incarnation: u64,
    /// Increases with every report of a start, so that a late one is ignored.
    pub sequence: u64,
    /// Flows held.
    pub open: u32,
    /// Flows with an unanswered request, and half-open flows.
    pub busy: u32,
    /// Flows waiting in the queue.
    pub queued: u32,
    /// Requests that the target can process at once, ramped up after a cold start, in thousandths.
    pub milli_slots: u32,
    /// Whether the sender takes new flows.
    pub takes_new: bool,
    /// Recently failed connects to the target, in thousandths of all.
    pub milli_failures: u32,
}

impl LoadReport {
    /// Requests in progress and waiting, in thousandths.
    fn requests_milli(&self) -> u64 {
        (u64::from(self.busy) + u64::from(self.queued)) * REQUEST_MILLI
    }
}

/// Size of a report with envelope, tag, UDP and IP headers, in bytes.
pub const REPORT_BYTES: u64 = 96;
/// Bandwidth that an agent may use for reports, in bytes per second.
pub const REPORT_BYTES_PER_S: u64 = 2_800;
/// Shortest and longest time between two reports.
pub const REPORT_INTERVALS: (Millis, Millis) = (Millis(50), Millis(1_500));

/// Time between two reports to this many peers. Grows with their number, so that the bandwidth
/// stays constant.
#[must_use]
pub fn report_interval(peers: usize) -> Millis {
    let bytes = REPORT_BYTES * peers as u64;
    let interval = Millis(bytes * 1_000 / REPORT_BYTES_PER_S);
    interval.clamp(REPORT_INTERVALS.0, REPORT_INTERVALS.1)
}

/// Number of peers that get one report. In a larger pool, successive reports go to different peers.
#[must_use]
pub fn peers_per_report(peers: usize) -> usize {
    let affordable = REPORT_BYTES_PER_S * REPORT_INTERVALS.1.0 / 1_000 / REPORT_BYTES;
    usize::try_from(affordable).map_or(peers, |affordable| peers.min(affordable))
}

/// Work of one request, in thousandths of a request.
const REQUEST_MILLI: u64 = 1_000;
/// Work expected of an open flow in addition to its requests in progress, in thousandths of a
/// request.
const OPEN_FLOW_MILLI: u64 = 125;
/// Upper bound of the random part of a score, in thousandths of a request. It keeps several agents
/// from choosing the same peer.
pub(super) const JITTER_MILLI: u64 = 500;
/// Rate of failed connects, in thousandths, above which a target gets new flows only if all others
/// fail too.
const MAX_FAILURES_MILLI: u32 = 500;
/// Slots of a target that has never reported, in thousandths of the slots that it announced.
const UNREPORTED_SLOTS_MILLI: u64 = 250;

/// Expected load of peers with outdated reports.
///
/// A report loses meaning with age: requests end and others begin, and after a few request
/// durations the peer is as likely as any other to be busy. Its number of requests is therefore
/// assumed to approach the mean of all targets. Otherwise all agents would follow the same outdated
/// report and overload the peer that was idle.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Mean utilization: requests in progress on all targets, in thousandths of their slots.
    pub(super) mean_milli: u64,
    /// Average time that a request occupies a slot.
    pub(super) request_time: Millis,
    /// Age above which a report is stale.
    pub(super) max_age: Millis,
}

impl Forecast {
    /// Expected requests, in thousandths, on a peer that reported `reported_milli` an `age` ago.
    fn requests_milli(&self, reported_milli: u64, milli_slots: u64, age: Millis) -> u64 {
        let expected = self.mean_milli * milli_slots / 1_000;
        let span = (self.request_time.0 + age.0).max(1);
        (reported_milli * self.request_time.0 + expected * age.0) / span
    }
}

/// Mean utilization of the reported targets: requests in progress, in thousandths of their slots.
pub(super) fn mean_milli<'a>(reports: impl Iterator<Item = &'a LoadReport>) -> u64 {
    let (requests, slots) = reports.fold((0, 0), |(requests, slots), report| {
        (
            requests + report.requests_milli(),
            slots + u64::from(report.milli_slots),
        )
    });
    requests * 1_000 / slots.max(1)
}

/// Estimated load of one target, for comparison with others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    work_milli: u64,
    milli_slots: u64,
    is_failing: bool,
}

impl Estimate {
    /// A target that announced its slots but has never reported its load. Counts as saturated after
    /// [`or_saturated`](Self::or_saturated).
    pub(super) fn unreported(slots: u16) -> Self {
        Self {
            work_milli: 0,
            milli_slots: u64::from(slots) * UNREPORTED_SLOTS_MILLI,
            is_failing: false,
        }
    }

    /// A target whose report is `age` old.
    pub(super) fn aged(report: &LoadReport, age: Millis, forecast: &Forecast) -> Self {
        let now = Self::from(report);
        let reported = report.requests_milli();
        let expected = forecast.requests_milli(reported, now.milli_slots, age);
        Self {
            work_milli: now.work_milli - reported + expected,
            ..now
        }
    }

    /// Raises the load to at least one request per slot.
    pub(super) fn or_saturated(self) -> Self {
        Self {
            work_milli: self.work_milli.max(self.milli_slots),
            ..self
        }
    }

    /// Adds this many requests.
    pub(super) fn with_requests(self, requests: u32) -> Self {
        Self {
            work_milli: self.work_milli + u64::from(requests) * REQUEST_MILLI,
            ..self
        }
    }

    /// Score for a new flow. The lowest score wins; failing targets rank last.
    pub(super) fn score(self, jitter_milli: u64) -> (bool, u64) {
        let work = self.work_milli + REQUEST_MILLI + jitter_milli;
        (self.is_failing, work * 1_000 / self.milli_slots.max(1))
    }
}

impl From<&LoadReport> for Estimate {
    fn from(report: &LoadReport) -> Self {
        Self {
            work_milli: report.requests_milli() + u64::from(report.open) * OPEN_FLOW_MILLI,
            milli_slots: u64::from(report.milli_slots),
            is_failing: report.milli_failures > MAX_FAILURES_MILLI,
        }
    }
}
