//! Pushes, what they bring, and the comparison of digests.

use citronhollow_peer::message::Target;

use super::reports::BalancerReport;
use super::{
    Arc, Balancer, BalancerRecord, Body, Digest, Effect, FETCH_AGAIN_AFTER, IteratorRandom,
    JOIN_EVERY, MembersRequest, Millis, Node, Revision, RevisionRequest, Rumour, SocketAddr, Topic,
    balancer_from_message, balancer_to_message, comparable_digests, slices_to_fetch,
    target_from_message, target_to_message,
};

/// Longest revision that a push carries, in bytes. A longer one is fetched.
const INLINE_MAX: usize = 800;

/// Bytes that a push takes for the number of a revision.
const NUMBER_BYTES: usize = 12;

impl Node {
    /// Pushes news to a few peers.
    pub(super) fn push(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.rumours.is_empty() {
            return;
        }
        let peers = self.reachable_peers(now);
        let Some(push) = self.rumours.round(now, &self.me, &peers) else {
            return;
        };
        let rumour = self.rumour(now, &push.topics);
        for peer in push.to {
            effects.push(Effect::Send {
                to: peer.control,
                body: Body::Rumour(rumour.clone()),
            });
        }
    }

    /// Takes what is new from a push and pushes it on.
    pub(super) fn on_rumour(
        &mut self,
        now: Millis,
        from: SocketAddr,
        rumour: &Rumour,
        effects: &mut Vec<Effect>,
    ) {
        for target in &rumour.targets {
            self.merge_target(now, target);
        }
        for balancer in &rumour.balancers {
            self.merge_balancer(now, balancer);
        }
        if !rumour.revision_json.is_empty() {
            self.offer_revision(&rumour.revision_json);
        }
        self.fetch_revision(now, rumour.revision, from, effects);
    }

    /// Compares, and answers if the sender wants that.
    pub(super) fn on_digest(&mut self, now: Millis, digest: &Digest, effects: &mut Vec<Effect>) {
        let Some(Ok(sender)) = digest.sender.as_ref().map(balancer_from_message) else {
            self.refused += 1;
            return;
        };
        self.liveness.on_answer(sender.id);
        self.merge_balancer_record(now, sender);
        let report = BalancerReport {
            revision: digest.revision,
            lowest: digest.lowest_revision,
            at: now,
        };
        self.reports.on_balancer(sender.id, report);
        if digest.wants_answer {
            effects.push(self.digest_to(now, sender.control, false));
        }
        self.fetch_revision(now, digest.revision, sender.control, effects);
        self.fetch_members(now, &digest.members, sender.control, effects);
    }

    /// Asks a random peer what it has.
    pub(super) fn probe(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let peers: Vec<BalancerRecord> = self.view.balancers().present().copied().collect();
        let due = self.liveness.next_probe(now, &peers);
        let peer = due.or_else(|| {
            let reachable = self.reachable_peers(now);
            reachable.into_iter().choose(&mut self.rng)
        });
        if let Some(peer) = peer {
            self.liveness.on_probe(now, peer);
            effects.push(self.digest_to(now, peer.control, true));
        }
    }

    /// Repeats probes without an answer.
    pub(super) fn retry_probes(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for peer in self.liveness.retries(now) {
            effects.push(self.digest_to(now, peer.control, true));
        }
        for gone in self.liveness.gone(now) {
            let record = BalancerRecord {
                leaving: true,
                ..gone
            };
            self.merge_balancer_record(now, record);
        }
    }

    /// Asks the seeds until somebody has told what there is.
    pub(super) fn join(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.has_joined || now < self.timers.join {
            return;
        }
        self.timers.join = now.after(JOIN_EVERY);
        for seed in self.seeds.clone() {
            effects.push(self.digest_to(now, seed, true));
        }
    }

    /// Peers that answer, as far as is known.
    pub(super) fn reachable_peers(&self, now: Millis) -> Vec<BalancerRecord> {
        self.view
            .balancers()
            .present()
            .filter(|peer| self.liveness.is_reachable(now, peer.id))
            .copied()
            .collect()
    }

    pub(super) fn merge_target(&mut self, now: Millis, target: &Target) {
        match target_from_message(target) {
            Ok(news) if self.view.merge_target(now, news) => {
                self.rumours.add(Topic::Target(news.record.id));
            }
            Ok(_) => {}
            Err(error) => {
                self.refused += 1;
                log::debug!("members: target refused: {error}");
            }
        }
    }

