//! Translation between peer messages and the decisions about the fleet.
//!
//! [`GossipNode`] makes the decisions. This module decodes messages for it, encodes its actions as
//! messages, and answers the heartbeats of agents. All state here is soft: later heartbeats and
//! digest comparisons restore it.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::{Action, AgentReport, BalancerReport, GossipNode, Summary, Update};
use citronhollow_core::hash;
use citronhollow_core::id::{BalancerId, TargetId};
use citronhollow_core::members::{BalancerRecord, REPORTERS, View, reporters_for};
use citronhollow_operator::status::FleetStatus;
use citronhollow_peer::message::{
    Balancer, Digest, Gossip, Heartbeat, HeartbeatReply, LowestReply, LowestRequest,
    MembersRequest, RevisionRequest, Version,
};
use citronhollow_peer::{
    Body, CodecError, RecordError, balancer_from_message, balancer_to_message, record_from_message,
    target_from_message, target_to_message, verdict_from_message, verdict_to_message,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet;
use super::pool::GroupConfigs;
use super::revision_log::RevisionLog;
use crate::publish::FleetView;
use crate::publish::is_watcher;
use crate::revisions::RevisionStore;

mod answers;

/// Balancers sent to an agent: those to report to, and as many spares in case they do not answer.
const BALANCERS_PER_REPLY: usize = 2 * REPORTERS;

/// One in this many heartbeats is answered with the agent's best balancers even if they are
/// unchanged.
const BALANCERS_REFRESH_ONE_IN: u32 = 16;

/// Time for which other balancers are polled after an operator asked for the lowest revision.
const LOWEST_POLL_DURATION: Millis = Millis::from_secs(10);

/// I/O that the control loop has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Message.
        body: Body,
    },
    /// Make a request over TCP and pass the reply to [`Node::on_fetched`].
    Fetch {
        /// Balancer to ask.
        from: SocketAddr,
        /// Request.
        request: Body,
    },
}

/// The control thread's decisions and their state.
#[derive(Debug)]
pub struct Node {
    gossip: GossipNode,
    revisions: RevisionStore,
    log: RevisionLog,
    group_configs: GroupConfigs,
    poll_lowest_until: Millis,
    rng: SmallRng,
    refused: u64,
}

impl Node {
    /// Creates a node that knows only itself and its seeds.
    #[must_use]
    pub fn new(me: BalancerRecord, seeds: Vec<SocketAddr>, revisions: RevisionStore) -> Self {
        let seed = hash::pair(me.id.0, me.incarnation);
        let mut node = Self {
            gossip: GossipNode::new(me, seeds),
            revisions,
            log: RevisionLog::default(),
            group_configs: GroupConfigs::default(),
            poll_lowest_until: Millis::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            refused: 0,
        };
        node.on_revision();
        node
    }

    /// The view of the fleet for the publisher.
    #[must_use]
    pub fn fleet_view(&self, now: Millis) -> FleetView {
        fleet::fleet_view(now, &self.gossip)
    }

    /// The status of the fleet for operators, without drains and [`FleetStatus::is_leaving`].
    #[must_use]
    pub fn fleet_status(&self, now: Millis) -> FleetStatus {
        FleetStatus {
            refused_frames: self.refused,
            ..fleet::status(now, &self.gossip)
        }
    }

    /// All known members, including this balancer.
    #[must_use]
    pub const fn view(&self) -> &View {
        self.gossip.view()
    }

    /// Whether the view of the fleet is complete enough to build routes.
    #[must_use]
    pub fn has_fleet_view(&self, now: Millis) -> bool {
        self.gossip.has_fleet_view(now)
    }

    /// Frames and records refused since the start.
    #[must_use]
    pub const fn refused_frames(&self) -> u64 {
        self.refused
    }

    /// Counts a frame that could not be decoded.
    pub fn on_refused(&mut self, from: SocketAddr, error: &CodecError) {
        self.refused += 1;
        log::debug!("control: frame from {from} refused: {error}");
    }

