//! Model of the platform's routers, which choose a balancer for each caller packet.

use citronhollow_core::flow::FlowId;

/// Consecutive unanswered probes after which a balancer leaves the rotation.
const MAX_MISSED_PROBES: u32 = 2;

/// The rotation of balancers.
#[derive(Debug)]
pub struct Router {
    misses: Vec<u32>,
}

impl Router {
    /// Creates a router with no balancer in rotation.
    #[must_use]
    pub fn new(balancers: usize) -> Self {
        Self {
            misses: vec![MAX_MISSED_PROBES; balancers],
        }
    }

    /// Records the result of a probe.
    pub fn on_probe(&mut self, balancer: usize, is_ready: bool) {
        let misses = &mut self.misses[balancer];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Whether every balancer answered its last probe.
    #[must_use]
    pub fn all_ready(&self) -> bool {
        self.misses.iter().all(|misses| *misses == 0)
    }

    /// Returns the balancer for the flow's next packet. When a balancer leaves the rotation, only
    /// its flows move. If fewer than half of the balancers are in rotation, all are used.
    #[must_use]
    pub fn choose(&self, flow: &FlowId) -> usize {
        let in_rotation = self
            .misses
            .iter()
            .filter(|misses| **misses < MAX_MISSED_PROBES);
        let uses_all = in_rotation.count() * 2 < self.misses.len();
        let candidates = (0..self.misses.len()).filter(|balancer| {
            let is_in_rotation = self.misses[*balancer] < MAX_MISSED_PROBES;
            is_in_rotation || uses_all
        });
        let rank = |balancer: &usize| {
            // Rendezvous hashing; both constants are odd and mix the bits well.
            let salt = (*balancer as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (flow.hash() ^ salt).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 16
        };
        candidates.max_by_key(rank).unwrap_or_default()
    }
}
