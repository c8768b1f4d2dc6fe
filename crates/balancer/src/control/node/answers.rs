//! Requests over TCP: what is answered, and what becomes of the replies.

use std::collections::HashSet;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::gossip::RevisionDelta;
use citronhollow_core::id::GroupId;
use citronhollow_core::members::{DIGEST_BUCKETS, bucket_of};
use citronhollow_peer::message::{MembersReply, MembersRequest, RevisionReply};
use citronhollow_peer::{
    Body, balancer_from_message, balancer_to_message, target_from_message, target_to_message,
};

use super::Node;

impl Node {
    /// The reply to a request, none if it is no request.
    #[must_use]
    pub fn answer(&mut self, now: Millis, request: &Body) -> Option<Body> {
        match request {
            Body::MembersRequest(request) => Some(Body::MembersReply(self.members(now, request))),
            Body::RevisionRequest(request) => {
                let revision = self.revisions.latest();
                Some(Body::RevisionReply(
                    self.log.reply(request.known, &revision),
                ))
            }
            Body::PoolRequest(request) => {
                let revision = self.revisions.latest();
                let group = GroupId(request.group);
                let view = self.spreader.view();
                Some(Body::PoolReply(
                    self.parts.reply(now, view, &revision, group),
                ))
            }
            _ => None,
        }
    }

    /// A fetch ended, with a reply or without.
    pub fn on_fetched(&mut self, now: Millis, from: SocketAddr, body: Option<Body>) {
        match body {
            Some(Body::MembersReply(reply)) => {
                let targets = self.parse(&reply.targets, target_from_message);
                let balancers = self.parse(&reply.balancers, balancer_from_message);
                self.spreader.on_members(now, &targets, &balancers);
            }
            Some(Body::RevisionReply(reply)) => {
                self.spreader.on_revision_fetched(now);
                self.on_revision_reply(&reply);
            }
            Some(_) => log::debug!("control: {from} answered something else"),
            None => {}
        }
    }

    fn on_revision_reply(&mut self, reply: &RevisionReply) {
        for json in &reply.deltas_json {
            self.offer_delta(json);
        }
        if !reply.json.is_empty() {
            let revision = serde_json::from_slice(&reply.json);
            self.offer(revision.map(Some));
        }
    }

    pub(super) fn offer_delta(&mut self, json: &[u8]) {
        let known = self.revisions.latest();
        let delta = serde_json::from_slice::<RevisionDelta>(json);
        self.offer(delta.map(|delta| delta.apply(&known)));
    }

    /// Takes a revision over if it parses and is higher. None is a difference that does not apply
    /// here: the number tells that there is something to fetch.
    fn offer(&mut self, revision: serde_json::Result<Option<Revision>>) {
        match revision {
            Ok(Some(revision)) => {
                if self.revisions.offer(revision) {
                    self.on_revision();
                }
            }
            Ok(None) => {}
            Err(error) => {
                self.refused += 1;
                log::warn!("control: revision refused: {error}");
            }
        }
    }

    fn members(&self, now: Millis, request: &MembersRequest) -> MembersReply {
        let slices: HashSet<usize> = if request.buckets.is_empty() {
            (0..DIGEST_BUCKETS).collect()
        } else {
            request
                .buckets
                .iter()
                .map(|slice| *slice as usize)
                .collect()
        };
        let view = self.view();
        let targets = view
            .targets(now)
            .filter(|update| slices.contains(&bucket_of(update.record.id.0)));
        let balancers = view
            .balancers()
            .iter()
            .filter(|record| slices.contains(&bucket_of(record.id.0)));
        MembersReply {
            targets: targets.map(|update| target_to_message(&update)).collect(),
            balancers: balancers.map(balancer_to_message).collect(),
        }
    }
}
