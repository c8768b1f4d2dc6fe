//! Settings of an agent, as its JSON file gives them.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
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
    /// TCP address on loopback at which the target announces itself.
    pub announce_listen: SocketAddr,
    /// UDP addresses of the fabric that take packets for callers.
    pub fabric: Vec<SocketAddr>,
    /// Control addresses of some balancers, to join through.
    pub seeds: Vec<SocketAddr>,
    /// One or two keys; the first signs.
    pub keys: Vec<Key>,
    /// Flows that the agent holds at most.
    #[serde(default = "default_flow_limit")]
    pub flow_limit: u32,
    /// Idle time after which both ends of a flow are probed.
    #[serde(default = "default_keepalive_ms")]
    pub keepalive_ms: Millis,
    /// UDP address that takes metrics, none for no metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
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
