//! The state of publishing at the platform, as part of a status.
//!
//! It is read when a status is requested and cached for a while, so that monitoring of many
//! balancers causes few calls to the platform, and a status is quick while the platform is
//! unavailable.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::CheckError;
use citronhollow_core::publisher::{Kind, Lease, SINGLETON_NAME};
use citronhollow_operator::problem::Problem;
use citronhollow_operator::status::{PlatformStatus, PublishStatus, RejectedDraft};
use citronhollow_platform::client::decode;
use citronhollow_platform::drafts::CheckResults;
use citronhollow_platform::{Client, PlatformError};
use tokio::time::Instant;

/// Time for which a read state is cached.
const CACHE_TTL: Duration = Duration::from_secs(5);

/// Timeout of a read.
const DEADLINE: Duration = Duration::from_secs(1);

pub(super) struct PlatformView {
    client: Client,
    writer: String,
    cached: Mutex<Cached>,
}

/// The last state that was read.
#[derive(Clone, Debug, Default)]
struct Cached {
    status: PublishStatus,
    read_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl PlatformView {
    pub(super) fn new(client: Client, writer: String) -> Self {
        Self {
            client,
            writer,
            cached: Mutex::default(),
        }
    }

    pub(super) async fn status(&self) -> PublishStatus {
        let mut cached = self
            .cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let is_fresh = cached.read_at.is_some_and(|at| at.elapsed() < CACHE_TTL);
        if !is_fresh {
            self.refresh(&mut cached).await;
            *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = cached.clone();
        }
        cached.status.platform.last_answer_ms =
            cached.answered_at.map(|at| Millis::from(at.elapsed()));
        cached.status
    }

    async fn refresh(&self, cached: &mut Cached) {
        let outcome = tokio::time::timeout(DEADLINE, self.read()).await;
        let now = Instant::now();
        cached.read_at = Some(now);
        match outcome {
            Ok(Ok(status)) => {
                cached.status = status;
                cached.status.platform.reachable = true;
                cached.answered_at = Some(now);
            }
            Ok(Err(error)) => cached.status.platform = unreachable(error.to_string()),
            Err(_) => {
                let limit = Millis::from(DEADLINE);
                cached.status.platform =
                    unreachable(format!("the platform did not answer within {limit}"));
            }
        }
        let counters = self.client.counters();
        cached.status.platform.calls = counters.total();
        cached.status.platform.retries = counters.retries();
    }

    async fn read(&self) -> Result<PublishStatus, PlatformError> {
        let kind = Kind::Lease.to_string();
        let lease = self.client.get(&kind, SINGLETON_NAME).await?;
        let lease = lease.map(|object| decode::<Lease>(&kind, SINGLETON_NAME, object.value));
        let lease = lease.transpose()?.filter(|lease| !lease.released);
        let check_results = CheckResults::read(&self.client).await?;
        let epoch = lease.as_ref().map_or(0, |lease| lease.epoch);
        let publisher = lease.map(|lease| lease.stamp.writer);
        let is_own = |writer: &String| writer.starts_with(&self.writer);
        Ok(PublishStatus {
            is_publisher: publisher.as_ref().is_some_and(is_own),
            publisher,
            epoch,
            published: check_results.index.as_ref().map(|index| index.number),
            rejected: rejected(&check_results),
            platform: PlatformStatus::default(),
        })
    }
}

fn unreachable(error: String) -> PlatformStatus {
    PlatformStatus {
        reachable: false,
        last_error: Some(error),
        ..PlatformStatus::default()
    }
}

/// The drafts that the latest check refused, empty if a later set has been published.
fn rejected(check_results: &CheckResults) -> Vec<RejectedDraft> {
    let published = check_results
        .index
        .as_ref()
        .map_or(0, |index| index.drafts_version);
    let report = check_results.report.as_ref();
    let report = report.filter(|report| report.drafts_version > published);
    let errors = report.map_or(&[][..], |report| &report.errors);
    let mut rejected: Vec<RejectedDraft> = Vec::new();
    for error in errors {
        // The enclosing draft already names the object.
        let problem = Problem {
            object: String::new(),
            ..Problem::from(error)
        };
        match rejected.iter_mut().find(|draft| is_about(error, draft)) {
            Some(draft) => draft.problems.push(problem),
            None => rejected.push(RejectedDraft {
                kind: error.object.kind.to_string(),
                name: error.object.name.clone(),
                problems: vec![problem],
            }),
        }
    }
    rejected
}

fn is_about(error: &CheckError, draft: &RejectedDraft) -> bool {
    error.object.name == draft.name && error.object.kind.to_string() == draft.kind
}
