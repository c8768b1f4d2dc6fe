//! Measurements on a simulated fleet.

use std::fmt;

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::GossipNode;
use citronhollow_core::members::{HEARTBEAT, REPORTERS, SUSPECT_AFTER};

use super::fleet::{Fleet, Traffic, target};

const SEED: u64 = 0x7370_7265_6164;

/// Sizes of a heartbeat and its reply, in bytes, including IP and UDP headers.
const HEARTBEAT_BYTES: u64 = 104;
const REPLY_BYTES: u64 = 62;

/// Timeout after which dissemination counts as failed.
const LIMIT: Millis = Millis::from_secs(120);

/// Rate of changes in the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Interval between changes of targets, in milliseconds.
    pub targets_ms: u64,
    /// Interval between revisions, in milliseconds.
    pub revisions_ms: u64,
}

impl Load {
    /// 1,700 replaced targets per day with four changes each, and 5,600 changes of the
    /// configuration per day.
    pub const DESIGN: Self = Self {
        targets_ms: 86_400_000 / (1_700 * 4),
        revisions_ms: 86_400_000 / 5_600,
    };
}

/// Time and cost of dissemination.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time until the last balancer was reached, the maximum of several runs, or `None` if one was
    /// not reached.
    pub slowest: Option<Millis>,
    /// Mean number of messages sent per balancer.
    pub messages: u64,
    /// Mean bytes per second sent per balancer over the measured time.
    pub mean_sent: u64,
    /// Bytes per second sent by the balancer that sent the most.
    pub max_sent: u64,
    /// Bytes per second received by the balancer that received the most.
    pub max_received: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.slowest {
            Some(slowest) => write!(f, "all after {slowest}")?,
            None => write!(f, "NOT ALL within {LIMIT}")?,
        }
        write!(
            f,
            ", {} messages a node, B/s: {} sent on average, {} at most, {} received at most",
            self.messages, self.mean_sent, self.max_sent, self.max_received
        )
    }
}

/// Bytes per second of heartbeats and their replies at one balancer at the design size.
pub fn heartbeat_bytes_per_s() -> u64 {
    let per_1000_s = 19_000 * REPORTERS as u64 * 1_000_000 / 1_800 / HEARTBEAT.0;
    per_1000_s * (HEARTBEAT_BYTES + REPLY_BYTES) / 1_000
}

/// Measures the change of one target, five times.
pub fn one_target(size: usize, loss: u32) -> Outcome {
    let mut fleet = Fleet::idle(size, &[], SEED);
    fleet.loss_percent = loss;
    let mut slowest = Some(Millis::ZERO);
    let start = fleet.now;
    for number in 0..5 {
        let record = target(number, 1);
        for _ in 0..REPORTERS {
            let node = fleet.random_node();
            fleet.heartbeat(node, record);
        }
        let is_reached = |node: &GossipNode| node.view().target(Millis::ZERO, record.id).is_some();
        slowest = longest(slowest, fleet.time_until(LIMIT, is_reached));
        fleet.run(Millis::from_secs(4));
    }
    outcome(&fleet, start, slowest)
}

/// Measures a revision that comes into force, five times. Its content is pushed inline or fetched,
/// depending on its length.
pub fn one_revision(size: usize, loss: u32, content: usize) -> Outcome {
    let mut fleet = Fleet::idle(size, &[], SEED);
    fleet.loss_percent = loss;
    fleet.revision_bytes = content;
    let mut slowest = Some(Millis::ZERO);
    let start = fleet.now;
    for number in 1..6 {
        let node = fleet.random_node();
        fleet.publish(node, number);
        let is_reached = |node: &GossipNode| node.revision() >= number;
        slowest = longest(slowest, fleet.time_until(LIMIT, is_reached));
        fleet.run(Millis::from_secs(4));
    }
    outcome(&fleet, start, slowest)
}

