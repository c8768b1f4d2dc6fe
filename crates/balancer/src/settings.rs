//! Settings of a balancer, as its JSON file gives them.

use std::net::SocketAddr;

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
    /// UDP address at which the fabric delivers callers' packets.
    pub fabric_listen: SocketAddr,
    /// UDP and TCP address for agents and other balancers.
    pub control_listen: SocketAddr,
    /// TCP address of the operator's HTTP.
    pub operator_listen: SocketAddr,
    /// Control addresses of some balancers, to join through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object service.
    pub platform: SocketAddr,
    /// One or two keys; the first signs.
    pub keys: Vec<Key>,
    /// Token that operators present for whatever changes something.
    pub operator_token: String,
    /// Threads that forward packets.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// UDP address that takes metrics, none for no metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// One packet in this many opening packets is traced, zero for none.
    #[serde(default)]
    pub trace_one_in: u32,
}

const fn default_traffic_threads() -> u16 {
    1
}

fn default_log_level() -> String {
    String::from("info")
}
