//! One balancer's gossip state: its view of the members, its queue of updates and its timers.
//!
//! The inputs are messages of other balancers with their times of arrival, and the outputs are
//! [`Action`]s. The content of a revision is not inspected here, because its number and length are
//! enough to decide whether it is pushed inline or fetched.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use super::action::{Action, Summary, Update};
use super::liveness::Liveness;
use super::polls::Polls;
use super::queue::{GossipQueue, NUMBER_BYTES, ROUND, Topic};
use super::repair::{
    DIGEST_EVERY, DIGEST_EVERY_IN_REPAIR, REPAIR_FOR, buckets_to_fetch, comparable_digests,
};
use super::reports::{AgentReport, BalancerReport, Reports};
use crate::clock::Millis;
use crate::hash;
use crate::id::{BalancerId, TargetId};
use crate::members::{
    BalancerRecord, DIGEST_BUCKETS, HEARTBEAT, HeartbeatOutcome, TargetRecord, TargetUpdate,
    VerdictUpdate, View,
};

/// Time after its start at which a balancer that no peer has answered treats its own view as
/// complete: within three heartbeat intervals, every agent that reports to it has done so.
pub const JOIN_TIMEOUT: Millis = Millis(3 * HEARTBEAT.0);

/// Balancers polled for their lowest revision in one tick.
const POLLS_AT_ONCE: usize = 1;

/// Interval between attempts to join through the seeds.
pub const JOIN_EVERY: Millis = Millis::from_secs(1);

/// Timeout after which an unanswered fetch may be retried.
pub const FETCH_AGAIN_AFTER: Millis = Millis::from_secs(2);

/// Maximum length of a revision's content in a push, in bytes. Longer content is fetched.
pub const INLINE_MAX: usize = 400;

/// One balancer's gossip state.
#[derive(Debug)]
pub struct GossipNode {
    me: BalancerRecord,
    seeds: Vec<SocketAddr>,
    view: View,
    queue: GossipQueue,
    liveness: Liveness,
    reports: Reports,
    polls: Polls,
    rng: SmallRng,
    revision: u64,
    has_joined: bool,
    timers: Timers,
}

/// Times at which the periodic tasks are due again or blocked tasks may run.
#[derive(Debug, Default)]
struct Timers {
    first_tick: Option<Millis>,
    round: Millis,
    compare: Millis,
    join: Millis,
    fetch_revision: Millis,
    fetch_members: Millis,
    repair_until: Millis,
}

impl GossipNode {
    /// State of a balancer that has just started, with only itself in its view.
    #[must_use]
    pub fn new(me: BalancerRecord, seeds: Vec<SocketAddr>) -> Self {
        let seed = hash::pair(me.id.0, me.incarnation);
        let seeds = seeds.into_iter().filter(|it| *it != me.control).collect();
        let mut queue = GossipQueue::new(seed);
        queue.add(Topic::Balancer(me.id));
        // The digests of all other balancers include this one, so its own must too.
        let mut view = View::new();
        view.merge_balancer(Millis::ZERO, me);
        Self {
            me,
            seeds,
            view,
            queue,
            liveness: Liveness::default(),
            reports: Reports::default(),
            polls: Polls::default(),
            rng: SmallRng::seed_from_u64(seed),
            revision: 0,
            has_joined: false,
            timers: Timers::default(),
        }
    }

    /// This balancer's own record, as announced.
    #[must_use]
    pub const fn me(&self) -> &BalancerRecord {
        &self.me
    }

    /// This process's view of all members, including this balancer.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Whether seeds to join through are configured.
    #[must_use]
    pub const fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Whether the view covers the whole fleet.
    ///
    /// The view of a process that has just started is empty, which does not mean that the fleet is
    /// empty. The view is complete once members were fetched from a peer, or after
    /// [`JOIN_TIMEOUT`], by which time every agent must have reported.
    #[must_use]
    pub fn has_fleet_view(&self, now: Millis) -> bool {
        let is_old = |first| now.since(first) >= JOIN_TIMEOUT;
        self.has_joined || self.timers.first_tick.is_some_and(is_old)
    }

