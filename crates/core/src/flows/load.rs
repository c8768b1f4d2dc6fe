//! What the agents of a pool tell one another about their load.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::TargetId;

/// True load of a target as its own agent sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReport {
    /// Target of the sender.
    pub sender: TargetId,
    /// Start of the sender that the report belongs to.
    pub incarnation: u64,
    /// Grows with every report, so that a late one is ignored.
    pub sequence: u64,
    /// Flows held.
    pub open: u32,
    /// Flows with a request that the target has not answered, and half-open ones.
    pub busy: u32,
    /// Flows that wait in the queue.
    pub queued: u32,
    /// Requests that the target can work on at once, ramped after a cold start, in thousandths.
    pub milli_slots: u32,
    /// Whether the sender takes new flows.
    pub takes_new: bool,
    /// Connects to the target that failed lately, in thousandths of all.
    pub milli_failures: u32,
}

impl LoadReport {
    /// Order of two reports of one sender, the later one greater.
    #[must_use]
    pub const fn version(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Requests in progress and waiting, in thousandths.
    fn requests_milli(&self) -> u64 {
        (u64::from(self.busy) + u64::from(self.queued)) * REQUEST_MILLI
    }
}

/// A report with envelope, tag, UDP and IP headers, in bytes.
pub const REPORT_BYTES: u64 = 96;
/// What an agent may spend on reports, in bytes a second.
pub const REPORT_BYTES_PER_S: u64 = 2_800;
/// Shortest and longest time between two reports.
pub const REPORT_INTERVALS: (Millis, Millis) = (Millis(50), Millis(1_500));

/// Time between two reports to this many peers. It grows with them, so that the bytes do not.
#[must_use]
pub fn report_interval(peers: usize) -> Millis {
    let bytes = REPORT_BYTES * peers as u64;
    let interval = Millis(bytes * 1_000 / REPORT_BYTES_PER_S);
    interval.clamp(REPORT_INTERVALS.0, REPORT_INTERVALS.1)
}

/// Peers that get one report. In a larger pool each report goes to other peers than the last.
#[must_use]
pub fn peers_per_report(peers: usize) -> usize {
    let affordable = REPORT_BYTES_PER_S * REPORT_INTERVALS.1.0 / 1_000 / REPORT_BYTES;
    usize::try_from(affordable).map_or(peers, |affordable| peers.min(affordable))
}

/// Work of one request, in thousandths of a request.
const REQUEST_MILLI: u64 = 1_000;
/// Work that an open flow is expected to bring besides its requests in progress.
const OPEN_FLOW_MILLI: u64 = 125;
/// Random part of a score. It keeps several agents from choosing the same peer.
pub(super) const JITTER_MILLI: u64 = 500;
/// Share of failed connects above which a target gets new flows only if all others fail too.
const MAX_FAILURES_MILLI: u32 = 500;
/// Slots of a target that never reported, as a part of what it announced.
const UNREPORTED_SLOTS_MILLI: u64 = 250;

/// What is expected of a peer whose report is old.
///
/// A report says less the older it is: requests end and others begin meanwhile, and after a few
/// times the length of a request the peer is as likely as any to be busy. Its requests are
/// therefore taken to approach the mean of all targets. Without that, every agent follows the same
/// old report and the peer that was idle is flooded.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    /// Requests in progress at all targets, in thousandths of their slots.
    pub(super) mean_milli: u64,
    /// Time that a request keeps a slot.
    pub(super) request_time: Millis,
    /// Age above which a report counts as stale.
    pub(super) max_age: Millis,
}

impl Outlook {
    /// Requests to expect, in thousandths, at a peer that reported `told_milli` some time ago.
    fn requests_milli(&self, told_milli: u64, milli_slots: u64, age: Millis) -> u64 {
        let expected = self.mean_milli * milli_slots / 1_000;
        let span = (self.request_time.0 + age.0).max(1);
        (told_milli * self.request_time.0 + expected * age.0) / span
    }
}

/// Requests in progress at all targets that reported, in thousandths of their slots.
pub(super) fn mean_milli<'a>(reports: impl Iterator<Item = &'a LoadReport>) -> u64 {
    let (requests, slots) = reports.fold((0, 0), |(requests, slots), report| {
        (
            requests + report.requests_milli(),
            slots + u64::from(report.milli_slots),
        )
    });
    requests * 1_000 / slots.max(1)
}

/// Load of one target, for comparison with others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    work_milli: u64,
    milli_slots: u64,
    is_failing: bool,
}

impl Estimate {
    /// A target that announced its slots but never its load counts as full.
    pub(super) fn unreported(slots: u16) -> Self {
        Self {
            work_milli: 0,
            milli_slots: u64::from(slots) * UNREPORTED_SLOTS_MILLI,
            is_failing: false,
        }
    }

    /// A target that reported some time ago.
    pub(super) fn aged(report: &LoadReport, age: Millis, outlook: &Outlook) -> Self {
        let now = Self::from(report);
        let told = report.requests_milli();
        let expected = outlook.requests_milli(told, now.milli_slots, age);
        Self {
            work_milli: now.work_milli - told + expected,
            ..now
        }
    }

    /// At least one request for every slot.
    pub(super) fn or_full(self) -> Self {
        Self {
            work_milli: self.work_milli.max(self.milli_slots),
            ..self
        }
    }

    /// With this many more requests.
    pub(super) fn with_requests(self, requests: u32) -> Self {
        Self {
            work_milli: self.work_milli + u64::from(requests) * REQUEST_MILLI,
            ..self
        }
    }

    /// What a new flow would find. The lowest score wins; failing targets come last.
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
