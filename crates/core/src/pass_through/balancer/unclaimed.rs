//! Flows that no known target holds.
//!
//! The denials of all known targets do not prove that a flow is lost, because an agent may have
//! started without learning of this balancer. A flow is therefore reset only after the platform has
//! listed the targets again: the list is read after the search has ended, and each listed target
//! either was asked or did not answer any message for the settle time. Without such a list the
//! flow's packet is dropped, and the caller's next copy starts another search.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::TargetId;
use crate::members::TargetState;

use super::super::packet::{DropReason, Reset, ResetReason};
use super::ongoing::{GONE_AFTER, LOST_AFTER};
use super::{Balancer, BalancerAction, SETTLE_TIME, SILENT_AFTER, drop_packet};

/// Time to wait for a list after a search. The caller's next packet starts another search.
const LIST_TIMEOUT: Millis = Millis(2_000);

/// Time after which a list is requested again if it was not received.
const REQUEST_AGAIN: Millis = Millis(1_000);

/// A flow that no known target holds.
#[derive(Clone, Copy, Debug)]
struct Unclaimed {
    /// When the search ended.
    since: Millis,
    /// Sequence number at which the caller accepts a RST.
    seq: u32,
}

/// Listed target that has not reported to this balancer.
#[derive(Clone, Copy, Debug)]
struct Unreported {
    agent: SocketAddr,
    listed_since: Millis,
}

/// The platform's lists of targets, and the flows that wait for one.
#[derive(Debug)]
pub(super) struct Listing {
    unreported: HashMap<TargetId, Unreported>,
    /// A complete list was read.
    is_read: bool,
    /// Time from which the lists may have lacked a target: the start of this process, or the
    /// restoration of the platform's store from a backup.
    incomplete_since: Millis,
    /// When the store was last restored from a backup.
    restored_at: Option<Millis>,
    requested_at: Option<Millis>,
    unclaimed: HashMap<FlowId, Unclaimed>,
}

impl Listing {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            unreported: HashMap::new(),
            is_read: false,
            incomplete_since: now,
            restored_at: None,
            requested_at: None,
            unclaimed: HashMap::new(),
        }
    }

    /// Handles the report of a target, which was unknown before if `is_new`.
    pub(super) fn on_report(&mut self, target: TargetId, is_new: bool) {
        self.unreported.remove(&target);
        // The target was not asked about these flows.
        if is_new {
            self.unclaimed.clear();
        }
    }

    /// Restarts the timeouts of targets that have not reported.
    pub(super) fn restart_timeouts(&mut self, now: Millis) {
        for target in self.unreported.values_mut() {
            target.listed_since = now;
        }
    }

    /// Handles evidence that a target holds the flow, or may get it with a new SYN.
    pub(super) fn on_claimed(&mut self, flow: &FlowId) {
        self.unclaimed.remove(flow);
    }

    /// Whether all targets are expected to have reported: those of a complete list have, or the
    /// settle time is over.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        let is_complete = self.is_read && self.unreported.is_empty();
        is_complete || now.since(self.incomplete_since) >= SETTLE_TIME
    }

    /// Whether each listed target has reported or had the settle time to do so.
    fn proves_loss(&self, now: Millis) -> bool {
        let is_over = |since: Millis| now.since(since) >= SETTLE_TIME;
        let mut unreported = self.unreported.values();
        self.restored_at.is_none_or(is_over)
            && unreported.all(|target| is_over(target.listed_since))
    }
}

impl<B: Clone> Balancer<B> {
    /// Sets the list of all targets and their agents, as read from the platform.
    pub fn set_listed(&mut self, now: Millis, targets: &[(TargetId, SocketAddr)]) {
        self.listing.is_read = true;
        self.update_listed(now, targets);
    }

    fn update_listed(&mut self, now: Millis, targets: &[(TargetId, SocketAddr)]) {
        let before = std::mem::take(&mut self.listing.unreported);
        for &(target, agent) in targets {
            if self.fleet.key_of(target).is_none() {
                let listed_since = before
                    .get(&target)
                    .map_or(now, |before| before.listed_since);
                let unreported = Unreported {
                    agent,
                    listed_since,
                };
                self.listing.unreported.insert(target, unreported);
            }
        }
    }

