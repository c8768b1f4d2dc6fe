//! Drains that an operator asked for here.
//!
//! The request goes straight to the target's agent and is repeated until a heartbeat shows the
//! state, so that it works while the platform is down. A drain that took effect is followed until
//! the target is gone or takes flows again: the request is idempotent, and its answers tell how
//! many flows are left.

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

/// Time between two requests to an agent that has not answered.
pub const DRAIN_RETRY: Millis = Millis(300);

/// Time after which an agent that has not answered is given up.
pub const DRAIN_TIMEOUT: Millis = Millis::from_secs(5);

/// Time between two requests to an agent whose drain is followed.
const FOLLOW_INTERVAL: Millis = Millis::from_secs(5);

/// Drains that are followed at most.
const FOLLOWED_MAX: usize = 256;

#[derive(Debug)]
struct Request {
    id: TargetId,
    name: String,
    on: bool,
    agent: SocketAddr,
    next_at: Millis,
    deadline: Millis,
    /// Takes the outcome, none once it is told.
    done: Option<oneshot::Sender<Result<(), ErrorKind>>>,
    open: Option<u32>,
}

/// Drains by order of request.
#[derive(Debug, Default)]
pub struct Drains {
    requests: Vec<Request>,
}

impl Drains {
    /// Takes a request in. A later one for the same target replaces an earlier.
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

    /// A heartbeat shows what became of a request.
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

    /// Sends what is due and gives up what is late.
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

    /// Drains and the flows left.
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

    /// The end of a drain has nothing to follow once it is confirmed.
    fn is_followed(&self, now: Millis, view: &View) -> bool {
        let is_there = view
            .target(now, self.id)
            .is_some_and(|update| !update.is_gone());
        self.done.is_some() || self.on && is_there
    }
}
