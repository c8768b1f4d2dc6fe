//! Queue of SYNs that wait for capacity.
//!
//! The wait is short: it only bridges the time until another flow ends. A caller that cannot be
//! served soon is refused early, so that it can retry.

use std::collections::{HashSet, VecDeque};

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::ServiceId;

use super::packet::Packet;

/// One waiting SYN.
#[derive(Debug)]
pub(super) struct Waiting<B> {
    pub(super) packet: Packet<B>,
    /// The service that owned its address when it arrived.
    pub(super) service: ServiceId,
    /// When it is refused.
    pub(super) deadline: Millis,
}

/// Waiting SYNs in the order of arrival, at most one per flow.
#[derive(Debug)]
pub(super) struct WaitQueue<B> {
    waiting: VecDeque<Waiting<B>>,
    flows: HashSet<FlowId>,
}

impl<B> WaitQueue<B> {
    pub(super) fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            flows: HashSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.flows.contains(flow)
    }

    /// Whether the first deadline has passed.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        let first = self.waiting.front();
        first.is_some_and(|first| first.deadline <= now)
    }

    pub(super) fn push(&mut self, waiting: Waiting<B>) {
        self.flows.insert(waiting.packet.flow);
        self.waiting.push_back(waiting);
    }

    pub(super) fn pop(&mut self) -> Option<Waiting<B>> {
        let waiting = self.waiting.pop_front()?;
        self.flows.remove(&waiting.packet.flow);
        Some(waiting)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) {
        if self.flows.remove(flow) {
            self.waiting.retain(|waiting| waiting.packet.flow != *flow);
        }
    }
}
