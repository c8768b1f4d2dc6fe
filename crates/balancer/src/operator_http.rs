//! Handler of the operator's HTTP requests on the control thread.
//!
//! Requests that need the platform may take long, so all requests run concurrently on the one
//! thread, and an unavailable platform does not block a status or a drain request. Access to the
//! rest of the process goes through three closures, so that this module runs without the rest.

use citronhollow_core::clock::Millis;
use citronhollow_operator::control::Request;
use citronhollow_operator::documents::{Applied, ApplyRequest};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::status::{DrainStatus, FleetStatus, Status, TrafficStatus};
use citronhollow_platform::Client;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::documents::{self, InForce};
use crate::revisions::RevisionStore;

mod platform_view;

use platform_view::PlatformView;

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the balancer.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Prefix of the writer of what this process stores at the platform. Unique for each run of a
    /// process.
    pub writer: String,
}

/// Access to the rest of the process.
#[derive(Clone, Debug)]
pub struct Sources<F, D, T> {
    /// Returns the status of the fleet.
    pub fleet: F,
    /// Starts or ends a drain of a target.
    pub drain: D,
    /// Returns the counters of the traffic threads.
    pub traffic: T,
}

/// Answers requests until all senders are dropped.
pub async fn run<F, D, T>(
    mut requests: mpsc::Receiver<Request>,
    identity: Identity,
    client: Client,
    revisions: RevisionStore,
    sources: Sources<F, D, T>,
) where
    F: AsyncFn() -> Result<FleetStatus, Failure>,
    D: AsyncFn(String, bool) -> Result<DrainStatus, Failure>,
    T: Fn() -> TrafficStatus,
{
    let handler = OperatorHandler {
        started: Instant::now(),
        platform: PlatformView::new(client.clone(), identity.writer.clone()),
        identity,
        client,
        revisions,
        sources,
    };
    let mut answers = FuturesUnordered::new();
    loop {
        tokio::select! {
            request = requests.recv() => match request {
                Some(request) => answers.push(handler.answer(request)),
                None => return,
            },
            Some(()) = answers.next() => {}
        }
    }
}

struct OperatorHandler<F, D, T> {
    started: Instant,
    identity: Identity,
    client: Client,
    revisions: RevisionStore,
    platform: PlatformView,
    sources: Sources<F, D, T>,
}

impl<F, D, T> OperatorHandler<F, D, T>
where
    F: AsyncFn() -> Result<FleetStatus, Failure>,
    D: AsyncFn(String, bool) -> Result<DrainStatus, Failure>,
    T: Fn() -> TrafficStatus,
{
    /// Answers a request. The answer is dropped if the operator has disconnected.
    async fn answer(&self, request: Request) {
        match request {
            Request::Status(reply) => drop(reply.send(self.status().await)),
            Request::Drain { target, on, reply } => {
                drop(reply.send((self.sources.drain)(target, on).await));
            }
            Request::Drafts(reply) => drop(reply.send(documents::read(&self.client).await)),
            Request::Apply { request, reply } => drop(reply.send(self.apply(&request).await)),
            Request::States { changes, reply } => {
                drop(reply.send(documents::states(&self.client, &changes).await));
            }
        }
    }

    async fn status(&self) -> Result<Status, Failure> {
        let fleet = (self.sources.fleet)().await?;
        Ok(Status {
            balancer: self.identity.name.clone(),
            domain: self.identity.domain.clone(),
            version: String::from(env!("CARGO_PKG_VERSION")),
            uptime_ms: Millis::from(self.started.elapsed()),
            fleet,
            publish: self.platform.status().await,
            traffic: (self.sources.traffic)(),
        })
    }

    async fn apply(&self, request: &ApplyRequest) -> Result<Applied, Failure> {
        let fleet = (self.sources.fleet)().await?;
        let operator = match request.operator.as_str() {
            "" => "somebody",
            name => name,
        };
        let writer = format!("{operator}/{:016x}", rand::random::<u64>());
        let in_force = InForce {
            revision: &self.revisions.latest(),
            lowest_reported: fleet.lowest_reported,
        };
        let applied = documents::apply(&self.client, request, &writer, in_force).await?;
        if !request.dry_run && !applied.changes.is_empty() {
            let count = applied.changes.len();
            log::info!("operator: {writer} applied {count} changes");
        }
        Ok(applied)
    }
}
