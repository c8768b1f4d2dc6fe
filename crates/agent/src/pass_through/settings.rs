//! Settings of an agent in pass-through delivery.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use citronhollow_core::clock::Millis;
use citronhollow_operator::problem::Problem;
use citronhollow_operator::settings::{self, Seconds, SettingsError, Shape};
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
    /// Label of the target, by which pools select it.
    pub group: String,
    /// UDP address at which the target receives packets.
    pub target: SocketAddr,
    /// UDP address to which the target sends its packets.
    pub target_listen: SocketAddr,
    /// TCP address to which the target sends its heartbeats.
    pub heartbeat_listen: SocketAddr,
    /// TCP address that answers readiness probes.
    pub ready_listen: SocketAddr,
    /// UDP address for messages from and to balancers.
    pub peer_listen: SocketAddr,
    /// UDP address whose port is the one at which callers' machines receive packets.
    pub fabric_listen: SocketAddr,
    /// VMs with balancers to contact first. Their ports are ignored: all processes of a fleet use
    /// the port of `peer_listen`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// One or two keys. The first one signs, all of them verify.
    pub keys: Vec<Key>,
    /// Time between two heartbeats of the target, in ms.
    pub heartbeat_ms: Millis,
    /// Idle time after which a flow is dropped, in s.
    pub flow_life_s: Seconds,
    /// Minimum severity that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    String::from("info")
}

/// Bounds of `heartbeat_ms`.
const HEARTBEAT_MS: RangeInclusive<u64> = 10..=60_000;

/// Bounds of `flow_life_s`, in ms.
const FLOW_LIFE_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Description of the file: the example that ships with the program, and the secret fields.
const SHAPE: Shape = Shape {
    example: include_str!("../../../../examples/settings/agent-pass-through.json"),
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

    fn check(self) -> Result<Checked, Vec<Problem>> {
        let single = [
            settings::check_name("name", &self.name),
            settings::check_name("domain", &self.domain),
            settings::check_name("group", &self.group),
            settings::check_destination("target", self.target),
            settings::check_listen("target_listen", self.target_listen),
            settings::check_listen("heartbeat_listen", self.heartbeat_listen),
            settings::check_listen("ready_listen", self.ready_listen),
            settings::check_listen("peer_listen", self.peer_listen),
            settings::check_destination("platform", self.platform),
            settings::check_range("heartbeat_ms", self.heartbeat_ms.0, HEARTBEAT_MS),
            settings::check_duration("flow_life_s", self.flow_life_s, FLOW_LIFE_MS),
        ];
        let problems = single.into_iter().flatten().collect();
        let keys = self.keys.clone();
        let log_level = self.log_level.clone();
        Checked::new(self, problems, &keys, &log_level)
    }

    /// Addresses of the balancers on the seed VMs.
    #[must_use]
    pub fn seed_balancers(&self) -> Vec<SocketAddr> {
        let port = self.peer_listen.port();
        let peers = self
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port));
        peers.collect()
    }
}