    /// Logs the revision in force and passes it to the gossip, if it is newer than the last one.
    pub fn on_revision(&mut self) {
        let revision = self.revisions.latest();
        if revision.number <= self.gossip.revision() {
            return;
        }
        log::info!("control: revision {} is in force", revision.number);
        self.log.push(&revision);
        let length = self.log.newest().map_or(usize::MAX, <[u8]>::len);
        self.gossip.on_revision(revision.number, length);
    }

    /// Starts to announce that this balancer is leaving.
    pub fn leave(&mut self, now: Millis) {
        self.gossip.leave(now);
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, effects),
            Body::Gossip(gossip) => self.on_gossip(now, from, &gossip, effects),
            Body::Digest(digest) => self.on_digest(now, &digest, effects),
            Body::LowestRequest(_) => effects.push(self.lowest_reply(from)),
            Body::LowestReply(reply) => self.on_lowest(now, reply),
            _ => self.refused += 1,
        }
    }

    /// Runs the timers that are due.
    pub fn on_tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        // A revision that came into force before the loop subscribed caused no notification.
        self.on_revision();
        let mut actions = Vec::new();
        for update in self.gossip.on_tick(now, &mut actions) {
            log::info!(
                "members: target {} is {:?}",
                update.record.id,
                update.verdict
            );
        }
        if is_watcher(self.fleet_view(now).rank) || now < self.poll_lowest_until {
            self.gossip.poll_lowest(now, &mut actions);
        }
        self.push_effects(actions, effects);
    }

    /// Polls the lowest revision of the fleet for a while, because an operator asked for it.
    pub const fn poll_lowest_for_operator(&mut self, now: Millis) {
        self.poll_lowest_until = now.after(LOWEST_POLL_DURATION);
    }

    fn lowest_reply(&self, to: SocketAddr) -> Effect {
        let reply = LowestReply {
            sender: self.gossip.me().id.0,
            revision: self.gossip.revision(),
            lowest: self.gossip.lowest_here(),
        };
        Effect::Send {
            to,
            body: Body::LowestReply(reply),
        }
    }

    fn on_lowest(&mut self, now: Millis, reply: LowestReply) {
        let report = BalancerReport {
            revision: reply.revision,
            lowest: reply.lowest,
            at: now,
        };
        self.gossip.on_lowest(now, BalancerId(reply.sender), report);
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
        let is_last = heartbeat.is_last;
        let outcome = self.gossip.on_heartbeat(now, record, is_last);
        if is_last {
            return;
        }
        let report = AgentReport {
            revision: heartbeat.revision,
            open: heartbeat.open,
            at: now,
        };
        self.gossip.on_report(record.id, report);
        let revision = self.revisions.latest();
        let view = self.gossip.view();
        let refute_above = outcome.refute_above.map(|(incarnation, sequence)| Version {
            incarnation,
            sequence,
        });
        let reply = HeartbeatReply {
            revision: revision.number,
            peers_digest: self
                .group_configs
                .digest(now, view, &revision, record.group),
            balancers: self.balancers_for(record.id, heartbeat.wants_balancers),
            refute_above,
        };
        effects.push(Effect::Send {
            to: from,
            body: Body::HeartbeatReply(reply),
        });
    }

    fn on_gossip(
        &mut self,
        now: Millis,
        from: SocketAddr,
        gossip: &Gossip,
        effects: &mut Vec<Effect>,
    ) {
        if !gossip.delta_json.is_empty() {
            self.offer_delta(&gossip.delta_json);
        }
        let update = Update {
            targets: self.parse(&gossip.targets, target_from_message),
            verdicts: self.parse(&gossip.verdicts, verdict_from_message),
            balancers: self.parse(&gossip.balancers, balancer_from_message),
            revision: gossip.revision,
            carries_revision: false,
        };
        let mut actions = Vec::new();
        self.gossip.on_update(now, from, &update, &mut actions);
        self.push_effects(actions, effects);
    }

    fn on_digest(&mut self, now: Millis, digest: &Digest, effects: &mut Vec<Effect>) {
        let Some(Ok(sender)) = digest.sender.as_ref().map(balancer_from_message) else {
            self.refused += 1;
            return;
        };
        let summary = Summary {
            sender,
            revision: digest.revision,
            lowest_revision: digest.lowest_revision,
            members: digest.members.clone(),
            wants_answer: digest.wants_answer,
        };
        let mut actions = Vec::new();
        self.gossip.on_summary(now, &summary, &mut actions);
        self.push_effects(actions, effects);
    }

    /// Translates actions into messages and requests.
    fn push_effects(&self, actions: Vec<Action>, effects: &mut Vec<Effect>) {
        effects.extend(actions.into_iter().map(|action| match action {
            Action::AskLowest { to } => Effect::Send {
                to,
                body: Body::LowestRequest(LowestRequest {}),
            },
            Action::Push { to, update } => Effect::Send {
                to,
                body: Body::Gossip(self.gossip_message(&update)),
            },
            Action::Compare { to, summary } => Effect::Send {
                to,
                body: Body::Digest(digest_message(summary)),
            },
            Action::FetchMembers { from, buckets } => Effect::Fetch {
                from,
                request: Body::MembersRequest(members_request(&buckets)),
            },
            Action::FetchRevision { from } => Effect::Fetch {
                from,
                request: Body::RevisionRequest(RevisionRequest {
                    known: self.gossip.revision(),
                }),
            },
        }));
    }

    fn gossip_message(&self, update: &Update) -> Gossip {
        let delta = self.log.newest().filter(|_| update.carries_revision);
        Gossip {
            targets: update.targets.iter().map(target_to_message).collect(),
            verdicts: update.verdicts.iter().map(verdict_to_message).collect(),
            balancers: update.balancers.iter().map(balancer_to_message).collect(),
            delta_json: delta.unwrap_or_default().to_vec(),
            revision: update.revision,
        }
    }

    /// The balancers that an agent should report to, empty if it most likely does so already.
    fn balancers_for(&mut self, target: TargetId, is_wanted: bool) -> Vec<Balancer> {
        let me = *self.gossip.me();
        let fleet: Vec<BalancerRecord> = self.view().balancers().present().copied().collect();
        let mut best = reporters_for(target, &fleet, BALANCERS_PER_REPLY);
        let is_best = best.iter().take(REPORTERS).any(|it| it.id == me.id);
        let is_included =
            is_wanted || !is_best || self.rng.random_ratio(1, BALANCERS_REFRESH_ONE_IN);
        if !is_included {
            return Vec::new();
        }
        if me.leaving {
            best.push(me);
        }
        best.iter().map(balancer_to_message).collect()
    }

    /// Decodes the valid records and counts the others as refused.
    fn parse<M, R>(&mut self, messages: &[M], parse: fn(&M) -> Result<R, RecordError>) -> Vec<R> {
        let mut records = Vec::with_capacity(messages.len());
        for message in messages {
            match parse(message) {
                Ok(record) => records.push(record),
                Err(error) => {
                    self.refused += 1;
                    log::debug!("members: record refused: {error}");
                }
            }
        }
        records
    }
}

fn digest_message(summary: Summary) -> Digest {
    Digest {
        sender: Some(balancer_to_message(&summary.sender)),
        revision: summary.revision,
        members: summary.members,
        wants_answer: summary.wants_answer,
        lowest_revision: summary.lowest_revision,
    }
}

fn members_request(buckets: &[usize]) -> MembersRequest {
    let buckets = buckets
        .iter()
        .filter_map(|bucket| u32::try_from(*bucket).ok());
    MembersRequest {
        buckets: buckets.collect(),
    }
}
