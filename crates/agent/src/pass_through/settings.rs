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
    /// The label of the target that pools select by.
    pub group: String,
    /// UDP address at which the target takes packets.
    pub target: SocketAddr,
    /// UDP address at which the target sends its packets.
    pub target_listen: SocketAddr,
    /// TCP address at which the target sends its heartbeats.
    pub heartbeat_listen: SocketAddr,
    /// TCP address that answers probes.
    pub ready_listen: SocketAddr,
    /// UDP address that balancers use.
    pub peer_listen: SocketAddr,
    /// UDP address whose port is the one at which callers' machines take packets.
    pub fabric_listen: SocketAddr,
    /// VMs with balancers to join through. Their ports are not used: the processes of one fleet
    /// listen at the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// One or two keys; the first signs.
    pub keys: Vec<Key>,
    /// Time between two heartbeats of the target.
    pub heartbeat_ms: Millis,
    /// Time after which an idle flow is forgotten.
    pub flow_life_s: Seconds,
    /// Least severe level that is logged: error, warn, info, debug or trace.
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

/// The file's shape, with the example that ships with the program.
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
    /// [`SettingsError`] with everything that is wrong.
    pub fn load(path: &str) -> Result<Checked, SettingsError> {
        settings::load(path, SHAPE, Self::check)
    }

    /// Reads and checks the text of a file; `path` is for the errors only.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with everything that is wrong.
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

    /// Addresses of the balancers that the seeds name.
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
