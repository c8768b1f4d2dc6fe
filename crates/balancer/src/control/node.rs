//! Decisions of the control thread, without sockets or clocks.
//!
//! Messages go in with the time at which they came, and effects come out: messages to send and
//! requests to make. Everything is soft state that the next heartbeats and the next comparison of
//! digests bring back.

use std::net::SocketAddr;
use std::sync::Arc;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::hash;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{BalancerRecord, REPORTERS, View, reporters_for};
use citronhollow_core::rumour::{
    DIGEST_EVERY, ROUND, Rumours, Topic, comparable_digests, slices_to_fetch,
};
use citronhollow_peer::message::{
    Balancer, Digest, Heartbeat, HeartbeatReply, MembersReply, MembersRequest, RevisionReply,
    RevisionRequest, Rumour, Version,
};
use citronhollow_peer::{
    Body, CodecError, balancer_from_message, balancer_to_message, record_from_message,
    target_from_message, target_to_message,
};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use super::pool::{self, PoolDigests};
use crate::revisions::RevisionStore;

mod answers;
mod fleet;
mod liveness;
mod reports;
mod spread;

use liveness::Liveness;
use reports::{AgentReport, Reports};

/// Time between two attempts to join through the seeds.
const JOIN_EVERY: Millis = Millis::from_secs(1);

/// Time after which a fetch that brought nothing may be repeated.
const FETCH_AGAIN_AFTER: Millis = Millis::from_secs(2);

/// Balancers that an agent is told of: those to report to, and some in case they do not answer.
const BALANCERS_TOLD: usize = 2 * REPORTERS;

/// One in this many heartbeats is answered with the agent's best balancers in any case.
const BALANCERS_ONE_IN: u32 = 16;

/// What the loop is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        body: Body,
    },
    /// Make a request over TCP and hand the reply to [`Node::on_fetched`].
    Fetch {
        /// From whom.
        from: SocketAddr,
        /// What to ask.
        request: Body,
    },
}

/// The control thread's decisions and all that they need to know.
#[derive(Debug)]
pub struct Node {
    me: BalancerRecord,
    seeds: Vec<SocketAddr>,
    view: View,
    rumours: Rumours,
    revisions: RevisionStore,
    digests: PoolDigests,
    liveness: Liveness,
    reports: Reports,
    rng: SmallRng,
    timers: Timers,
    has_joined: bool,
    refused: u64,
}

/// When each is due again.
#[derive(Debug, Default)]
struct Timers {
    round: Millis,
    digest: Millis,
    join: Millis,
    revision_fetch: Millis,
    members_fetch: Millis,
}

impl Node {
    /// A node that knows only itself and its seeds.
    #[must_use]
    pub fn new(me: BalancerRecord, seeds: Vec<SocketAddr>, revisions: RevisionStore) -> Self {
        let seed = hash::pair(me.id.0, me.incarnation);
        let seeds = seeds.into_iter().filter(|it| *it != me.control).collect();
        let mut rumours = Rumours::new(seed);
        rumours.add(Topic::Balancer(me.id));
        Self {
            me,
            seeds,
            view: View::new(),
            rumours,
            revisions,
            digests: PoolDigests::default(),
            liveness: Liveness::default(),
            reports: Reports::default(),
            rng: SmallRng::seed_from_u64(seed),
            timers: Timers::default(),
            has_joined: false,
            refused: 0,
        }
    }

    /// This balancer's own record.
    #[must_use]
    pub const fn me(&self) -> &BalancerRecord {
        &self.me
    }

    /// All members as known here, this balancer not counted.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Frames and records refused since the start.
    #[must_use]
    pub const fn refused_frames(&self) -> u64 {
        self.refused
    }

    /// A frame was refused before it became a message.
    pub fn on_refused(&mut self, from: SocketAddr, error: &CodecError) {
        self.refused += 1;
        log::debug!("control: frame from {from} refused: {error}");
    }

    /// A revision came into force, whoever brought it.
    pub fn on_revision(&mut self) {
        let revision = self.revisions.latest();
        log::info!("control: revision {} is in force", revision.number);
        self.add_revision_news(&revision);
    }

    /// This balancer is about to exit.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.announce_self();
    }

    /// Takes a message.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        self.view.on_contact(now);
        match body {
            Body::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, effects),
            Body::Rumour(rumour) => self.on_rumour(now, from, &rumour, effects),
            Body::Digest(digest) => self.on_digest(now, &digest, effects),
            _ => self.refused += 1,
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for news in self.view.on_tick(now) {
            log::info!("members: target {} is {:?}", news.record.id, news.verdict);
            self.rumours.add(Topic::Target(news.record.id));
        }
        if now >= self.timers.round {
            self.timers.round = now.after(ROUND);
            self.push(now, effects);
        }
        if now >= self.timers.digest {
            let jitter = self.rng.random_range(0..DIGEST_EVERY.0 / 2);
            self.timers.digest = now.after(Millis(DIGEST_EVERY.0 * 3 / 4 + jitter));
            self.probe(now, effects);
        }
        self.reports.forget_gone(now, &self.view);
        self.retry_probes(now, effects);
        self.join(now, effects);
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let record = heartbeat.target.as_ref().map(record_from_message);
        let Some(Ok(record)) = record else {
            self.refused += 1;
            return;
        };
        let outcome = self.view.on_heartbeat(now, record, heartbeat.is_last);
        self.take_report(now, record.id, heartbeat);
        if outcome.is_news {
            self.rumours.add(Topic::Target(record.id));
        }
        if heartbeat.is_last {
            return;
        }
        let revision = self.revisions.latest();
        let peers_digest = self.digests.of(now, &self.view, &revision, record.group);
        let reply = HeartbeatReply {
            revision: revision.number,
            peers_digest,
            balancers: self.balancers_for(record.id, heartbeat.wants_balancers),
            refute_above: outcome.refute_above.map(|(incarnation, sequence)| Version {
                incarnation,
                sequence,
            }),
        };
        effects.push(Effect::Send {
            to: from,
            body: Body::HeartbeatReply(reply),
        });
    }

    fn take_report(&mut self, now: Millis, id: TargetId, heartbeat: &Heartbeat) {
        if heartbeat.is_last {
            self.reports.on_agent_left(id);
            return;
        }
        let report = AgentReport {
            revision: heartbeat.revision,
            open: heartbeat.open,
            at: now,
        };
        self.reports.on_agent(id, report);
    }

    /// The balancers that an agent is to report to, unless it does so already.
    fn balancers_for(&mut self, target: TargetId, is_wanted: bool) -> Vec<Balancer> {
        let mut fleet: Vec<BalancerRecord> = self.view.balancers().present().copied().collect();
        fleet.push(self.me);
        let mut best = reporters_for(target, &fleet, BALANCERS_TOLD);
        let is_best = best
            .iter()
            .take(REPORTERS)
            .any(|balancer| balancer.id == self.me.id);
        let is_told = is_wanted || !is_best || self.rng.random_ratio(1, BALANCERS_ONE_IN);
        if !is_told {
            return Vec::new();
        }
        if self.me.leaving {
            best.push(self.me);
        }
        best.iter().map(balancer_to_message).collect()
    }

    /// Makes the own record newer than anything that is said about it.
    fn announce_self(&mut self) {
        self.me.sequence += 1;
        self.rumours.add(Topic::Balancer(self.me.id));
    }
}
