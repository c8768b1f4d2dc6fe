//! The flows that this agent opened.
//!
//! A flow is half-open until the caller acknowledges the sequence number that this agent chose.
//! Another agent may have answered the same opening packet with a number of its own, so the
//! acknowledgement, and nothing else, tells whose flow it is. Half-open flows may be pushed out by
//! newer ones; an established flow stays until its endpoint is gone.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

use super::FlowLimits;
use super::connection::Connection;
use super::services::Services;
use crate::recent::Recent;

/// Half-open and established flows.
#[derive(Debug)]
pub(super) struct Held {
    half_open: Recent<FlowId, Connection>,
    half_open_life: Millis,
    established: HashMap<FlowId, Connection>,
    /// Flows that were established. They explain packets that come late.
    ended: Recent<FlowId, Connection>,
    ended_life: Millis,
    busy: u32,
}

impl Held {
    pub(super) fn new(limits: &FlowLimits) -> Self {
        Self {
            half_open: Recent::new(limits.half_open),
            half_open_life: limits.half_open_life,
            established: HashMap::new(),
            ended: Recent::new(limits.ended),
            ended_life: limits.ended_life,
            busy: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.half_open.len() + self.established.len()
    }

    pub(super) fn half_open_len(&self) -> usize {
        self.half_open.len()
    }

    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.half_open.contains(flow) || self.established.contains_key(flow)
    }

    /// Flows that are about to bring a request or wait for the answer to one.
    pub(super) fn busy(&self) -> u32 {
        let half_open = u32::try_from(self.half_open.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(half_open)
    }

    /// Whether the segment belongs to a flow's endpoint here, which is noted.
    ///
    /// A flow becomes established by the acknowledgement of its endpoint's number.
    pub(super) fn takes(&mut self, flow: &FlowId, segment: &Segment) -> bool {
        if let Some(connection) = self.established.get_mut(flow) {
            let is_taken = segment.is_initial_syn() || connection.is_continued_by(segment);
            if is_taken && !segment.is_initial_syn() {
                connection.advance(segment);
            }
            return is_taken;
        }
        let Some(connection) = self.half_open.get(flow) else {
            return false;
        };
        if connection.is_acknowledged_by(segment) && !segment.rst {
            self.establish(flow);
            return true;
        }
        segment.is_initial_syn() || connection.is_given_up_by(segment)
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

    pub(super) fn set_isn(&mut self, flow: &FlowId, isn: u32) {
        if let Some(connection) = self.half_open.get_mut(flow) {
            connection.set_isn(isn);
        }
    }

    pub(super) fn establish(&mut self, flow: &FlowId) {
        if let Some(connection) = self.half_open.remove(flow) {
            self.established.insert(*flow, connection);
        }
    }

    /// Notes whether a request of the flow is in progress, and says whether that has changed.
    pub(super) fn set_busy(&mut self, flow: &FlowId, is_busy: bool) -> bool {
        let Some(connection) = self.established.get_mut(flow) else {
            return false;
        };
        if connection.is_busy == is_busy {
            return false;
        }
        connection.is_busy = is_busy;
        if is_busy {
            self.busy += 1;
        } else {
            self.busy -= 1;
        }
        true
    }

    /// Whether a peer should be told now that the flow is here, which counts as done.
    ///
    /// A half-open flow may turn out to be another agent's.
    pub(super) fn is_notice_due(&mut self, now: Millis, flow: &FlowId, peer: TargetId) -> bool {
        self.established
            .get_mut(flow)
            .is_some_and(|connection| connection.notice.is_due(now, peer))
    }

    /// Whether the packet belongs to a connection that has ended here.
    ///
    /// An opening packet with another number and a packet with far numbers belong to a newer
    /// connection between the same two ends.
    pub(super) fn has_ended(&self, flow: &FlowId, segment: &Segment) -> bool {
        self.ended.get(flow).is_some_and(|connection| {
            if segment.is_initial_syn() {
                connection.is_opened_by(segment)
            } else {
                connection.is_continued_by(segment)
            }
        })
    }

    /// Flows that have ended and are remembered.
    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    /// Removes a flow. Nothing is remembered of a handshake that did not finish, because the
    /// caller may repeat its opening packet and mean it.
    pub(super) fn close(&mut self, now: Millis, flow: &FlowId) {
        self.half_open.remove(flow);
        let Some(connection) = self.established.remove(flow) else {
            return;
        };
        if connection.is_busy {
            self.busy -= 1;
        }
        self.ended.insert(now, *flow, connection);
    }

    /// Flows whose address belongs to another service than the one they were opened for.
    ///
    /// An address without a service keeps its flows. They are in the order of flows, so that
    /// decisions repeat under one seed.
    pub(super) fn reassigned(&self, services: &Services) -> Vec<FlowId> {
        let is_reassigned = |flow: &FlowId, connection: &Connection| {
            let owner = services.at(flow.service);
            owner.is_some_and(|owner| services.id(owner) != connection.service)
        };
        let mut reassigned: Vec<_> = self
            .half_open
            .newest_first()
            .chain(&self.established)
            .filter(|(flow, connection)| is_reassigned(flow, connection))
            .map(|(flow, _)| *flow)
            .collect();
        reassigned.sort_unstable();
        reassigned
    }

    /// Forgets ended flows whose time is up.
    pub(super) fn forget_ended(&mut self, now: Millis) {
        while self.ended.pop_unused(now, self.ended_life).is_some() {}
    }

    /// Removes a half-open flow whose time is up.
    pub(super) fn pop_timed_out(&mut self, now: Millis) -> Option<FlowId> {
        let timed_out = self.half_open.pop_unused(now, self.half_open_life);
        timed_out.map(|(flow, _)| flow)
    }
}