    /// Agents of listed targets that have not reported and are still expected to.
    pub fn unreported_agents(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let unreported = self.listing.unreported.values();
        let expected =
            unreported.filter(move |target| now.since(target.listed_since) < SETTLE_TIME);
        expected.map(|target| target.agent)
    }

    /// Agents that have fallen silent. They may have been restarted without learning of this
    /// balancer, whose silence is no sign that they are lost.
    pub fn silent_agents(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let silent = self.fleet.iter().filter(move |(_, member)| {
            !member.is_seen_within_scaled(now, SILENT_AFTER)
                && member.is_seen_within(now, GONE_AFTER)
        });
        silent.map(|(_, member)| member.report.agent)
    }

    /// Agents that have fallen silent and do not count as lost yet. Their targets have not ended.
    pub fn agents_in_doubt(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let in_doubt = self.fleet.iter().filter(move |(_, member)| {
            member.report.state != TargetState::Dead
                && !member.is_seen_within_scaled(now, SILENT_AFTER)
                && member.is_seen_within_scaled(now, LOST_AFTER)
        });
        in_doubt.map(|(_, member)| member.report.agent)
    }

    /// Invalidates the lists that were read before, after the platform's store was restored from a
    /// backup: agents and balancers that started just before may be missing from them, so that they
    /// are no proof that all targets are known.
    pub fn invalidate_lists(&mut self, now: Millis) {
        self.listing.is_read = false;
        self.listing.incomplete_since = now;
        self.listing.restored_at = Some(now);
    }

    /// Processes the list of all targets that [`BalancerAction::ListTargets`] requested. It resets
    /// the flows whose search had ended by `requested_at`, unless a target may be unknown.
    pub fn on_requested_list(
        &mut self,
        now: Millis,
        requested_at: Millis,
        targets: &[(TargetId, SocketAddr)],
        out: &mut Vec<BalancerAction<B>>,
    ) {
        self.detect_pause(now);
        self.update_listed(now, targets);
        let is_lost = self.listing.proves_loss(now) && self.has_quorum(now);
        let due = self
            .listing
            .unclaimed
            .extract_if(|_, unclaimed| unclaimed.since <= requested_at);
        for (flow, Unclaimed { seq, .. }) in due {
            if is_lost {
                let reason = ResetReason::Unclaimed;
                out.push(BalancerAction::Reset(Reset { flow, seq, reason }));
            } else {
                drop_packet(flow, DropReason::Unclaimed, out);
            }
        }
        self.listing.requested_at = None;
        self.request_list(now, out);
    }

    /// Handles the end of a search in which every target that was asked gave a negative answer.
    pub(super) fn on_unclaimed(
        &mut self,
        now: Millis,
        flow: FlowId,
        seq: Option<u32>,
        out: &mut Vec<BalancerAction<B>>,
    ) {
        let has_room = self.listing.unclaimed.len() < self.limits.searches;
        match seq {
            Some(seq) if has_room && self.has_quorum(now) => {
                // The first search counts, and the caller's latest acknowledgement.
                let entry = self.listing.unclaimed.entry(flow);
                let unclaimed = entry.or_insert(Unclaimed { since: now, seq });
                unclaimed.seq = seq;
                self.request_list(now, out);
            }
            _ => drop_packet(flow, DropReason::Unclaimed, out),
        }
    }

    /// Drops the flows for which no list was received in time, and requests a list for the others.
    pub(super) fn end_unclaimed(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        let ended = self
            .listing
            .unclaimed
            .extract_if(|_, unclaimed| now.since(unclaimed.since) >= LIST_TIMEOUT);
        for (flow, _) in ended {
            drop_packet(flow, DropReason::Unclaimed, out);
        }
        self.request_list(now, out);
    }

    fn request_list(&mut self, now: Millis, out: &mut Vec<BalancerAction<B>>) {
        let requested_at = self.listing.requested_at;
        let is_due = requested_at.is_none_or(|at| now.since(at) >= REQUEST_AGAIN);
        if is_due && !self.listing.unclaimed.is_empty() {
            self.listing.requested_at = Some(now);
            out.push(BalancerAction::ListTargets { requested_at: now });
        }
    }
}
