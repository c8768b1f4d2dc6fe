//! Limits of the agent's tables, and its timeouts.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Limits of one agent. Every table is bounded, so that callers cannot exhaust its memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowLimits {
    /// Flows held, including half-open ones.
    pub flows: usize,
    /// Half-open flows. A new one evicts the oldest.
    pub half_open: usize,
    /// Timeout of a handshake.
    #[serde(rename = "half_open_life")]
    pub half_open_timeout: Millis,
    /// Known locations of flows at peers. The least recently used is evicted first.
    pub redirects: usize,
    /// Ended flows that are remembered. The oldest is evicted first.
    pub ended: usize,
    /// Time for which an ended flow is remembered.
    #[serde(rename = "ended_life")]
    pub ended_ttl: Millis,
    /// Concurrent searches.
    pub searches: usize,
    /// Packets buffered by all searches together.
    pub search_packets: usize,
    /// Packets buffered by one search.
    pub search_packets_per_flow: usize,
    /// Time before a peer that did not answer is asked again. Doubles with every round.
    #[serde(rename = "ask_again")]
    pub ask_backoff: Millis,
    /// Rounds of questions in one search.
    pub ask_rounds: u32,
    /// Rate of questions, and separately of notices, per second. One second's worth may be sent at
    /// once.
    pub questions_per_s: u32,
    /// Packets of unknown flows passed to a guessed holder per second. One second's worth may be
    /// passed at once.
    pub guesses_per_s: u32,
    /// Suspected flows, which no peer held, remembered until they may be reset. The oldest is
    /// evicted first.
    pub suspects: usize,
    /// Time in which a new target becomes known to all its peers. A flow that no peer holds is
    /// reset only after it, unless its holder is known to be dead.
    #[serde(rename = "peers_settle")]
    pub peers_settle_time: Millis,
    /// Time after which a peer that the balancers don't list and that answers no question is
    /// removed.
    #[serde(rename = "peer_absence")]
    pub unlisted_peer_ttl: Millis,
    /// SYNs that wait for capacity.
    pub queue: usize,
    /// Time that a SYN may wait for capacity.
    #[serde(rename = "queue_wait")]
    pub queue_timeout: Millis,
    /// Callers whose rate of new flows is tracked.
    pub callers: usize,
    /// Time in which a target that became ready is ramped up to its full slots.
    pub ramp: Millis,
    /// Age above which a load report is stale.
    pub load_max_age: Millis,
}

impl FlowLimits {
    /// Limits for an agent with 2,000 connections, with ample reserve.
    pub const DEFAULT: Self = Self {
        flows: 65_536,
        half_open: 4_096,
        half_open_timeout: Millis::from_secs(10),
        redirects: 65_536,
        ended: 16_384,
        ended_ttl: Millis::from_secs(10),
        searches: 1_024,
        search_packets: 2_048,
        search_packets_per_flow: 4,
        ask_backoff: Millis(50),
        ask_rounds: 4,
        questions_per_s: 400,
        guesses_per_s: 20_000,
        suspects: 16_384,
        peers_settle_time: Millis::from_secs(3),
        unlisted_peer_ttl: Millis::from_secs(60),
        queue: 256,
        queue_timeout: Millis(200),
        callers: 16_384,
        ramp: Millis::from_secs(30),
        load_max_age: Millis::from_secs(3),
    };
}

impl Default for FlowLimits {
    fn default() -> Self {
        Self::DEFAULT
    }
}
