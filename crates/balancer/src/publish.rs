//! Watching and publishing of revisions on the control thread.
//!
//! Only the balancers chosen by [`is_watcher`] watch the published index at the platform, so that
//! the number of calls to the platform does not grow with the fleet. They spread a revision to the
//! others by gossip, and they are the candidates for the publisher's lease. While the platform is
//! unavailable, the last good revision stays in force. A response that does not parse is ignored.

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{LeaseTimes, PublicationTimes};
use citronhollow_platform::Client;
use tokio::sync::watch;

use crate::revisions::RevisionStore;

mod candidate;
mod follower;

/// Number of balancers that watch the platform.
pub const WATCHERS: usize = 3;

/// This balancer's view of the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// Rank of this balancer among the live ones, counted from zero.
    pub rank: usize,
    /// Lowest revision reported by any balancer or agent known to be alive.
    pub lowest_reported: u64,
}

/// Settings of watching and publishing.
#[derive(Clone, Debug)]
pub struct PublishSettings {
    /// Writer of the stored objects. Unique for each run of a process, so that it recognizes its
    /// own writes.
    pub writer: String,
    /// Maximum wait of one watch.
    pub watch_wait: Millis,
    /// Poll interval while watches fail.
    pub poll_every: Millis,
    /// Tick interval of the publisher.
    pub tick_every: Millis,
    /// Additional delay per rank before a candidate takes over an expired lease.
    pub takeover_delay_per_rank: Millis,
    /// Timing of the lease.
    pub lease: LeaseTimes,
    /// Limits and timing of publishing.
    pub publication: PublicationTimes,
}

impl PublishSettings {
    /// Default settings for a writer.
    #[must_use]
    pub fn new(writer: String) -> Self {
        Self {
            writer,
            // On a dead connection, a watch blocks for this time plus the client's margin.
            watch_wait: Millis::from_secs(2),
            poll_every: Millis::from_secs(1),
            tick_every: Millis(50),
            takeover_delay_per_rank: Millis::from_secs(1),
            lease: LeaseTimes::default(),
            publication: PublicationTimes::default(),
        }
    }
}

/// Whether the balancer of this rank watches the platform.
#[must_use]
pub const fn is_watcher(rank: usize) -> bool {
    rank < WATCHERS
}

/// Applies the published revisions and takes part in publishing until `stop` turns true, then
/// releases the lease and returns.
pub async fn run(
    cfg: PublishSettings,
    client: Client,
    revisions: RevisionStore,
    fleet: impl Fn() -> FleetView,
    stop: watch::Receiver<bool>,
) {
    let follow = follower::run(&cfg, &client, &revisions, &fleet);
    let publish = candidate::run(&cfg, &client, &revisions, &fleet, stop);
    tokio::select! {
        () = follow => {}
        () = publish => {}
    }
}