    /// Highest revision that this balancer has.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Latest reports of other processes to this balancer.
    #[must_use]
    pub const fn reports(&self) -> &Reports {
        &self.reports
    }

    /// The other balancers that are not known to be leaving or gone.
    fn peers(&self) -> impl Iterator<Item = &BalancerRecord> {
        let me = self.me.id;
        let present = self.view.balancers().present();
        present.filter(move |peer| peer.id != me)
    }

    /// Lowest revision among all processes that are not known to be gone. For decisions that
    /// require that no process is behind.
    #[must_use]
    pub fn lowest_of_all(&self) -> u64 {
        let peers = self.peers().map(|peer| peer.id);
        self.reports.lowest_of(self.revision, peers)
    }

    /// Lowest revision among the balancers that answer, including this one, and their agents.
    #[must_use]
    pub fn lowest_of_answering(&self) -> u64 {
        let peers = self.reachable_peers();
        let answering = peers
            .iter()
            .map(|peer| peer.id)
            .filter(|id| self.polls.is_answering(*id));
        self.reports.lowest_of(self.revision, answering)
    }

    /// Lowest revision of this balancer and of the agents that report to it.
    #[must_use]
    pub fn lowest_here(&self) -> u64 {
        self.reports.lowest_here(self.revision)
    }

    /// Polls some of the balancers that are behind for their lowest revision.
    pub fn poll_lowest(&mut self, now: Millis, out: &mut Vec<Action>) {
        let reports = &self.reports;
        let revision = self.revision;
        let is_behind = |peer: &&BalancerRecord| {
            let report = reports.balancer(peer.id);
            report.is_none_or(|report| report.lowest < revision)
        };
        let behind = self.peers().filter(is_behind).copied();
        let behind: Vec<_> = behind.collect();
        let due = self.polls.due(now, behind.into_iter(), POLLS_AT_ONCE);
        let asks = due
            .into_iter()
            .map(|peer| Action::AskLowest { to: peer.control });
        out.extend(asks);
    }

    /// Handles a balancer's answer to a poll.
    pub fn on_lowest(&mut self, now: Millis, id: BalancerId, report: BalancerReport) {
        self.view.on_contact(now);
        self.liveness.on_answer(id);
        self.polls.on_answer(id);
        self.reports.on_balancer(id, report);
    }

    /// Whether a balancer has not left too many probes unanswered.
    #[must_use]
    pub fn is_reachable(&self, id: BalancerId) -> bool {
        self.liveness.is_reachable(id)
    }

    /// Queues a revision that came into force in this process, with `length` bytes of content.
    pub fn on_revision(&mut self, number: u64, length: usize) {
        if number <= self.revision {
            return;
        }
        self.revision = number;
        let content = if length <= INLINE_MAX { length } else { 0 };
        self.queue.add(Topic::Revision(content + NUMBER_BYTES));
    }

    /// Announces that this balancer is about to exit.
    pub fn leave(&mut self, now: Millis) {
        self.me.leaving = true;
        self.announce_self(now);
    }

