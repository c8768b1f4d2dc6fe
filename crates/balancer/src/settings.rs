//! Settings of a balancer.
//!
//! [`Settings`] is the JSON file as read. [`Checked`] can only be created by [`Settings::check`]
//! and holds the values that the check has parsed, so that later code need not check them again.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use citronhollow_operator::problem::Problem;
use citronhollow_operator::settings::{self, SettingsError, Shape};
use citronhollow_peer::Key;
use serde::{Deserialize, Serialize};

/// Settings as read from the file, not yet checked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the balancer.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: String,
    /// UDP address to which the fabric delivers callers' packets.
    pub fabric_listen: SocketAddr,
    /// UDP and TCP address for agents and other balancers.
    pub control_listen: SocketAddr,
    /// TCP address of the operator's HTTP server.
    pub operator_listen: SocketAddr,
    /// Control addresses of some balancers, to join through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object service.
    pub platform: SocketAddr,
    /// One or two keys; the first signs.
    pub keys: Vec<Key>,
    /// Token that operators present for requests that change something.
    pub operator_token: String,
    /// Number of threads that forward packets.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// UDP address that receives metrics, `None` to send no metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// One in this many new flows is traced, zero for none.
    #[serde(default)]
    pub trace_one_in: u32,
    /// UDP address that receives spans as JSON lines, `None` for standard error.
    #[serde(default)]
    pub traces: Option<SocketAddr>,
}

const fn default_traffic_threads() -> u16 {
    1
}

fn default_log_level() -> String {
    String::from("info")
}

/// Bounds of `traffic_threads`.
const TRAFFIC_THREADS: RangeInclusive<u64> = 1..=64;

/// Shape of the file, with the example that ships with the program.
const SHAPE: Shape = Shape {
    example: include_str!("../../../examples/settings/balancer.json"),
    secrets: &["keys", "operator_token"],
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

    /// Parses and checks the text of a file; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with everything that is wrong.
    pub fn parse(path: &str, text: &str) -> Result<Checked, SettingsError> {
        settings::parse(path, text, SHAPE, Self::check)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Everything that is out of range.
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
            settings::check_listen("fabric_listen", self.fabric_listen),
            settings::check_listen("control_listen", self.control_listen),
            settings::check_distinct(
                "control_listen",
                self.control_listen,
                "fabric_listen",
                self.fabric_listen,
            ),
            settings::check_distinct(
                "operator_listen",
                self.operator_listen,
                "control_listen",
                self.control_listen,
            ),
            settings::check_destination("platform", self.platform),
            settings::check_token("operator_token", &self.operator_token),
            settings::check_range(
                "traffic_threads",
                u64::from(self.traffic_threads),
                TRAFFIC_THREADS,
            ),
            settings::check_optional_destination("metrics", self.metrics),
            settings::check_optional_destination("traces", self.traces),
        ];
        let seeds = settings::check_destinations("seeds", &self.seeds, 0);
        single.into_iter().flatten().chain(seeds).collect()
    }
}
