//! Where flows that are not held here were redirected or found.
//!
//! A redirect only saves a search: one that is lost is found again by asking. The table may
//! therefore be bounded, and the redirect that was not used for longest goes first. Held flows
//! are kept elsewhere and are never pushed out by redirects.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::{ServiceId, TargetId};

use super::notice::LastNotice;
use crate::lru_map::LruMap;

/// Where a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Redirect {
    /// The peer that holds it, as far as known.
    pub(super) to: TargetId,
    /// The service that the flow was opened for.
    pub(super) service: ServiceId,
    /// The caller's opening sequence number, if the flow was redirected from here.
    pub(super) caller_isn: Option<u32>,
    /// Last notice about it.
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

    /// Redirects from the one used last to the one unused for longest.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = (&FlowId, &Redirect)> {
        self.by_flow.newest_first()
    }

    pub(super) fn insert(&mut self, now: Millis, flow: FlowId, redirect: Redirect) {
        self.by_flow.insert(now, flow, redirect);
    }

    pub(super) fn touch(&mut self, now: Millis, flow: &FlowId) {
        self.by_flow.touch(now, flow);
    }

    /// Whether a peer should be told now where the flow is, which counts as done.
    pub(super) fn is_notice_due(&mut self, now: Millis, flow: &FlowId, peer: TargetId) -> bool {
        self.by_flow
            .get_mut(flow)
            .is_some_and(|redirect| redirect.notice.is_due(now, peer))
    }

    pub(super) fn remove(&mut self, flow: &FlowId) {
        self.by_flow.remove(flow);
    }
}
