//! What a balancer knows of the targets, all of it from their agents' reports.
//!
//! A report replaces the one before. A report that was delayed and overtaken is recognised by its
//! sequence number, within one start of the agent. Two starts have no order, since no clock that
//! survives a restart can be trusted to go forward: the start that goes on reporting is the one that
//! lives. Targets live in an arena and are named by a small key, which stays valid for as long as
//! flows refer to it.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::{DomainId, GroupId, TargetId};
use crate::members::TargetState;

/// What an agent reports of its target to balancers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// Start of the agent, a number that no other start has.
    pub incarnation: u64,
    /// Grows with every report of one start.
    pub sequence: u64,
    /// Address at which the agent takes packets.
    pub agent: SocketAddr,
    /// The label that pools select by.
    pub group: GroupId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// What the target can take. [`TargetState::Starting`] means that it has not announced itself
    /// since the agent was started.
    pub state: TargetState,
    /// The agent is being stopped, and its target may go on without it for a while.
    pub is_stopping: bool,
    /// Requests that the target can work on at once.
    pub slots: u16,
    /// How much longer the target stays slow after its start.
    pub cold_left: Millis,
    /// Flows that the target holds.
    pub flows: u32,
    /// Requests in progress and waiting now.
    pub busy: u32,
    /// Requests in progress and waiting over the last seconds, in thousandths.
    pub mean_busy_milli: u32,
    /// Share of its last requests that the target did not answer, in thousandths.
    pub failing_milli: u32,
    /// Time between two reports to balancers of other failure domains.
    #[serde(rename = "far_interval")]
    pub remote_interval: Millis,
}

/// The usual time between two reports to balancers of other failure domains. Times after which a silent
/// target is judged are made for it.
pub const REMOTE_REPORT_INTERVAL: Millis = Millis(500);

/// Position of a target in [`Fleet`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct TargetKey(u32);

/// One target as its agent reported it last.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) report: Report,
    /// When the last report came, or a pause of this process ended.
    pub(super) seen: Millis,
    /// When the last report came.
    pub(super) reported: Millis,
    /// How many times the usual patience its silence is met with, in thousandths. An agent with many
    /// balancers in other failure domains reports there less often.
    patience_milli: u64,
    /// Flows given to the target since then.
    pub(super) given: u32,
    /// When the target is expected to have room, as it said since then when it gave a flow back.
    pub(super) room_at: Option<Millis>,
    /// Another start of the agent, and the last report of it.
    other_start: Option<(u64, u64)>,
    /// The target was taken to be lost since then.
    is_lost: bool,
    is_forgotten: bool,
}

/// All targets that were ever reported and are not forgotten.
#[derive(Debug)]
pub(super) struct Fleet {
    /// Failure domain of this balancer.
    domain: DomainId,
    members: Vec<Member>,
    by_id: HashMap<TargetId, TargetKey>,
    /// Places of targets that are forgotten.
    free: Vec<TargetKey>,
}

impl Fleet {
    /// Knows no target, in this balancer's failure domain.
    pub(super) fn new(domain: DomainId) -> Self {
        Self {
            domain,
            members: Vec::new(),
            by_id: HashMap::new(),
            free: Vec::new(),
        }
    }

