//! A balancer's view of the targets, built only from their agents' reports.
//!
//! A report replaces the previous one. A delayed report that was overtaken by a later one is
//! recognized by its sequence number, within one incarnation of the agent. Incarnations have no
//! order, since no clock that survives a restart can be trusted to go forward: the incarnation that
//! keeps reporting is the running one. Targets are stored in an arena and addressed by a small key,
//! which stays valid as long as flows refer to it.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::{DomainId, GroupId, TargetId};
use crate::members::TargetState;

/// An agent's report about its target, sent to balancers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// Identifies one run of the agent process, unique among its runs.
    pub incarnation: u64,
    /// Increases with every report of one incarnation.
    pub sequence: u64,
    /// Address at which the agent receives packets.
    pub agent: SocketAddr,
    /// The label by which pools select targets.
    pub group: GroupId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Whether the target accepts flows. [`TargetState::Starting`] means that it has not announced
    /// itself since the agent was started.
    pub state: TargetState,
    /// The agent is being stopped. Its target may keep running without it for a while.
    pub is_stopping: bool,
    /// Number of requests that the target can process concurrently.
    pub slots: u16,
    /// Remaining time for which the target is slower after its start.
    pub cold_left: Millis,
    /// Flows that the target holds.
    pub flows: u32,
    /// Requests currently in progress and waiting.
    pub busy: u32,
    /// Mean number of requests in progress and waiting over the last seconds, in thousandths.
    pub mean_busy_milli: u32,
    /// Share of the target's last requests that it did not answer, in thousandths.
    pub failing_milli: u32,
    /// Time between two reports to balancers in other failure domains.
    #[serde(rename = "far_interval")]
    pub remote_interval: Millis,
}

/// Usual time between two reports to balancers in other failure domains. The timeouts for silent
/// targets are designed for it.
pub const REMOTE_REPORT_INTERVAL: Millis = Millis(500);

/// Index of a target in [`Fleet`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct TargetKey(u32);

/// State of one target, from the last report of its agent.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) report: Report,
    /// When the last report arrived, or a pause of this process ended.
    pub(super) last_seen: Millis,
    /// When the last report arrived.
    pub(super) last_report: Millis,
    /// When the running incarnation of the agent reported first.
    pub(super) agent_started: Millis,
    /// Factor by which the timeouts of this target are extended, in thousandths. An agent with many
    /// balancers in other failure domains reports to them less often.
    timeout_factor_milli: u64,
    /// Flows assigned to the target since the last report.
    pub(super) assigned: u32,
    /// When the target expects to have capacity, from its last rejection of a flow since the last
    /// report.
    pub(super) capacity_at: Option<Millis>,
    /// Another incarnation of the agent, and the sequence number of its last report.
    other_incarnation: Option<(u64, u64)>,
    /// Another incarnation of the agent that has reported the target's end since the last report,
    /// and when it did so first.
    ended_by: Option<(u64, Millis)>,
    /// The target has been declared lost since the last report.
    is_lost: bool,
    is_removed: bool,
}

/// All targets that have reported and were not removed.
#[derive(Debug)]
pub(super) struct Fleet {
    /// Failure domain of this balancer.
    domain: DomainId,
    members: Vec<Member>,
    by_id: HashMap<TargetId, TargetKey>,
    /// Indices of removed targets, for reuse.
    free_keys: Vec<TargetKey>,
}

impl Fleet {
    /// Creates an empty fleet for a balancer in `domain`.
    pub(super) fn new(domain: DomainId) -> Self {
        Self {
            domain,
            members: Vec::new(),
            by_id: HashMap::new(),
            free_keys: Vec::new(),
        }
    }

    /// Processes a report. Returns the target's key, or `None` if a later report arrived before.
    pub(super) fn on_report(&mut self, now: Millis, report: Report) -> Option<TargetKey> {
        let Some(&key) = self.by_id.get(&report.target) else {
            return Some(self.add(now, report));
        };
        let member = self.member_mut(key);
        if member.is_stale(&report) {
            return None;
        }
        // It may be a late report of an earlier incarnation, and ends the flows of the target. The
        // running incarnation would report again. An agent that stops repeats its last report at
        // once, so that two late ones may arrive together.
        let is_end = report.state == TargetState::Dead && member.is_expected();
        if is_end && member.report.incarnation != report.incarnation {
            let same = member
                .ended_by
                .filter(|(incarnation, _)| *incarnation == report.incarnation);
            let (_, since) = *member
                .ended_by
                .insert(same.unwrap_or((report.incarnation, now)));
            if now.since(since) < member.report_gap_max() {
                return None;
            }
        }
        let other_incarnation = if member.report.incarnation == report.incarnation {
            member.other_incarnation
        } else {
            Some((member.report.incarnation, member.report.sequence))
        };
        let agent_started = if member.report.incarnation == report.incarnation {
            member.agent_started
        } else {
            now
        };
        let mut report = report;
        // Only the agent was restarted, and its target keeps running. A changed address belongs to
        // another machine with the same name.
        let is_same_machine =
            member.report.agent == report.agent && member.report.group == report.group;
        if report.state == TargetState::Starting && is_same_machine {
            report.state = member.report.state;
            report.slots = member.report.slots;
        }
        let domain = self.domain;
        *self.member_mut(key) = Member {
            agent_started,
            other_incarnation,
            ..Member::new(now, report, domain)
        };
        Some(key)
    }

    pub(super) fn get(&self, key: TargetKey) -> &Member {
        &self.members[key.0 as usize]
    }

    pub(super) fn member_mut(&mut self, key: TargetKey) -> &mut Member {
        &mut self.members[key.0 as usize]
    }