/// Measures changes at a constant rate for a minute. Each revision must have reached every balancer
/// before the next change.
pub fn steady(size: usize, loss: u32, load: Load) -> Outcome {
    let mut fleet = Fleet::idle(size, &[], SEED);
    fleet.loss_percent = loss;
    let start = fleet.now;
    let end = start.after(Millis::from_secs(60));
    let (mut next_target, mut next_revision) = (start, start);
    let mut number = 0;
    let mut revision = 0;
    let mut slowest = Some(Millis::ZERO);
    while fleet.now < end {
        if fleet.now >= next_target {
            next_target = next_target.after(Millis(load.targets_ms));
            number += 1;
            let node = fleet.random_node();
            fleet.heartbeat(node, target(number, 1));
        }
        if fleet.now >= next_revision {
            next_revision = next_revision.after(Millis(load.revisions_ms));
            revision += 1;
            let node = fleet.random_node();
            fleet.publish(node, revision);
            let is_reached = |node: &GossipNode| node.revision() >= revision;
            slowest = longest(slowest, fleet.time_until(LIMIT, is_reached));
        }
        fleet.run(Millis(50));
    }
    outcome(&fleet, start, slowest)
}

/// Measures the loss of a rack: all its targets become silent at once, and a revision follows
/// immediately. The time is from the last heartbeat until every balancer suspects all the targets.
pub fn rack(size: usize, loss: u32, targets: u64) -> Outcome {
    let records: Vec<_> = (0..targets).map(|number| target(number, 1)).collect();
    let mut fleet = Fleet::idle(size, &records, SEED);
    fleet.loss_percent = loss;
    let start = fleet.now;
    for record in &records {
        for _ in 0..REPORTERS {
            let node = fleet.random_node();
            fleet.report(node, *record);
        }
    }
    fleet.run(SUSPECT_AFTER);
    fleet.publish(0, 1);
    let is_reached = |node: &GossipNode| {
        let suspects = node.view().counts().suspect;
        node.revision() == 1 && u64::try_from(suspects) == Ok(targets)
    };
    let slowest = fleet.time_until(LIMIT, is_reached);
    let slowest = slowest.map(|span| span.after(SUSPECT_AFTER));
    outcome(&fleet, start, slowest)
}

/// Measures the end of a network partition of one region during which both sides changed. The time
/// is from the end of the partition until both sides have all changes.
pub fn heal(size: usize, loss: u32, partition: Millis) -> Outcome {
    const REGION: usize = 1;
    let mut fleet = Fleet::idle(size, &[], SEED);
    fleet.loss_percent = loss;
    fleet.partitioned_region = Some(REGION);
    let start = fleet.now;
    let changes = partition.0 / Load::DESIGN.targets_ms;
    for number in 0..changes {
        let node = fleet.node_in(REGION, number % 6 == 0);
        fleet.heartbeat(node, target(number, 1));
        if number == changes / 2 {
            let node = fleet.node_in(REGION, false);
            fleet.publish(node, 1);
        }
        fleet.run(Millis(Load::DESIGN.targets_ms));
    }
    fleet.partitioned_region = None;
    let is_reached = |node: &GossipNode| {
        let known = node.view().targets(Millis::ZERO).count();
        node.revision() == 1 && u64::try_from(known) == Ok(changes)
    };
    let slowest = fleet.time_until(LIMIT, is_reached);
    outcome(&fleet, start, slowest)
}

fn longest(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    Some(a?.max(b?))
}

fn outcome(fleet: &Fleet, start: Millis, slowest: Option<Millis>) -> Outcome {
    let span = fleet.now.since(start).0;
    let nodes = fleet.traffic.len() as u64;
    let sum = |of: fn(&Traffic) -> u64| fleet.traffic.iter().map(of).sum::<u64>();
    let most = |of: fn(&Traffic) -> u64| fleet.traffic.iter().map(of).max().unwrap_or(0);
    Outcome {
        slowest,
        messages: sum(|it| it.messages) / nodes,
        mean_sent: sum(|it| it.sent) * 1_000 / nodes / span,
        max_sent: most(|it| it.sent) * 1_000 / span,
        max_received: most(|it| it.received) * 1_000 / span,
    }
}