    pub(super) fn merge_balancer(&mut self, now: Millis, balancer: &Balancer) {
        match balancer_from_message(balancer) {
            Ok(record) => self.merge_balancer_record(now, record),
            Err(error) => {
                self.refused += 1;
                log::debug!("members: balancer refused: {error}");
            }
        }
    }

    /// What others say about this balancer is refuted rather than merged.
    pub(super) fn merge_balancer_record(&mut self, now: Millis, record: BalancerRecord) {
        if record.id == self.me.id {
            self.refute(&record);
            return;
        }
        if self.view.merge_balancer(now, record) {
            self.rumours.add(Topic::Balancer(record.id));
        }
    }

    /// Takes a revision over if it is higher and parses.
    pub(super) fn offer_revision(&mut self, json: &[u8]) {
        match serde_json::from_slice::<Revision>(json) {
            // The subscription to the store makes news of it.
            Ok(revision) => drop(self.revisions.offer(revision)),
            Err(error) => {
                self.refused += 1;
                log::warn!("control: revision refused: {error}");
            }
        }
    }

    pub(super) fn add_revision_news(&mut self, revision: &Arc<Revision>) {
        let json = serde_json::to_vec(revision.as_ref()).unwrap_or_default();
        let content = if json.len() <= INLINE_MAX {
            json.len()
        } else {
            0
        };
        self.rumours.add(Topic::Revision(content + NUMBER_BYTES));
    }

    fn refute(&mut self, record: &BalancerRecord) {
        let mine = (self.me.incarnation, self.me.sequence);
        let theirs = (record.incarnation, record.sequence);
        let is_contradicted = theirs == mine && record.leaving != self.me.leaving;
        if theirs > mine || is_contradicted {
            self.me.incarnation = record.incarnation;
            self.me.sequence = record.sequence;
            self.announce_self();
        }
    }

    fn rumour(&self, now: Millis, topics: &[Topic]) -> Rumour {
        let revision = self.revisions.latest();
        let mut rumour = Rumour {
            revision: revision.number,
            ..Rumour::default()
        };
        for topic in topics {
            match topic {
                Topic::Target(id) => {
                    let news = self.view.target(now, *id);
                    rumour.targets.extend(news.as_ref().map(target_to_message));
                }
                Topic::Balancer(id) if *id == self.me.id => {
                    rumour.balancers.push(balancer_to_message(&self.me));
                }
                Topic::Balancer(id) => {
                    let record = self.view.balancers().get(*id);
                    rumour.balancers.extend(record.map(balancer_to_message));
                }
                Topic::Revision(bytes) if *bytes > NUMBER_BYTES => {
                    rumour.revision_json = inline_json(&revision);
                }
                Topic::Revision(_) => {}
            }
        }
        rumour
    }

    fn digest_to(&self, now: Millis, to: SocketAddr, wants_answer: bool) -> Effect {
        let body = Body::Digest(Digest {
            sender: Some(balancer_to_message(&self.me)),
            revision: self.revisions.latest().number,
            members: comparable_digests(&self.view, now),
            wants_answer,
            lowest_revision: self.reports.lowest_here(self.revisions.latest().number),
        });
        Effect::Send { to, body }
    }

    fn fetch_revision(
        &mut self,
        now: Millis,
        theirs: u64,
        from: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.revisions.latest().number;
        if theirs <= known || now < self.timers.revision_fetch {
            return;
        }
        self.timers.revision_fetch = now.after(FETCH_AGAIN_AFTER);
        let request = Body::RevisionRequest(RevisionRequest { known });
        effects.push(Effect::Fetch { from, request });
    }

    fn fetch_members(
        &mut self,
        now: Millis,
        theirs: &[u64],
        from: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.timers.members_fetch {
            return;
        }
        let slices = if self.has_joined {
            slices_to_fetch(&self.view, now, theirs, &mut self.rng)
        } else {
            (0..citronhollow_core::members::SLICES).collect()
        };
        if slices.is_empty() {
            return;
        }
        self.timers.members_fetch = now.after(FETCH_AGAIN_AFTER);
        let slices = slices.iter().filter_map(|slice| u32::try_from(*slice).ok());
        let request = Body::MembersRequest(MembersRequest {
            slices: slices.collect(),
        });
        effects.push(Effect::Fetch { from, request });
    }
}

/// The revision for a push, empty if it has become too long meanwhile.
fn inline_json(revision: &Revision) -> Vec<u8> {
    let json = serde_json::to_vec(revision).unwrap_or_default();
    if json.len() <= INLINE_MAX {
        json
    } else {
        Vec::new()
    }
}
