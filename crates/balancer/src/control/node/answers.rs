//! Requests over TCP: what is answered, and what is done with replies.

use std::collections::HashSet;

use citronhollow_core::id::GroupId;
use citronhollow_core::members::{SLICES, slice_of};

use super::{
    Body, MembersReply, MembersRequest, Millis, Node, Revision, RevisionReply, RevisionRequest,
    SocketAddr, balancer_from_message, balancer_to_message, pool, target_from_message,
    target_to_message,
};

impl Node {
    /// The reply to a request, none if it is no request.
    #[must_use]
    pub fn answer(&self, now: Millis, request: &Body) -> Option<Body> {
        match request {
            Body::MembersRequest(request) => Some(Body::MembersReply(self.members(now, request))),
            Body::RevisionRequest(request) => {
                Some(Body::RevisionReply(self.revision_after(*request)))
            }
            Body::PoolRequest(request) => {
                let revision = self.revisions.latest();
                let group = GroupId(request.group);
                let reply = pool::reply(now, &self.view, &revision, group);
                Some(Body::PoolReply(reply))
            }
            _ => None,
        }
    }

    /// A fetch ended.
    pub fn on_fetched(&mut self, now: Millis, from: SocketAddr, body: Option<Body>) {
        match body {
            Some(Body::MembersReply(reply)) => {
                self.timers.members_fetch = now;
                self.on_members(now, &reply);
            }
            Some(Body::RevisionReply(reply)) => {
                self.timers.revision_fetch = now;
                if !reply.json.is_empty() {
                    self.offer_revision(&reply.json);
                }
            }
            Some(_) => log::debug!("control: {from} answered something else"),
            None => {}
        }
    }

    /// What is fetched is news here and is pushed on, except by a process that joins: there it is
    /// news to nobody else.
    fn on_members(&mut self, now: Millis, reply: &MembersReply) {
        if self.has_joined {
            for target in &reply.targets {
                self.merge_target(now, target);
            }
            for balancer in &reply.balancers {
                self.merge_balancer(now, balancer);
            }
            return;
        }
        self.has_joined = true;
        let targets = reply
            .targets
            .iter()
            .filter_map(|it| target_from_message(it).ok());
        for news in targets {
            self.view.merge_target(now, news);
        }
        let balancers = reply
            .balancers
            .iter()
            .filter_map(|it| balancer_from_message(it).ok());
        for record in balancers.filter(|record| record.id != self.me.id) {
            self.view.merge_balancer(now, record);
        }
        self.announce_self();
        log::info!("members: joined, {} targets known", reply.targets.len());
    }

    fn members(&self, now: Millis, request: &MembersRequest) -> MembersReply {
        let slices: HashSet<usize> = if request.slices.is_empty() {
            (0..SLICES).collect()
        } else {
            request.slices.iter().map(|slice| *slice as usize).collect()
        };
        let targets = self
            .view
            .targets(now)
            .filter(|news| slices.contains(&slice_of(news.record.id.0)));
        let balancers = self
            .view
            .balancers()
            .iter()
            .chain(std::iter::once(&self.me))
            .filter(|record| slices.contains(&slice_of(record.id.0)));
        MembersReply {
            targets: targets.map(|news| target_to_message(&news)).collect(),
            balancers: balancers.map(balancer_to_message).collect(),
        }
    }

    fn revision_after(&self, request: RevisionRequest) -> RevisionReply {
        let revision: &Revision = &self.revisions.latest();
        let json = if revision.number > request.known {
            serde_json::to_vec(revision).unwrap_or_default()
        } else {
            Vec::new()
        };
        RevisionReply { json }
    }
}
