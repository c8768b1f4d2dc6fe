//! Settings of an agent, read from a JSON file.
//!
//! [`Settings`] is the file as written. [`Checked`] is created only by [`Settings::check`], and
//! holds the values that the check has parsed, so that no other code has to validate them again.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use citronhollow_core::clock::Millis;
use citronhollow_operator::problem::Problem;
use citronhollow_operator::settings::{self, SettingsError, Shape};
use citronhollow_peer::Key;
use serde::{Deserialize, Serialize};

/// Settings as written, not yet checked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the target that the agent runs beside.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: String,
    /// UDP address at which balancers and peers send packets.
    pub traffic_listen: SocketAddr,
    /// TCP address on loopback that receives the target's announcements.
    pub announce_listen: SocketAddr,
    /// UDP addresses of the fabric that receive packets for callers.
    pub fabric: Vec<SocketAddr>,
    /// Control addresses of some balancers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// One or two keys. The first one signs, all of them verify.
    pub keys: Vec<Key>,
    /// Largest number of flows that the agent holds.
    #[serde(default = "default_flow_limit")]
    pub flow_limit: u32,
    /// Idle time after which keepalive probes are sent to both ends of a flow, in ms.
    #[serde(default = "default_keepalive_ms")]
    pub keepalive_ms: Millis,
    /// UDP address that receives metrics. Without one, no metrics are sent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Minimum severity that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// UDP address that receives spans as JSON lines. Without one they go to standard error.
    #[serde(default)]
    pub traces: Option<SocketAddr>,
}

const fn default_flow_limit() -> u32 {
    20_000
}

const fn default_keepalive_ms() -> Millis {
    Millis::from_secs(30)
}

fn default_log_level() -> String {
    String::from("info")
}

/// Bounds of `flow_limit`.
const FLOW_LIMIT: RangeInclusive<u64> = 1..=1_000_000;

/// Bounds of `keepalive_ms`.
const KEEPALIVE_MS: RangeInclusive<u64> = 1_000..=3_600_000;

/// Description of the file: the example that ships with the program, and the secret fields.
const SHAPE: Shape = Shape {
    example: include_str!("../../../examples/settings/agent.json"),
    secrets: &["keys"],
};

/// Settings that have passed the check.
pub type Checked = settings::Checked<Settings>;

impl Settings {
    /// Reads and checks the file at `path`, `-` for standard input.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that lists every problem.
    pub fn load(path: &str) -> Result<Checked, SettingsError> {
        settings::load(path, SHAPE, Self::check)
    }

    /// Parses and checks the text of a file. `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that lists every problem.
    pub fn parse(path: &str, text: &str) -> Result<Checked, SettingsError> {
        settings::parse(path, text, SHAPE, Self::check)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Every value that is out of range.
    pub fn check(self) -> Result<Checked, Vec<Problem>> {
        let problems = self.range_problems();
        let keys = self.keys.clone();
        let log_level = self.log_level.clone();
        Checked::new(self, problems, &keys, &log_level)
    }

    fn range_problems(&self) -> Vec<Problem> {
        let single = [
            settings::check_name("name", &self.name),
            settings::check_name("domain", &self.domain),
            settings::check_listen("traffic_listen", self.traffic_listen),
            settings::check_loopback("announce_listen", self.announce_listen),
            settings::check_range("flow_limit", u64::from(self.flow_limit), FLOW_LIMIT),
            settings::check_range("keepalive_ms", self.keepalive_ms.0, KEEPALIVE_MS),
            settings::check_optional_destination("metrics", self.metrics),
            settings::check_optional_destination("traces", self.traces),
        ];
        let fabric = settings::check_destinations("fabric", &self.fabric, 1);
        let seeds = settings::check_destinations("seeds", &self.seeds, 1);
        let lists = fabric.into_iter().chain(seeds);
        single.into_iter().flatten().chain(lists).collect()
    }
}