    /// Takes a report. Returns the target's key, or none if a later report came before.
    pub(super) fn on_report(&mut self, now: Millis, report: Report) -> Option<TargetKey> {
        let Some(&key) = self.by_id.get(&report.target) else {
            return Some(self.add(now, report));
        };
        let member = self.member_mut(key);
        if member.is_overtaken(&report) {
            return None;
        }
        let other_start = if member.report.incarnation == report.incarnation {
            member.other_start
        } else {
            Some((member.report.incarnation, member.report.sequence))
        };
        let mut report = report;
        // The agent alone was started again, and its target goes on as before. An address that
        // changed belongs to another machine under the same name.
        let is_same_place =
            member.report.agent == report.agent && member.report.group == report.group;
        if report.state == TargetState::Starting && is_same_place {
            report.state = member.report.state;
            report.slots = member.report.slots;
        }
        let domain = self.domain;
        *self.member_mut(key) = Member {
            other_start,
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
        members.filter(|(_, member)| !member.is_forgotten)
    }

    /// Makes room in the place of targets that were silent for `life`. No flow may refer to them.
    pub(super) fn forget_silent(&mut self, now: Millis, life: Millis) {
        for (key, member) in (0_u32..).map(TargetKey).zip(&mut self.members) {
            if !member.is_forgotten && !member.is_heard(now, life) {
                member.is_forgotten = true;
                self.by_id.remove(&member.report.target);
                self.free.push(key);
            }
        }
    }

    /// The process was paused, so that silence until now says nothing about anybody.
    pub(super) fn forgive_silence(&mut self, now: Millis) {
        for member in &mut self.members {
            member.seen = now;
        }
    }

    /// Whether at least one target is heard, and as many as are not. A process of which that is not true
    /// is more likely to be cut off than to have lost the others.
    pub(super) fn hears_most(&self, is_heard: impl Fn(&Member) -> bool) -> bool {
        let expected = self.members.iter().filter(|member| member.is_expected());
        let heard = expected.clone().filter(|member| is_heard(member));
        let (heard, expected) = (heard.count(), expected.count());
        heard > 0 && heard * 2 >= expected
    }

    /// Targets whose agents have become silent for `lost`, or for `gone` if they said that they
    /// were being stopped. Each is returned once, and none while most are silent.
    pub(super) fn take_lost(&mut self, now: Millis, lost: Millis, gone: Millis) -> Vec<TargetKey> {
        let is_due = |member: &Member| {
            let is_heard = if member.report.is_stopping {
                member.is_heard(now, gone)
            } else {
                member.is_in_touch(now, lost)
            };
            member.is_expected() && !member.is_lost && !is_heard
        };
        if !self.members.iter().any(is_due) {
            return Vec::new();
        }
        if !self.hears_most(|member| member.is_in_touch(now, lost)) {
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
        let key = if let Some(key) = self.free.pop() {
            *self.member_mut(key) = member;
            key
        } else {
            self.members.push(member);
            let at = self.members.len() - 1;
            TargetKey(u32::try_from(at).expect("fewer than 2^32 targets"))
        };
        self.by_id.insert(report.target, key);
        key
    }
}

impl Member {
    /// A target as it is seen from the failure domain `domain`.
    fn new(seen: Millis, report: Report, domain: DomainId) -> Self {
        let patience_milli = if report.domain == domain {
            1_000
        } else {
            report.remote_interval.0.max(REMOTE_REPORT_INTERVAL.0) * 1_000
                / REMOTE_REPORT_INTERVAL.0
        };
        Self {
            patience_milli,
            report,
            seen,
            reported: seen,
            given: 0,
            room_at: None,
            other_start: None,
            is_lost: false,
            is_forgotten: false,
        }
    }

    /// Whether a later report of the same start came before this one.
    fn is_overtaken(&self, report: &Report) -> bool {
        let last = if self.report.incarnation == report.incarnation {
            Some(self.report.sequence)
        } else {
            let other = self
                .other_start
                .filter(|(start, _)| *start == report.incarnation);
            other.map(|(_, sequence)| sequence)
        };
        last.is_some_and(|last| report.sequence <= last)
    }

    /// Whether reports of the target are expected: it is neither forgotten nor gone by its own word.
    fn is_expected(&self) -> bool {
        !self.is_forgotten && self.report.state != TargetState::Dead
    }

    /// Whether the last report is at most `age` old, or longer ago by as much as its reports come less
    /// often than usual.
    pub(super) const fn is_in_touch(&self, now: Millis, age: Millis) -> bool {
        self.is_heard(now, Millis(age.0 * self.patience_milli / 1_000))
    }

    /// Whether the last report is at most `age` old.
    pub(super) const fn is_heard(&self, now: Millis, age: Millis) -> bool {
        now.since(self.seen).0 <= age.0
    }
}
