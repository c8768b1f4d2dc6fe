//! Bounds that the users' pages state, as their first two deployments set them.

use citronhollow_core::clock::Millis;

/// Time after the acknowledgement that a target leaves, from which it is given no new flow.
pub const DRAIN: Millis = Millis(3_000);

/// Time within which a target's announcement that it leaves is acknowledged.
pub const ACK_TIMEOUT: Millis = Millis(5_000);

/// Time after a configuration's acknowledgement, from which it is in force.
pub const PROPAGATION: Millis = Millis(3_000);

/// Time in which packets of a process that already used a newer configuration may still follow an
/// older one.
pub const DOWNGRADE: Millis = Millis(250);

/// The same for a process that was slowed down or paused.
pub const DOWNGRADE_DISTURBED: Millis = Millis(DOWNGRADE.0 * 8);

/// Time without a disturbance after which a process or the store counts as calm.
pub const STABILITY: Millis = Millis(4_000);

/// Time after the last fault, from which callers are served again.
pub const RECOVERY: Millis = Millis(12_000);

/// Time between a request to stop a process and its end by force.
pub const GRACE: Millis = Millis(6_000);

/// Time between two heartbeats of a target.
pub const HEARTBEAT: Millis = Millis(1_200);

/// Silence of an agent after which balancers take its machine for lost and reset its flows
/// (`docs/PLATFORM.md`), counted from its last report. An agent that is frozen for as long looks the
/// same.
pub const LOST: Millis = Millis(2_000);

/// Time between two reports of an agent to balancers of other failure domains, so that its last one
/// may be as old when it falls silent.
pub const REPORTS: Millis = Millis(500);
