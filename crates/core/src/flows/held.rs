//! The flows that this agent opened.
//!
//! A flow is half-open until the caller acknowledges the initial sequence number chosen by this
//! agent. Another agent may have answered the same SYN with a different number, so only the
//! acknowledgement decides which agent holds the flow. New half-open flows may evict older ones; an
//! established flow stays until its endpoint closes.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::flow::{FlowId, Segment};
use crate::id::TargetId;

use super::FlowLimits;
use super::connection::Connection;
use super::services::Services;
use crate::lru_map::LruMap;

/// Half-open and established flows.
#[derive(Debug)]
pub(super) struct Held {
    half_open: LruMap<FlowId, Connection>,
    half_open_timeout: Millis,
    established: HashMap<FlowId, Connection>,
    /// Closed flows that had been established, used to recognize late packets.
    ended: LruMap<FlowId, Connection>,
    ended_ttl: Millis,
    busy: u32,
}

impl Held {
    pub(super) fn new(limits: &FlowLimits) -> Self {
        Self {
            half_open: LruMap::new(limits.half_open),
            half_open_timeout: limits.half_open_timeout,
            established: HashMap::new(),
            ended: LruMap::new(limits.ended),
            ended_ttl: limits.ended_ttl,
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

    /// Number of flows that are expected to send a request or are waiting for the answer to one.
    pub(super) fn busy(&self) -> u32 {
        let half_open = u32::try_from(self.half_open.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(half_open)
    }

    /// Whether the segment belongs to an endpoint held here. Updates the connection if so.
    ///
    /// A half-open flow becomes established when its endpoint's sequence number is acknowledged.
    pub(super) fn accepts(&mut self, flow: &FlowId, segment: &Segment) -> bool {
        if let Some(connection) = self.established.get_mut(flow) {
            let is_accepted = segment.is_initial_syn() || connection.is_continued_by(segment);
            if is_accepted && !segment.is_initial_syn() {
                connection.advance(segment);
            }
            return is_accepted;
        }
        let Some(connection) = self.half_open.get(flow) else {
            return false;
        };
        if connection.is_acknowledged_by(segment) && !segment.rst {
            self.establish(flow);
            return true;
        }
        segment.is_initial_syn() || connection.is_aborted_by(segment)
    }

    /// Adds a half-open flow. Returns the one that was evicted, if any.
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

    /// Sets whether a request of the flow is in progress. Returns whether that changed.
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

    /// Whether a notice to the peer that the flow is here is due. If so, records it as sent.
    ///
    /// Never due for a half-open flow, because another agent may turn out to hold it.
    pub(super) fn is_notice_due(&mut self, now: Millis, flow: &FlowId, peer: TargetId) -> bool {
        self.established
            .get_mut(flow)
            .is_some_and(|connection| connection.notice.is_due(now, peer))
    }

    /// Whether the packet belongs to a connection that has ended here.
    ///
    /// A SYN with another sequence number, or a packet with sequence numbers that are far off,
    /// belongs to a newer connection between the same addresses.
    pub(super) fn has_ended(&self, flow: &FlowId, segment: &Segment) -> bool {
        self.ended.get(flow).is_some_and(|connection| {
            if segment.is_initial_syn() {
                connection.is_opened_by(segment)
            } else {
                connection.is_continued_by(segment)
            }
        })
    }

    /// Number of ended flows that are remembered.
    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    /// Removes a flow. An unfinished handshake is not remembered as ended, because the caller may
    /// retransmit its SYN and still want the connection.
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

    /// Flows whose address now belongs to another service than the one they were opened for.
    ///
    /// Flows whose address belongs to no service are not included. The result is sorted, so that
    /// decisions are reproducible for a given seed.
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

    /// Forgets ended flows older than their TTL.
    pub(super) fn forget_ended(&mut self, now: Millis) {
        while self.ended.pop_expired(now, self.ended_ttl).is_some() {}
    }

    /// Removes and returns a half-open flow that has timed out.
    pub(super) fn pop_timed_out(&mut self, now: Millis) -> Option<FlowId> {
        let timed_out = self.half_open.pop_expired(now, self.half_open_timeout);
        timed_out.map(|(flow, _)| flow)
    }
}
