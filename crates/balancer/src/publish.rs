//! Following and publishing revisions on the control thread.
//!
//! A few balancers watch the published index at the platform; [`is_watcher`] says which, so that
//! the calls on the platform do not grow with the fleet. The others learn of a revision from them.
//! The same few are the candidates for the publisher's lease. While the platform is down, the last
//! good revision stays in force, and an answer that does not parse changes nothing.

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{LeaseTimes, PublicationTimes};
use citronhollow_platform::Client;
use tokio::sync::watch;

use crate::revisions::RevisionStore;

mod candidate;
mod follower;

/// How many balancers watch the platform.
pub const WATCHERS: usize = 3;

/// What this balancer knows of the fleet, from its own point of view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// Place of this balancer among the live ones, counted from zero.
    pub rank: usize,
    /// Lowest revision that any balancer or agent known to be alive reports.
    pub lowest_reported: u64,
}

/// Settings of following and publishing.
#[derive(Clone, Debug)]
pub struct PublishSettings {
    /// Unique for each run of a process, so that its writes can be recognised.
    pub writer: String,
    /// Longest wait of one watch.
    pub watch_wait: Millis,
    /// Time between two reads while watches fail.
    pub poll_every: Millis,
    /// Time between two ticks of the publisher.
    pub tick_every: Millis,
    /// Time that each rank waits longer than the one before it to take the lease over.
    pub takeover_delay_per_rank: Millis,
    /// Times of the lease.
    pub lease: LeaseTimes,
    /// Times of publishing.
    pub publication: PublicationTimes,
}

impl PublishSettings {
    /// The usual times for this writer.
    #[must_use]
    pub fn new(writer: String) -> Self {
        Self {
            writer,
            // A watch on a connection that went silent costs this time and the client's margin.
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

/// Follows the published revisions and takes part in publishing until `stop` turns true, then gives
/// the lease back and returns.
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