    pub(super) fn key_of(&self, id: TargetId) -> Option<TargetKey> {
        self.by_id.get(&id).copied()
    }

    /// Address of the target's agent.
    pub(super) fn agent(&self, key: TargetKey) -> SocketAddr {
        self.get(key).report.agent
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (TargetKey, &Member)> {
        let members = (0_u32..).map(TargetKey).zip(&self.members);
        members.filter(|(_, member)| !member.is_removed)
    }

    /// Removes targets that were silent for `ttl` and frees their indices. No flow may refer to
    /// them.
    pub(super) fn remove_inactive(&mut self, now: Millis, ttl: Millis) {
        for (key, member) in (0_u32..).map(TargetKey).zip(&mut self.members) {
            if !member.is_removed && !member.is_seen_within(now, ttl) {
                member.is_removed = true;
                self.by_id.remove(&member.report.target);
                self.free_keys.push(key);
            }
        }
    }

    /// Restarts the timeouts of all targets after a pause of this process, during which it could
    /// not receive reports.
    pub(super) fn restart_timeouts(&mut self, now: Millis) {
        for member in &mut self.members {
            member.last_seen = now;
        }
    }

    /// Whether at least one target and at least half of all targets satisfy `is_seen`. Otherwise
    /// this process is more likely to be isolated than to have lost the others.
    pub(super) fn has_quorum(&self, is_seen: impl Fn(&Member) -> bool) -> bool {
        let expected = self.members.iter().filter(|member| member.is_expected());
        let seen = expected.clone().filter(|member| is_seen(member));
        let (seen, expected) = (seen.count(), expected.count());
        seen > 0 && seen * 2 >= expected
    }

    /// Returns the targets whose agents have been silent for `lost`, or for `gone` if they
    /// announced that they were being stopped. Each target is returned once, and none while this
    /// process sees fewer than half of the targets.
    pub(super) fn take_lost(&mut self, now: Millis, lost: Millis, gone: Millis) -> Vec<TargetKey> {
        let is_due = |member: &Member| {
            let is_seen = if member.report.is_stopping {
                member.is_seen_within(now, gone)
            } else {
                member.is_seen_within_scaled(now, lost)
            };
            member.is_expected() && !member.is_lost && !is_seen
        };
        if !self.members.iter().any(is_due) {
            return Vec::new();
        }
        if !self.has_quorum(|member| member.is_seen_within_scaled(now, lost)) {
            return Vec::new();
        }
        let keys = (0_u32..).map(TargetKey).zip(&mut self.members);
        let due = keys.filter(|(_, member)| is_due(member));
        due.map(|(key, member)| {
            member.is_lost = true;
            key
        })
        .collect()
    }

    fn add(&mut self, now: Millis, report: Report) -> TargetKey {
        let member = Member::new(now, report, self.domain);
        let key = if let Some(key) = self.free_keys.pop() {
            *self.member_mut(key) = member;
            key
        } else {
            self.members.push(member);
            let index = self.members.len() - 1;
            TargetKey(u32::try_from(index).expect("fewer than 2^32 targets"))
        };
        self.by_id.insert(report.target, key);
        key
    }
}

impl Member {
    /// Creates the state of a target as seen from failure domain `domain`.
    fn new(last_seen: Millis, report: Report, domain: DomainId) -> Self {
        let timeout_factor_milli = if report.domain == domain {
            1_000
        } else {
            report.remote_interval.0.max(REMOTE_REPORT_INTERVAL.0) * 1_000
                / REMOTE_REPORT_INTERVAL.0
        };
        Self {
            timeout_factor_milli,
            report,
            last_seen,
            last_report: last_seen,
            agent_started: last_seen,
            assigned: 0,
            capacity_at: None,
            other_incarnation: None,
            ended_by: None,
            is_lost: false,
            is_removed: false,
        }
    }

    /// Whether a later report of the same incarnation arrived before this one.
    fn is_stale(&self, report: &Report) -> bool {
        let last = if self.report.incarnation == report.incarnation {
            Some(self.report.sequence)
        } else {
            let other = self
                .other_incarnation
                .filter(|(incarnation, _)| *incarnation == report.incarnation);
            other.map(|(_, sequence)| sequence)
        };
        last.is_some_and(|last| report.sequence <= last)
    }

    /// Whether reports of the target are expected: it is neither removed nor reported dead.
    fn is_expected(&self) -> bool {
        !self.is_removed && self.report.state != TargetState::Dead
    }

    /// Whether the agent has announced that it stops within `age`, while its target goes on. A
    /// machine that is taken away may stop an agent that has not heard of its target.
    pub(super) fn is_restarting(&self, now: Millis, age: Millis) -> bool {
        let is_running = matches!(
            self.report.state,
            TargetState::Ready | TargetState::Draining
        );
        self.report.is_stopping && is_running && self.is_seen_within_scaled(now, age)
    }

    /// Usual time between two reports of the running incarnation at most.
    const fn report_gap_max(&self) -> Millis {
        Millis(REMOTE_REPORT_INTERVAL.0 * self.timeout_factor_milli / 1_000)
    }

    /// Like [`Self::is_seen_within`], with `age` extended for targets that report less often than
    /// usual.
    pub(super) const fn is_seen_within_scaled(&self, now: Millis, age: Millis) -> bool {
        self.is_seen_within(now, Millis(age.0 * self.timeout_factor_milli / 1_000))
    }

    /// Whether the last report, or the end of a pause of this process, is at most `age` ago.
    pub(super) const fn is_seen_within(&self, now: Millis, age: Millis) -> bool {
        now.since(self.last_seen).0 <= age.0
    }
}
