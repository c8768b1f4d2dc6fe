//! Drains requested by an operator at this balancer.
//!
//! The request goes directly to the target's agent and is retried until a heartbeat confirms the
//! state, so that a drain works while the platform is unavailable. A confirmed drain is tracked
//! until the target is gone or takes new flows again: the request is idempotent, so it is repeated
//! at a longer interval, and the heartbeats that answer it report the flows that are left.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::{TargetState, View};
use citronhollow_operator::status::{DrainStatus, target_id};
use citronhollow_peer::message::{Drain, Heartbeat};
use citronhollow_peer::{Body, record_from_message};
use tokio::sync::oneshot;

use super::node::Effect;

/// Retry interval of a request that the agent has not confirmed.
pub const DRAIN_RETRY: Millis = Millis(300);

/// Time after which an unconfirmed request fails.
pub const DRAIN_TIMEOUT: Millis = Millis::from_secs(5);

/// Interval of requests to an agent whose drain is confirmed and tracked.
const FOLLOW_INTERVAL: Millis = Millis::from_secs(5);

/// Maximum number of drains tracked at once.
const FOLLOWED_MAX: usize = 256;

#[derive(Debug)]
struct Request {
    id: TargetId,
    name: String,
    on: bool,
    agent: SocketAddr,
    next_at: Millis,
    deadline: Millis,
    /// Receives the outcome, `None` once it has been sent.
    done: Option<oneshot::Sender<Result<(), ErrorKind>>>,
    open: Option<u32>,
}

/// Tracked drains in the order of their requests.
#[derive(Debug, Default)]
pub struct Drains {
    requests: Vec<Request>,
}

impl Drains {
    /// Starts a request. It replaces an earlier request for the same target.
    pub fn start(
        &mut self,
        now: Millis,
        view: &View,
        name: &str,
        on: bool,
        done: oneshot::Sender<Result<(), ErrorKind>>,
    ) {
        let id = target_id(name);
        let known = view.target(now, id).filter(|update| !update.is_gone());
        let Some(update) = known else {
            let _ = done.send(Err(ErrorKind::NotFound));
            return;
        };
        if self.requests.len() >= FOLLOWED_MAX {
            let _ = done.send(Err(ErrorKind::Overloaded));
            return;
        }
        self.requests.retain(|request| request.id != id);
        self.requests.push(Request {
            id,
            name: String::from(name),
            on,
            agent: update.record.agent,
            next_at: now,
            deadline: now.after(DRAIN_TIMEOUT),
            done: Some(done),
            open: None,
        });
    }

    /// Confirms a request if the heartbeat shows the requested state, and records the open flows.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let record = heartbeat.target.as_ref().map(record_from_message);
        let Some(Ok(record)) = record else {
            return;
        };
        let request = self.requests.iter_mut().find(|it| it.id == record.id);
        let Some(request) = request else {
            return;
        };
        request.open = Some(heartbeat.open);
        let is_draining = matches!(record.state, TargetState::Draining | TargetState::Dead);
        if is_draining == request.on {
            request.finish(Ok(()));
        }
    }

    /// Sends requests that are due and fails those past their deadline.
    pub fn on_tick(&mut self, now: Millis, view: &View, effects: &mut Vec<Effect>) {
        for request in &mut self.requests {
            if request.done.is_some() && now >= request.deadline {
                log::warn!("control: drain of {} is not confirmed", request.name);
                request.finish(Err(ErrorKind::Timeout));
            }
            if now >= request.next_at {
                effects.push(request.message());
                let is_waiting = request.done.is_some();
                request.next_at = now.after(if is_waiting {
                    DRAIN_RETRY
                } else {
                    FOLLOW_INTERVAL
                });
            }
        }
        self.requests
            .retain(|request| request.is_followed(now, view));
    }

    /// Tracked drains with the flows that are left.
    #[must_use]
    pub fn status(&self, view: &View, now: Millis) -> Vec<DrainStatus> {
        self.requests
            .iter()
            .map(|request| DrainStatus {
                target: request.name.clone(),
                state: view
                    .target(now, request.id)
                    .map(|update| update.record.state),
                open: request.open,
            })
            .collect()
    }
}

impl Request {
    fn message(&self) -> Effect {
        Effect::Send {
            to: self.agent,
            body: Body::Drain(Drain { on: self.on }),
        }
    }

    fn finish(&mut self, outcome: Result<(), ErrorKind>) {
        if let Some(done) = self.done.take() {
            // The operator may have given up meanwhile.
            let _ = done.send(outcome);
        }
    }

    /// Whether the request is unconfirmed, or is a drain of a target that still exists. The end of
    /// a drain needs no tracking once it is confirmed.
    fn is_followed(&self, now: Millis, view: &View) -> bool {
        let is_there = view
            .target(now, self.id)
            .is_some_and(|update| !update.is_gone());
        self.done.is_some() || self.on && is_there
    }
}
