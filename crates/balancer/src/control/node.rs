//! Between messages and decisions.
//!
//! [`GossipNode`] decides; this turns messages into what it takes and its actions into messages, and
//! adds what agents are told. Everything is soft state that the next heartbeats and the next
//! comparison of digests bring back.

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
use super::pool::Parts;
use super::revision_log::RevisionLog;
use crate::publish::FleetView;
use crate::publish::is_watcher;
use crate::revisions::RevisionStore;

mod answers;

/// Balancers that an agent is told of: those to report to, and some in case they do not answer.
const BALANCERS_TOLD: usize = 2 * REPORTERS;

/// One in this many heartbeats is answered with the agent's best balancers in any case.
const BALANCERS_ONE_IN: u32 = 16;

/// Time for which the others are polled after the lowest revision was wanted.
const LOWEST_WANTED_FOR: Millis = Millis::from_secs(10);

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
    spreader: GossipNode,
    revisions: RevisionStore,
    log: RevisionLog,
    parts: Parts,
    lowest_wanted_until: Millis,
    rng: SmallRng,
    refused: u64,
}

impl Node {
    /// A node that knows only itself and its seeds.
    #[must_use]
    pub fn new(me: BalancerRecord, seeds: Vec<SocketAddr>, revisions: RevisionStore) -> Self {
        let seed = hash::pair(me.id.0, me.incarnation);
        let mut node = Self {
            spreader: GossipNode::new(me, seeds),
            revisions,
            log: RevisionLog::default(),
            parts: Parts::default(),
            lowest_wanted_until: Millis::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            refused: 0,
        };
        node.on_revision();
        node
    }

    /// The fleet as the publisher needs it.
    #[must_use]
    pub fn fleet_view(&self, now: Millis) -> FleetView {
        fleet::view_of(now, &self.spreader)
    }

    /// The fleet as operators see it. Drains and the end of the process are the caller's to add.
    #[must_use]
    pub fn fleet_status(&self, now: Millis) -> FleetStatus {
        FleetStatus {
            refused_frames: self.refused,
            ..fleet::status(now, &self.spreader)
        }
    }

    /// All members as known here, this balancer included.
    #[must_use]
    pub const fn view(&self) -> &View {
        self.spreader.view()
    }

    /// Whether routes can be built of what is known here.
    #[must_use]
    pub fn knows_fleet(&self, now: Millis) -> bool {
        self.spreader.has_fleet_view(now)
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

    /// A revision may have come into force, whoever brought it.
    pub fn on_revision(&mut self) {
        let revision = self.revisions.latest();
        if revision.number <= self.spreader.revision() {
            return;
        }
        log::info!("control: revision {} is in force", revision.number);
        self.log.push(&revision);
        let length = self.log.newest().map_or(usize::MAX, <[u8]>::len);
        self.spreader.on_revision(revision.number, length);
    }

    /// This balancer is about to exit.
    pub fn leave(&mut self, now: Millis) {
        self.spreader.leave(now);
    }

    /// Takes a message.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, effects),
            Body::Gossip(rumour) => self.on_rumour(now, from, &rumour, effects),
            Body::Digest(digest) => self.on_digest(now, &digest, effects),
            Body::LowestRequest(_) => effects.push(self.lowest_reply(from)),
            Body::LowestReply(reply) => self.on_lowest(now, reply),
            _ => self.refused += 1,
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        // A revision that came before the loop began has woken nobody.
        self.on_revision();
        let mut actions = Vec::new();
        for update in self.spreader.on_tick(now, &mut actions) {
            log::info!(
                "members: target {} is {:?}",
                update.record.id,
                update.verdict
            );
        }
        if is_watcher(self.fleet_view(now).rank) || now < self.lowest_wanted_until {
            self.spreader.poll_lowest(now, &mut actions);
        }
        self.carry_over(actions, effects);
    }

    /// An operator wants to know the lowest revision of the fleet.
    pub const fn want_lowest(&mut self, now: Millis) {
        self.lowest_wanted_until = now.after(LOWEST_WANTED_FOR);
    }

