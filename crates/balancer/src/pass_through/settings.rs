//! Settings of a balancer in pass-through delivery.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use citronhollow_operator::problem::Problem;
use citronhollow_operator::settings::{self, Seconds, SettingsError, Shape};
use citronhollow_peer::Key;
use serde::{Deserialize, Serialize};

/// Settings as written, not yet checked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the balancer.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: String,
    /// UDP address that takes callers' packets.
    pub fabric_listen: SocketAddr,
    /// TCP address that answers the fabric's probes.
    pub ready_listen: SocketAddr,
    /// UDP and TCP address that agents and other balancers use.
    pub peer_listen: SocketAddr,
    /// VMs with balancers to join through. Their ports are not used: balancers of one fleet listen
    /// at the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// One or two keys; the first signs.
    pub keys: Vec<Key>,
    /// Time after which an idle flow is forgotten.
    pub flow_life_s: Seconds,
    /// Time between the signal to stop and the forced end of the process.
    pub grace_s: Seconds,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    String::from("info")
}

/// Bounds of `flow_life_s`, in ms.
const FLOW_LIFE_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Bounds of `grace_s`, in ms.
const GRACE_MS: RangeInclusive<u64> = 100..=3_600_000;

/// The file's shape, with the example that ships with the program.
const SHAPE: Shape = Shape {
    example: include_str!("../../../../examples/settings/balancer-pass-through.json"),
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
            settings::check_listen("fabric_listen", self.fabric_listen),
            settings::check_listen("ready_listen", self.ready_listen),
            settings::check_listen("peer_listen", self.peer_listen),
            settings::check_destination("platform", self.platform),
            settings::check_duration("flow_life_s", self.flow_life_s, FLOW_LIFE_MS),
            settings::check_duration("grace_s", self.grace_s, GRACE_MS),
        ];
        let problems = single.into_iter().flatten().collect();
        let keys = self.keys.clone();
        let log_level = self.log_level.clone();
        Checked::new(self, problems, &keys, &log_level)
    }

    /// Addresses of the balancers that the seeds name, without this one.
    #[must_use]
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.peer_listen.port();
        let peers = self
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port));
        peers.filter(|peer| *peer != self.peer_listen).collect()
    }
}
