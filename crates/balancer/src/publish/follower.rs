//! Watches the published index and applies its revisions.

use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{Index, Kind, SINGLETON_NAME};
use citronhollow_platform::client::decode;
use citronhollow_platform::published::{PublishedReader, ReadError, read_index};
use citronhollow_platform::{Changes, Client, PlatformError};
use log::{info, warn};
use rand::Rng;

use super::{FleetView, PublishSettings, is_watcher};
use crate::revisions::RevisionStore;

struct Follower<'a> {
    cfg: &'a PublishSettings,
    client: &'a Client,
    revisions: &'a RevisionStore,
    reader: PublishedReader,
    after: u64,
}

pub(super) async fn run(
    cfg: &PublishSettings,
    client: &Client,
    revisions: &RevisionStore,
    fleet: &impl Fn() -> FleetView,
) {
    let mut follower = Follower {
        cfg,
        client,
        revisions,
        reader: PublishedReader::default(),
        after: 0,
    };
    loop {
        if !is_watcher(fleet().rank) {
            tokio::time::sleep(cfg.poll_every.into()).await;
            continue;
        }
        if let Err(err) = follower.watch_once().await {
            warn!(
                "publish: {err}; revision {} stays in force",
                revisions.latest().number
            );
            tokio::time::sleep(jittered(cfg.poll_every)).await;
            follower.poll_once().await;
        }
    }
}

impl Follower<'_> {
    async fn watch_once(&mut self) -> Result<(), ReadError> {
        let kind = Kind::Published.to_string();
        let wait = self.cfg.watch_wait;
        match self.client.watch(&kind, self.after, wait).await {
            Ok(changes) => self.on_changes(changes).await,
            Err(PlatformError::TooOld { .. }) => self.list().await,
            Err(err) => Err(err.into()),
        }
    }

    async fn on_changes(&mut self, changes: Changes) -> Result<(), ReadError> {
        let latest = changes
            .changes
            .into_iter()
            .rfind(|change| change.name == SINGLETON_NAME);
        if let Some(value) = latest.and_then(|change| change.value) {
            let index = decode("published", SINGLETON_NAME, value)?;
            self.apply(&index).await?;
        }
        // Set only after the change was applied, so that the next watch returns a failed one again.
        self.after = changes.version;
        Ok(())
    }

    /// Reads the whole list after the platform has discarded the changes since the last watch.
    async fn list(&mut self) -> Result<(), ReadError> {
        let listing = self.client.list(&Kind::Published.to_string(), "").await?;
        if let Some(object) = listing
            .objects
            .into_iter()
            .find(|object| object.name == SINGLETON_NAME)
        {
            let index = decode("published", SINGLETON_NAME, object.value)?;
            self.apply(&index).await?;
        }
        self.after = listing.version;
        Ok(())
    }

    /// Reads the index without a watch, while watches fail.
    async fn poll_once(&mut self) {
        let outcome = match read_index(self.client).await {
            Ok(Some(index)) => self.apply(&index).await,
            Ok(None) => Ok(()),
            Err(err) => Err(err.into()),
        };
        if let Err(err) = outcome {
            warn!("publish: {err}");
        }
    }

    async fn apply(&mut self, index: &Index) -> Result<(), ReadError> {
        if index.number <= self.revisions.latest().number {
            return Ok(());
        }
        let revision = self.reader.load(self.client, index).await?;
        let number = revision.number;
        if self.revisions.offer(revision) {
            info!("publish: revision {number} is in force");
        }
        Ok(())
    }
}

/// A random duration between half of the span and all of it, so that watchers do not retry
/// simultaneously.
fn jittered(span: Millis) -> Duration {
    let ms = rand::rng().random_range(span.0 / 2..=span.0);
    Duration::from_millis(ms)
}
