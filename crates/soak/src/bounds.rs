//! Time bounds from the users' requirements, as set in their first two deployments.

use citronhollow_core::clock::Millis;

/// Time from the acknowledgement that a target drains until it must receive no new flow.
pub const DRAIN: Millis = Millis(3_000);

/// Time within which a target's drain announcement must be acknowledged.
pub const ACK_TIMEOUT: Millis = Millis(5_000);

/// Time from the acknowledgement of a configuration until it must be in force.
pub const PROPAGATION: Millis = Millis(3_000);

/// Time during which packets from a process that already used a newer configuration may still
/// follow an older one.
pub const DOWNGRADE: Millis = Millis(250);

/// [`DOWNGRADE`] for a process that was slowed down or paused.
pub const DOWNGRADE_DISTURBED: Millis = Millis(DOWNGRADE.0 * 8);

/// Time without a disturbance after which a process or the store counts as stable.
pub const STABILITY: Millis = Millis(4_000);

/// Time from the last fault until every caller must be served again.
pub const RECOVERY: Millis = Millis(12_000);

/// Time between a request to stop a process and a forced kill.
pub const GRACE_PERIOD: Millis = Millis(6_000);

/// Interval between heartbeats of a target.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1_200);

/// Time since an agent's last report after which balancers consider its VM lost and reset its
/// flows (`docs/PLATFORM.md`). An agent that is frozen for as long cannot be told from a lost one.
pub const AGENT_LOST_AFTER: Millis = Millis(2_000);

/// Interval between an agent's reports to balancers of remote failure domains. The last report may
/// already be this old when the agent stops reporting.
pub const REPORT_INTERVAL: Millis = Millis(500);
