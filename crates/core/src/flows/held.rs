//! The flows that this agent opened.
//!
//! A flow is half-open until the caller acknowledges the sequence number that this agent chose.
//! Another agent may have answered the same opening packet with a number of its own, so the
//! acknowledgement, and nothing else, tells whose flow it is.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

use super::FlowLimits;
use super::notice::LastNotice;
use super::recent::Recent;

/// One connection of a caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Connection {
    busy: bool,
    notice: LastNotice,
}

/// Half-open and established flows.
#[derive(Debug)]
pub(super) struct Held {
    half_open: Recent<FlowId, Connection>,
    established: HashMap<FlowId, Connection>,
    busy: u32,
}

impl Held {
    pub(super) fn new(limits: &FlowLimits) -> Self {
        Self {
            half_open: Recent::new(limits.half_open),
            established: HashMap::new(),
            busy: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.half_open.len() + self.established.len()
    }

    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.half_open.contains(flow) || self.established.contains_key(flow)
    }

    /// Flows that are about to bring a request or wait for the answer to one.
    pub(super) fn busy(&self) -> u32 {
        let half_open = u32::try_from(self.half_open.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(half_open)
    }

    /// Whether the segment belongs to a flow's endpoint here.
    pub(super) fn takes(&self, flow: &FlowId, _segment: &Segment) -> bool {
        self.contains(flow)
    }

    /// Whether a peer should be told now that the flow is here, which counts as done.
    ///
    /// A half-open flow may turn out to be another agent's.
    pub(super) fn is_notice_due(&mut self, now: Millis, flow: &FlowId, peer: TargetId) -> bool {
        self.established
            .get_mut(flow)
            .is_some_and(|connection| connection.notice.is_due(now, peer))
    }

    /// Adds a half-open flow, and returns the one that had to go.
    pub(super) fn open(
        &mut self,
        now: Millis,
        flow: FlowId,
        connection: Connection,
    ) -> Option<FlowId> {
        let evicted = self.half_open.insert(now, flow, connection);
        evicted.map(|(flow, _)| flow)
    }

    pub(super) fn establish(&mut self, flow: &FlowId) {
        if let Some(connection) = self.half_open.remove(flow) {
            self.established.insert(*flow, connection);
        }
    }

    pub(super) fn set_busy(&mut self, flow: &FlowId, busy: bool) {
        let Some(connection) = self.established.get_mut(flow) else {
            return;
        };
        if connection.busy == busy {
            return;
        }
        connection.busy = busy;
        if busy {
            self.busy += 1;
        } else {
            self.busy -= 1;
        }
    }

    pub(super) fn close(&mut self, flow: &FlowId) {
        self.half_open.remove(flow);
        let closed = self.established.remove(flow);
        if closed.is_some_and(|connection| connection.busy) {
            self.busy -= 1;
        }
    }
}
