//! The platform's routers: which balancer takes a caller's packet.

use citronhollow_core::flow::FlowId;

/// Probes in a row without an answer after which a balancer is out of rotation.
const MAX_MISSED_PROBES: u32 = 2;

/// Rotation of the balancers.
#[derive(Debug)]
pub struct Router {
    misses: Vec<u32>,
}

impl Router {
    /// No balancer has answered a probe yet.
    #[must_use]
    pub fn new(balancers: usize) -> Self {
        Self {
            misses: vec![MAX_MISSED_PROBES; balancers],
        }
    }

    /// A balancer's probe came to an end.
    pub fn on_probe(&mut self, balancer: usize, is_ready: bool) {
        let misses = &mut self.misses[balancer];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Whether every balancer has answered its last probe.
    #[must_use]
    pub fn all_ready(&self) -> bool {
        self.misses.iter().all(|misses| *misses == 0)
    }

    /// The balancer that takes the flow's next packet. The flows of one that leaves the rotation move,
    /// the others stay. Where fewer than half are in rotation, all are used.
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
            // Any two odd numbers that mix the bits well.
            let salt = (*balancer as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (flow.hash() ^ salt).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 16
        };
        candidates.max_by_key(rank).unwrap_or_default()
    }
}
