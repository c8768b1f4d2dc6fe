//! Flows that ended in order and whose caller may not know yet.
//!
//! The last acknowledgement of a flow may be lost, and the caller then repeats its last segment.
//! An endpoint kept for that would cost its buffers for seconds, but the answer follows from the
//! repeated segment alone, so only the flow's identity is remembered.

use std::collections::{HashMap, VecDeque};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;

/// Time for which repeated segments are answered.
const LINGER_TIMEOUT: Millis = Millis::from_secs(10);

/// Flows remembered. The oldest goes first.
const FLOWS_MAX: usize = 16_384;

/// The flows that ended lately.
#[derive(Debug, Default)]
pub(super) struct Lingering {
    until: HashMap<FlowId, Millis>,
    order: VecDeque<(FlowId, Millis)>,
}

impl Lingering {
    /// Remembers a flow.
    pub(super) fn add(&mut self, now: Millis, flow: FlowId) {
        let until = now.after(LINGER_TIMEOUT);
        self.until.insert(flow, until);
        self.order.push_back((flow, until));
        if self.order.len() > FLOWS_MAX {
            self.drop_oldest();
        }
    }

    /// Whether the flow ended lately.
    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.until.contains_key(flow)
    }

    /// Forgets a flow, because its caller opens a new one.
    pub(super) fn remove(&mut self, flow: &FlowId) {
        self.until.remove(flow);
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(_, until)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((flow, until)) = self.order.pop_front() else {
            return;
        };
        // The flow may have been opened and ended again since.
        if self.until.get(&flow) == Some(&until) {
            self.until.remove(&flow);
        }
    }
}
