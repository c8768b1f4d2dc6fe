//! Answers what operators ask over HTTP, out of what the other parts of the process know.

use std::sync::Arc;
use std::time::Instant;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_operator::control::Request;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::status::{
    PublishStatus, RefusalCount, Status, TargetStatus, TrafficStatus,
};
use tokio::sync::mpsc;

use crate::control::ControlHandle;
use crate::revisions::RevisionStore;
use crate::settings::Settings;
use crate::traffic::{Figure, TrafficFigures};

/// What the answers are made of.
#[derive(Clone, Debug)]
pub struct Desk {
    name: String,
    domain: String,
    started: Instant,
    control: ControlHandle,
    revisions: RevisionStore,
    figures: Arc<TrafficFigures>,
}

impl Desk {
    /// A desk of the process with these settings and parts.
    #[must_use]
    pub fn new(
        settings: &Settings,
        control: ControlHandle,
        revisions: RevisionStore,
        figures: Arc<TrafficFigures>,
    ) -> Self {
        Self {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            started: Instant::now(),
            control,
            revisions,
            figures,
        }
    }

    /// Answers requests until nobody can send any. Each gets a task of its own, because a drain
    /// waits for the target's agent.
    pub async fn run(self, mut requests: mpsc::Receiver<Request>) {
        while let Some(request) = requests.recv().await {
            tokio::spawn(self.clone().answer(request));
        }
    }

    async fn answer(self, request: Request) {
        // An operator who has gone away needs no answer.
        match request {
            Request::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            Request::Drain { target, on, reply } => {
                let _ = reply.send(self.drain(target, on).await);
            }
        }
    }

    async fn status(&self) -> Result<Status, Failure> {
        Ok(Status {
            balancer: self.name.clone(),
            domain: self.domain.clone(),
            version: String::from(env!("CARGO_PKG_VERSION")),
            uptime_ms: Millis::from(self.started.elapsed()),
            fleet: self.control.fleet().await.ok_or_else(stopping)?,
            publish: self.publish(),
            traffic: traffic(&self.figures),
        })
    }

    async fn drain(&self, target: TargetId, on: bool) -> Result<TargetStatus, Failure> {
        let outcome = self.control.send_drain(&target.to_string(), on).await;
        outcome.map_err(|kind| Failure::new(kind, format!("target {target}: {kind}")))?;
        let fleet = self.control.fleet().await.ok_or_else(stopping)?;
        let id = target.to_string();
        let found = fleet.targets.into_iter().find(|target| target.id == id);
        found.ok_or_else(|| Failure::new(ErrorKind::NotFound, format!("target {target} is gone")))
    }

    fn publish(&self) -> PublishStatus {
        let revision = self.revisions.latest();
        PublishStatus {
            epoch: revision.epoch,
            published: (revision.number > 0).then_some(revision.number),
            ..PublishStatus::default()
        }
    }
}

fn traffic(figures: &TrafficFigures) -> TrafficStatus {
    let forwarded = figures.get(Figure::ByTable) + figures.get(Figure::ByHint);
    let refusals = [
        (Figure::UnknownService, ErrorKind::UnknownService),
        (Figure::NoTarget, ErrorKind::NoTarget),
        (Figure::RefusedNoTarget, ErrorKind::NoTarget),
    ];
    let counted = Figure::ALL
        .iter()
        .filter(|kind| **kind != Figure::SendFailed);
    TrafficStatus {
        packets: counted.map(|kind| figures.get(*kind)).sum(),
        forwarded,
        malformed: figures.get(Figure::Malformed),
        refused: refusals
            .into_iter()
            .map(|(figure, kind)| RefusalCount {
                kind,
                count: figures.get(figure),
            })
            .filter(|refusal| refusal.count > 0)
            .collect(),
    }
}

fn stopping() -> Failure {
    Failure::new(ErrorKind::Timeout, "the balancer is stopping")
}