    /// Handles an agent's heartbeat. `is_last` is set if the agent reports to another balancer from
    /// now on.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        record: TargetRecord,
        is_last: bool,
    ) -> HeartbeatOutcome {
        let outcome = self.view.on_heartbeat(now, record, is_last);
        if is_last {
            self.reports.on_agent_left(record.id);
        }
        if outcome.is_update {
            self.queue.add(Topic::Target(record.id));
        }
        outcome
    }

    /// Records what an agent's heartbeat reports in addition to its record.
    pub fn on_report(&mut self, id: TargetId, report: AgentReport) {
        self.reports.on_agent(id, report);
    }

    /// Merges a push, and queues what was new for pushing on.
    pub fn on_update(
        &mut self,
        now: Millis,
        from: SocketAddr,
        update: &Update,
        out: &mut Vec<Action>,
    ) {
        self.view.on_contact(now);
        for target in &update.targets {
            self.merge_target(now, *target);
        }
        for verdict in &update.verdicts {
            if self.view.merge_verdict(now, verdict) {
                self.queue.add(Topic::Verdict(verdict.id));
            }
        }
        for balancer in &update.balancers {
            self.merge_balancer(now, *balancer);
        }
        self.fetch_revision(now, update.revision, from, out);
    }

    /// Compares a peer's summary with the own state, replies if requested, and fetches what is
    /// newer.
    pub fn on_summary(&mut self, now: Millis, summary: &Summary, out: &mut Vec<Action>) {
        self.view.on_contact(now);
        let from = summary.sender.control;
        self.liveness.on_answer(summary.sender.id);
        self.merge_balancer(now, summary.sender);
        let report = BalancerReport {
            revision: summary.revision,
            lowest: summary.lowest_revision,
            at: now,
        };
        self.reports.on_balancer(summary.sender.id, report);
        if summary.wants_answer {
            out.push(self.compare(now, from, false));
        }
        self.fetch_revision(now, summary.revision, from, out);
        self.fetch_members(now, &summary.members, from, out);
    }

    /// Merges fetched members and pushes on those that were new, except while joining: then the
    /// rest of the fleet already has them.
    pub fn on_members(
        &mut self,
        now: Millis,
        targets: &[TargetUpdate],
        balancers: &[BalancerRecord],
    ) {
        self.timers.fetch_members = now;
        if self.has_joined {
            for target in targets {
                self.merge_target(now, *target);
            }
            for balancer in balancers {
                self.merge_balancer(now, *balancer);
            }
            return;
        }
        self.has_joined = true;
        for target in targets {
            self.view.merge_target(now, *target);
        }
        for balancer in balancers.iter().filter(|it| it.id != self.me.id) {
            self.view.merge_balancer(now, *balancer);
        }
        self.announce_self(now);
    }

    /// Records that the fetch of a revision ended, so that another may start.
    pub const fn on_revision_fetched(&mut self, now: Millis) {
        self.timers.fetch_revision = now;
    }

    /// Runs the tasks that are due, and returns the verdicts that were reached.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Action>) -> Vec<TargetUpdate> {
        self.timers.first_tick.get_or_insert(now);
        let verdicts = self.view.on_tick(now);
        self.reports.forget_gone(now, &self.view);
        let balancers = self.view.balancers();
        self.polls
            .retain(|id| balancers.get(id).is_some_and(|record| !record.leaving));
        for update in &verdicts {
            self.queue.add(Topic::Verdict(update.record.id));
        }
        if now >= self.timers.round {
            self.timers.round = now.after(ROUND);
            self.push(now, out);
        }
        if now >= self.timers.compare {
            let every = self.compare_every(now);
            let jitter = self.rng.random_range(0..every.0 / 2);
            self.timers.compare = now.after(Millis(every.0 * 3 / 4 + jitter));
            self.probe(now, out);
        }
        self.retry_probes(now, out);
        self.join(now, out);
        verdicts
    }

    fn compare_every(&self, now: Millis) -> Millis {
        let is_in_repair = self.timers.repair_until > now || self.liveness.has_silent();
        if is_in_repair {
            DIGEST_EVERY_IN_REPAIR
        } else {
            DIGEST_EVERY
        }
    }

    fn push(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let peers = self.reachable_peers();
        let Some(push) = self.queue.round(now, &self.me, &peers) else {
            return;
        };
        let update = self.update(now, &push.topics);
        out.extend(push.to.iter().map(|peer| Action::Push {
            to: peer.control,
            update: update.clone(),
        }));
    }

    fn update(&self, now: Millis, topics: &[Topic]) -> Update {
        let mut update = Update {
            revision: self.revision,
            ..Update::default()
        };
        for topic in topics {
            match topic {
                Topic::Target(id) => update.targets.extend(self.view.target(now, *id)),
                Topic::Verdict(id) => {
                    let target = self.view.target(now, *id);
                    update.verdicts.extend(target.map(VerdictUpdate::from));
                }
                Topic::Balancer(id) => update.balancers.extend(self.view.balancers().get(*id)),
                Topic::Revision(bytes) => update.carries_revision = *bytes > NUMBER_BYTES,
            }
        }
        update
    }

    /// Sends a summary to a peer and requests one: with probability one half to a silent peer that
    /// is due for a probe, otherwise to a random reachable peer.
    fn probe(&mut self, now: Millis, out: &mut Vec<Action>) {
        let silent = self.liveness.next_probe(now, self.view.balancers());
        let silent = silent.filter(|_| self.rng.random());
        let peer = silent.or_else(|| {
            let reachable = self.reachable_peers();
            reachable.into_iter().choose(&mut self.rng)
        });
        if let Some(peer) = peer {
            self.liveness.on_probe(now, peer);
            out.push(self.compare(now, peer.control, true));
        }
    }

    fn retry_probes(&mut self, now: Millis, out: &mut Vec<Action>) {
        for peer in self.liveness.retries(now) {
            out.push(self.compare(now, peer.control, true));
        }
        for gone in self.liveness.gone(now) {
            let leaving = true;
            self.merge_balancer(now, BalancerRecord { leaving, ..gone });
        }
    }

    /// Sends summaries to the seeds until members have been fetched.
    fn join(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.has_joined || now < self.timers.join {
            return;
        }
        self.timers.join = now.after(JOIN_EVERY);
        for seed in self.seeds.clone() {
            out.push(self.compare(now, seed, true));
        }
    }

    /// The other balancers that have not left too many probes unanswered.
    #[must_use]
    pub fn reachable_peers(&self) -> Vec<BalancerRecord> {
        self.view
            .balancers()
            .present()
            .filter(|peer| peer.id != self.me.id && self.liveness.is_reachable(peer.id))
            .copied()
            .collect()
    }

    fn merge_target(&mut self, now: Millis, update: TargetUpdate) {
        if self.view.merge_target(now, update) {
            self.queue.add(Topic::Target(update.record.id));
        }
    }

    /// Merges a balancer's record. A record of this balancer from a peer is not merged, but refuted
    /// if it is wrong.
    fn merge_balancer(&mut self, now: Millis, record: BalancerRecord) {
        if record.id == self.me.id {
            self.refute(now, &record);
        } else if self.view.merge_balancer(now, record) {
            self.queue.add(Topic::Balancer(record.id));
        }
    }

    fn refute(&mut self, now: Millis, record: &BalancerRecord) {
        let mine = (self.me.incarnation, self.me.sequence);
        let theirs = (record.incarnation, record.sequence);
        let is_contradicted = theirs == mine && record.leaving != self.me.leaving;
        if theirs > mine || is_contradicted {
            self.me.incarnation = record.incarnation;
            self.me.sequence = record.sequence;
            self.announce_self(now);
        }
    }

    /// Raises the sequence, which makes the own record newer than any other, and announces it.
    fn announce_self(&mut self, now: Millis) {
        self.me.sequence += 1;
        self.view.merge_balancer(now, self.me);
        self.queue.add(Topic::Balancer(self.me.id));
    }

    fn compare(&self, now: Millis, to: SocketAddr, wants_answer: bool) -> Action {
        let summary = Summary {
            sender: self.me,
            revision: self.revision,
            lowest_revision: self.lowest_here(),
            members: comparable_digests(&self.view, now),
            wants_answer,
        };
        Action::Compare { to, summary }
    }

    fn fetch_revision(
        &mut self,
        now: Millis,
        theirs: u64,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if theirs > self.revision && now >= self.timers.fetch_revision {
            self.timers.fetch_revision = now.after(FETCH_AGAIN_AFTER);
            out.push(Action::FetchRevision { from });
        }
    }

    fn fetch_members(
        &mut self,
        now: Millis,
        theirs: &[u64],
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if now < self.timers.fetch_members {
            return;
        }
        let buckets = if self.has_joined {
            buckets_to_fetch(&self.view, now, theirs, &mut self.rng)
        } else {
            (0..DIGEST_BUCKETS).collect()
        };
        if !buckets.is_empty() {
            self.timers.fetch_members = now.after(FETCH_AGAIN_AFTER);
            self.timers.repair_until = now.after(REPAIR_FOR);
            out.push(Action::FetchMembers { from, buckets });
        }
    }
}
