//! Flows that have ended normally, but whose caller may still retransmit.
//!
//! If the last acknowledgement of a flow is lost, the caller retransmits its last segment. Keeping
//! the endpoint for this would keep its buffers in memory for seconds. The answer follows from the
//! retransmitted segment alone, so only the flow's identity is kept.

use std::collections::{HashMap, VecDeque};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;

/// Time for which retransmitted segments are answered.
const LINGER_TIMEOUT: Millis = Millis::from_secs(10);

/// Largest number of flows kept. The oldest is removed first.
const FLOWS_MAX: usize = 16_384;

/// Flows that ended less than [`LINGER_TIMEOUT`] ago.
#[derive(Debug, Default)]
pub(super) struct Lingering {
    until: HashMap<FlowId, Millis>,
    order: VecDeque<(FlowId, Millis)>,
}

impl Lingering {
    /// Adds a flow.
    pub(super) fn add(&mut self, now: Millis, flow: FlowId) {
        let until = now.after(LINGER_TIMEOUT);
        self.until.insert(flow, until);
        self.order.push_back((flow, until));
        if self.order.len() > FLOWS_MAX {
            self.drop_oldest();
        }
    }

    /// Whether the flow is lingering.
    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.until.contains_key(flow)
    }

    /// Removes a flow, because its caller opens a new one with the same addresses.
    pub(super) fn remove(&mut self, flow: &FlowId) {
        self.until.remove(flow);
    }

    /// Removes expired flows.
    pub(super) fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(_, until)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((flow, until)) = self.order.pop_front() else {
            return;
        };
        // The flow may have been reopened and have ended again since.
        if self.until.get(&flow) == Some(&until) {
            self.until.remove(&flow);
        }
    }
}
