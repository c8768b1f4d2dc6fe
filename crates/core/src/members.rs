//! What is known of targets and balancers.
//!
//! Records are soft state: they come from heartbeats, spread among balancers and come back within
//! one heartbeat after a total loss. A record says what an agent announced. A [`Verdict`] says
//! what balancers concluded from its silence, and only the agent itself can refute it, with a
//! higher sequence. [`View`] merges both and is the only place that decides what the routes see.

mod balancers;
mod clock;
mod damping;
mod detect;
mod digest;
mod record;
mod reporters;
mod serving;
mod update;
mod view;

pub use balancers::Balancers;
pub use clock::{AwakeClock, PAUSE_MIN};
pub use damping::{Damping, HALF_LIFE, RELEASE_BELOW, SUPPRESS_ABOVE};
pub use detect::{
    DEAD_AFTER, HEARTBEAT, HeartbeatOutcome, ISOLATED_AFTER, SUSPECT_AFTER, VERDICTS_PER_TICK,
};
pub use digest::{DIGEST_BUCKETS, Digests, bucket_of, digest_of_targets};
pub use record::{BalancerRecord, TargetRecord, TargetState};
pub use reporters::{REPORTERS, reporters_for};
pub use serving::{Counts, PANIC_DEAD_TTL, PANIC_USABLE_PERCENT};
pub use update::{TargetUpdate, Verdict, VerdictUpdate};
pub use view::{DEAD_TTL, SETTLED_AFTER, View};
