//! The control thread's end of the operator's HTTP.
//!
//! Requests that need the platform or a target's agent may take long, so all requests run side by
//! side on the one thread, and a platform that is down does not hold up a status or a drain.

use std::sync::Arc;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::TargetState;
use citronhollow_operator::control::Request;
use citronhollow_operator::documents::{Applied, ApplyRequest};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::status::{DrainStatus, FleetStatus, Status};
use citronhollow_platform::Client;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::ControlHandle;
use crate::documents::{self, InForce};
use crate::revisions::RevisionStore;
use crate::traffic::TrafficFigures;

mod platform_view;
mod traffic_view;

use platform_view::PlatformView;

/// The parts of the process that the answers are made of.
#[derive(Clone)]
pub struct Parts {
    /// Name of the balancer.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// What it writes at the platform begins with this.
    pub writer: String,
    /// The control loop.
    pub control: ControlHandle,
    /// The platform.
    pub platform: Client,
    /// The revision in force.
    pub revisions: RevisionStore,
    /// What the traffic threads count.
    pub figures: Arc<TrafficFigures>,
}

/// Answers requests until nobody can send one any more.
pub async fn run(mut requests: mpsc::Receiver<Request>, parts: Parts) {
    let desk = Desk {
        started: Instant::now(),
        platform_view: PlatformView::new(parts.platform.clone(), parts.writer.clone()),
        parts,
    };
    let mut answers = FuturesUnordered::new();
    loop {
        tokio::select! {
            request = requests.recv() => match request {
                Some(request) => answers.push(desk.answer(request)),
                None => return,
            },
            Some(()) = answers.next() => {}
        }
    }
}

struct Desk {
    started: Instant,
    platform_view: PlatformView,
    parts: Parts,
}

impl Desk {
    /// An operator that has gone does not take the answer, which harms nobody.
    async fn answer(&self, request: Request) {
        let platform = &self.parts.platform;
        match request {
            Request::Status(reply) => drop(reply.send(self.status().await)),
            Request::Drain { target, on, reply } => {
                drop(reply.send(self.drain(&target, on).await));
            }
            Request::Drafts(reply) => drop(reply.send(documents::read(platform).await)),
            Request::Apply { request, reply } => drop(reply.send(self.apply(&request).await)),
            Request::States { changes, reply } => {
                drop(reply.send(documents::states(platform, &changes).await));
            }
        }
    }

    async fn fleet(&self) -> Result<FleetStatus, Failure> {
        let message = "the balancer is stopping; ask another balancer";
        let fleet = self.parts.control.fleet().await;
        fleet.ok_or_else(|| Failure::new(ErrorKind::Timeout, message))
    }

    async fn status(&self) -> Result<Status, Failure> {
        Ok(Status {
            balancer: self.parts.name.clone(),
            domain: self.parts.domain.clone(),
            version: String::from(env!("CARGO_PKG_VERSION")),
            uptime_ms: Millis::from(self.started.elapsed()),
            fleet: self.fleet().await?,
            publish: self.platform_view.status().await,
            traffic: traffic_view::status(&self.parts.figures),
        })
    }

    async fn drain(&self, target: &str, on: bool) -> Result<DrainStatus, Failure> {
        let outcome = self.parts.control.send_drain(target, on).await;
        outcome.map_err(|kind| drain_failure(kind, target))?;
        let drains = self.fleet().await?.drains;
        let drain = drains.into_iter().find(|drain| drain.target == target);
        // The end of a drain is not followed any more once the agent has confirmed it.
        let ended = || DrainStatus {
            target: String::from(target),
            state: (!on).then_some(TargetState::Ready),
            open: None,
        };
        Ok(drain.unwrap_or_else(ended))
    }

    async fn apply(&self, request: &ApplyRequest) -> Result<Applied, Failure> {
        let fleet = self.fleet().await?;
        let operator = match request.operator.as_str() {
            "" => "somebody",
            name => name,
        };
        let writer = format!("{operator}/{:016x}", rand::random::<u64>());
        let in_force = InForce {
            revision: &self.parts.revisions.latest(),
            lowest_reported: fleet.lowest_reported,
        };
        let applied = documents::apply(&self.parts.platform, request, &writer, in_force).await?;
        if !request.dry_run && !applied.changes.is_empty() {
            let count = applied.changes.len();
            log::info!("operator: {writer} applied {count} changes");
        }
        Ok(applied)
    }
}

fn drain_failure(kind: ErrorKind, target: &str) -> Failure {
    let remedy = match kind {
        ErrorKind::NotFound => "see status for the targets that this balancer knows",
        ErrorKind::Timeout => "its agent did not confirm in time; ask again, it is safe",
        _ => "ask another balancer",
    };
    Failure::new(kind, format!("target {target}: {kind}; {remedy}"))
}
