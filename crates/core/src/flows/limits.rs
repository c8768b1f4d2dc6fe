//! Bounds of the agent's tables and times.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Bounds of one agent. Every table has one, so that no caller can exhaust the memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowLimits {
    /// Flows held, half-open ones included.
    pub flows: usize,
    /// Half-open flows. The oldest goes when a new one comes.
    pub half_open: usize,
    /// Time that a handshake may take.
    pub half_open_life: Millis,
    /// Flows redirected to peers that are remembered. The one idle for longest goes first.
    pub redirects: usize,
    /// Ended flows that are remembered. The oldest goes first.
    pub ended: usize,
    /// Time that an ended flow is remembered.
    pub ended_life: Millis,
    /// Searches at once.
    pub searches: usize,
    /// Packets kept for all searches.
    pub search_packets: usize,
    /// Packets kept for one search.
    pub search_packets_per_flow: usize,
    /// Time before a peer that did not answer is asked again. Doubles every time.
    pub ask_again: Millis,
    /// Times that a peer is asked in one search.
    pub ask_rounds: u32,
    /// Questions sent a second, and as many notices. A second's worth may be sent at once.
    pub questions_per_s: u32,
    /// Packets of unknown flows passed by a guess a second. A second's worth may be passed at once.
    pub guesses_per_s: u32,
    /// Flows that nobody claimed, remembered until they may be reset. The oldest goes first.
    pub suspects: usize,
    /// Time in which a new target becomes known to all its peers. A flow that nobody claims is
    /// reset after it, unless its holder is known to be dead.
    pub peers_settle: Millis,
    /// Time after which a peer that is not listed and answers no question counts as gone.
    pub peer_absence: Millis,
    /// Opening packets that wait for room.
    pub queue: usize,
    /// Time that an opening packet waits for room.
    pub queue_wait: Millis,
    /// Callers whose rate of new flows is remembered.
    pub callers: usize,
    /// Time in which a target that became ready reaches its full slots.
    pub ramp: Millis,
    /// Age above which a load report counts as stale.
    pub load_max_age: Millis,
}

impl FlowLimits {
    /// Bounds for an agent with 2,000 connections and a good deal more.
    pub const USUAL: Self = Self {
        flows: 65_536,
        half_open: 4_096,
        half_open_life: Millis::from_secs(10),
        redirects: 65_536,
        ended: 16_384,
        ended_life: Millis::from_secs(10),
        searches: 1_024,
        search_packets: 2_048,
        search_packets_per_flow: 4,
        ask_again: Millis(50),
        ask_rounds: 4,
        questions_per_s: 400,
        guesses_per_s: 20_000,
        suspects: 16_384,
        peers_settle: Millis::from_secs(3),
        peer_absence: Millis::from_secs(60),
        queue: 256,
        queue_wait: Millis(200),
        callers: 16_384,
        ramp: Millis::from_secs(30),
        load_max_age: Millis::from_secs(3),
    };
}

impl Default for FlowLimits {
    fn default() -> Self {
        Self::USUAL
    }
}
