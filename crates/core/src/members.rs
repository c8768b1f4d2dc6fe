//! Membership of targets and balancers.
//!
//! Records are soft state: they come from heartbeats, are gossiped among balancers and are rebuilt
//! within one heartbeat after a total loss. A record contains what an agent announced. A
//! [`Verdict`] is what balancers concluded from the agent's silence, and only the agent itself can
//! refute it, by a higher sequence. [`View`] merges both and is the only place that decides which
//! targets are used for routing.

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