    fn lowest_reply(&self, to: SocketAddr) -> Effect {
        let reply = LowestReply {
            sender: self.spreader.me().id.0,
            revision: self.spreader.revision(),
            lowest: self.spreader.lowest_here(),
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
        self.spreader
            .on_lowest(now, BalancerId(reply.sender), report);
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
        let outcome = self.spreader.on_heartbeat(now, record, is_last);
        if is_last {
            return;
        }
        let report = AgentReport {
            revision: heartbeat.revision,
            open: heartbeat.open,
            at: now,
        };
        self.spreader.on_report(record.id, report);
        let revision = self.revisions.latest();
        let view = self.spreader.view();
        let refute_above = outcome.refute_above.map(|(incarnation, sequence)| Version {
            incarnation,
            sequence,
        });
        let reply = HeartbeatReply {
            revision: revision.number,
            peers_digest: self.parts.digest(now, view, &revision, record.group),
            balancers: self.balancers_for(record.id, heartbeat.wants_balancers),
            refute_above,
        };
        effects.push(Effect::Send {
            to: from,
            body: Body::HeartbeatReply(reply),
        });
    }

    fn on_rumour(
        &mut self,
        now: Millis,
        from: SocketAddr,
        rumour: &Gossip,
        effects: &mut Vec<Effect>,
    ) {
        if !rumour.delta_json.is_empty() {
            self.offer_delta(&rumour.delta_json);
        }
        let update = Update {
            targets: self.parse(&rumour.targets, target_from_message),
            verdicts: self.parse(&rumour.verdicts, verdict_from_message),
            balancers: self.parse(&rumour.balancers, balancer_from_message),
            revision: rumour.revision,
            carries_revision: false,
        };
        let mut actions = Vec::new();
        self.spreader.on_update(now, from, &update, &mut actions);
        self.carry_over(actions, effects);
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
        self.spreader.on_summary(now, &summary, &mut actions);
        self.carry_over(actions, effects);
    }

    /// Turns actions into messages and requests.
    fn carry_over(&self, actions: Vec<Action>, effects: &mut Vec<Effect>) {
        effects.extend(actions.into_iter().map(|action| match action {
            Action::AskLowest { to } => Effect::Send {
                to,
                body: Body::LowestRequest(LowestRequest {}),
            },
            Action::Push { to, update } => Effect::Send {
                to,
                body: Body::Gossip(self.rumour(&update)),
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
                    known: self.spreader.revision(),
                }),
            },
        }));
    }

    fn rumour(&self, update: &Update) -> Gossip {
        let delta = self.log.newest().filter(|_| update.carries_revision);
        Gossip {
            targets: update.targets.iter().map(target_to_message).collect(),
            verdicts: update.verdicts.iter().map(verdict_to_message).collect(),
            balancers: update.balancers.iter().map(balancer_to_message).collect(),
            delta_json: delta.unwrap_or_default().to_vec(),
            revision: update.revision,
        }
    }

    /// The balancers that an agent is to report to, unless it does so already.
    fn balancers_for(&mut self, target: TargetId, is_wanted: bool) -> Vec<Balancer> {
        let me = *self.spreader.me();
        let fleet: Vec<BalancerRecord> = self.view().balancers().present().copied().collect();
        let mut best = reporters_for(target, &fleet, BALANCERS_TOLD);
        let is_best = best.iter().take(REPORTERS).any(|it| it.id == me.id);
        let is_told = is_wanted || !is_best || self.rng.random_ratio(1, BALANCERS_ONE_IN);
        if !is_told {
            return Vec::new();
        }
        if me.leaving {
            best.push(me);
        }
        best.iter().map(balancer_to_message).collect()
    }

    /// Keeps the records that are valid and counts the others.
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

fn members_request(slices: &[usize]) -> MembersRequest {
    let slices = slices.iter().filter_map(|slice| u32::try_from(*slice).ok());
    MembersRequest {
        buckets: slices.collect(),
    }
}
