//! Locations of flows that are held by peers.
//!
//! An entry only saves a search: a lost one is recovered by asking the peers. The table may
//! therefore be bounded and evicts the least recently used entry. Flows held by this agent are
//! stored elsewhere and are never evicted by entries of this table.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::{ServiceId, TargetId};

use super::notice::LastNotice;
use crate::lru_map::LruMap;

/// Last known location of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Redirect {
    /// The peer that is assumed to hold the flow.
    pub(super) to: TargetId,
    /// The service for which the flow was opened.
    pub(super) service: ServiceId,
    /// The caller's initial sequence number. `None` if the flow was not redirected by this agent.
    pub(super) caller_isn: Option<u32>,
    /// Last notice to a peer about this entry.
    pub(super) notice: LastNotice,
}

/// Redirects by flow.
#[derive(Debug)]
pub(super) struct Redirects {
    by_flow: LruMap<FlowId, Redirect>,
}

impl Redirects {
    pub(super) fn new(bound: usize) -> Self {
        Self {
            by_flow: LruMap::new(bound),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_flow.len()
    }

    pub(super) fn get(&self, flow: &FlowId) -> Option<Redirect> {
        self.by_flow.get(flow).copied()
    }

    /// Redirects from the most to the least recently used.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = (&FlowId, &Redirect)> {
        self.by_flow.newest_first()
    }

    pub(super) fn insert(&mut self, now: Millis, flow: FlowId, redirect: Redirect) {
        self.by_flow.insert(now, flow, redirect);
    }

    pub(super) fn touch(&mut self, now: Millis, flow: &FlowId) {
        self.by_flow.touch(now, flow);
    }

    /// Whether a notice to the peer about the flow's location is due. If so, records it as sent.
    pub(super) fn is_notice_due(&mut self, now: Millis, flow: &FlowId, peer: TargetId) -> bool {
        self.by_flow
            .get_mut(flow)
            .is_some_and(|redirect| redirect.notice.is_due(now, peer))
    }

    pub(super) fn remove(&mut self, flow: &FlowId) {
        self.by_flow.remove(flow);
    }
}
