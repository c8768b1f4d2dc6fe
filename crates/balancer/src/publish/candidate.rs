//! Runs the publisher's state machine: makes its calls and feeds it events.

use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{
    Action, Answer, Call, CallId, Event, Kind, LeaseTimes, Publisher, PublisherConfig,
};
use citronhollow_platform::{Client, PlatformError};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior};

use super::{FleetView, PublishSettings, WATCHERS, is_watcher};
use crate::revisions::RevisionStore;

/// Rank at which a candidate stops being one. It is higher than [`WATCHERS`] as hysteresis, so that
/// small changes of the fleet do not move the lease.
const DEMOTION_RANK: usize = 2 * WATCHERS;

/// Time limit for releasing the lease at a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn run(
    cfg: &PublishSettings,
    client: &Client,
    revisions: &RevisionStore,
    fleet: &impl Fn() -> FleetView,
    mut stop: watch::Receiver<bool>,
) {
    let start = Instant::now();
    for session in 1_u64.. {
        while !is_watcher(fleet().rank) {
            tokio::select! {
                () = tokio::time::sleep(cfg.poll_every.into()) => {}
                () = is_true(&mut stop) => return,
            }
        }
        let mut session = Session::new(cfg, client, revisions, start, session, fleet());
        let is_over = session.run(fleet, &mut stop).await;
        if is_over {
            return;
        }
    }
}

/// One period in which this balancer is a candidate.
struct Session<'a> {
    cfg: &'a PublishSettings,
    client: &'a Client,
    revisions: &'a RevisionStore,
    start: Instant,
    publisher: Publisher,
    last_fleet: FleetView,
    drafts: Option<AbortHandle>,
    drafts_tx: mpsc::Sender<()>,
    drafts_rx: mpsc::Receiver<()>,
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        self.unwatch_drafts();
    }
}

impl<'a> Session<'a> {
    fn new(
        cfg: &'a PublishSettings,
        client: &'a Client,
        revisions: &'a RevisionStore,
        start: Instant,
        session: u64,
        fleet: FleetView,
    ) -> Self {
        let rank = u64::try_from(fleet.rank).unwrap_or(u64::MAX);
        let takeover_delay = Millis(cfg.takeover_delay_per_rank.0.saturating_mul(rank));
        let publisher = Publisher::new(PublisherConfig {
            writer: format!("{}/{session}", cfg.writer),
            lease: LeaseTimes {
                takeover_delay,
                ..cfg.lease
            },
            publication: cfg.publication,
        });
        let (drafts_tx, drafts_rx) = mpsc::channel(1);
        Self {
            cfg,
            client,
            revisions,
            start,
            publisher,
            last_fleet: FleetView::default(),
            drafts: None,
            drafts_tx,
            drafts_rx,
        }
    }

    /// Runs until the balancer stops (`true`) or is no longer a candidate (`false`).
    async fn run(
        &mut self,
        fleet: &impl Fn() -> FleetView,
        stop: &mut watch::Receiver<bool>,
    ) -> bool {
        let mut calls = FuturesUnordered::new();
        let mut ticks = tokio::time::interval(self.cfg.tick_every.into());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut update = self.revisions.subscribe();
        update.mark_changed();
        let mut stop_by = None;
        let mut is_stop = false;
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                Some(event) = calls.next() => event,
                Some(()) = self.drafts_rx.recv() => Event::DraftsChanged,
                Ok(()) = update.changed() => {
                    let revision = update.borrow_and_update().clone();
                    Event::InForce(revision.as_ref().clone())
                }
                () = is_true(stop), if !is_stop => {
                    is_stop = true;
                    Event::Stop
                }
            };
            let is_demoted = fleet().rank >= DEMOTION_RANK;
            let must_stop = stop_by.is_none() && (is_stop || is_demoted);
            let stopping = must_stop.then_some(Event::Stop);
            if must_stop {
                stop_by = Some(Instant::now() + STOP_TIMEOUT);
            }
            let lowest = self.lowest_reported(fleet());
            for event in [Some(event), lowest, stopping].into_iter().flatten() {
                for (id, call, not_after) in self.handle(event) {
                    calls.push(make_call(self.client, self.start, id, call, not_after));
                }
            }
            let is_late = stop_by.is_some_and(|by| Instant::now() >= by);
            if self.publisher.is_stopped() || is_late {
                return is_stop;
            }
        }
    }

    fn lowest_reported(&mut self, fleet: FleetView) -> Option<Event> {
        let is_new = fleet.lowest_reported != self.last_fleet.lowest_reported;
        self.last_fleet = fleet;
        is_new.then_some(Event::LowestReported(fleet.lowest_reported))
    }

    fn handle(&mut self, event: Event) -> Vec<(CallId, Call, Option<Millis>)> {
        let mut calls = Vec::new();
        for action in self.publisher.handle(now(self.start), event) {
            match action {
                Action::Call {
                    id,
                    call,
                    not_after,
                } => calls.push((id, call, not_after)),
                Action::Published(revision) => {
                    let _ = self.revisions.offer(revision);
                }
                Action::Notice(notice) => info!("publisher: {notice}"),
            }
        }
        match (self.publisher.held(), &self.drafts) {
            (Some(_), None) => self.watch_drafts(),
            (None, Some(_)) => self.unwatch_drafts(),
            _ => {}
        }
        calls
    }

    fn watch_drafts(&mut self) {
        let watching = watch_drafts(
            self.cfg.clone(),
            self.client.clone(),
            self.drafts_tx.clone(),
        );
        self.drafts = Some(tokio::spawn(watching).abort_handle());
    }

    fn unwatch_drafts(&mut self) {
        if let Some(task) = self.drafts.take() {
            task.abort();
        }
    }
}

fn now(start: Instant) -> Millis {
    Millis::from(start.elapsed())
}

async fn make_call(
    client: &Client,
    start: Instant,
    id: CallId,
    call: Call,
    not_after: Option<Millis>,
) -> Event {
    // The process may have been suspended since the publisher decided on the call.
    let is_late = not_after.is_some_and(|limit| now(start) >= limit);
    let answer = if is_late {
        Answer::NotRun
    } else {
        client.run(call).await
    };
    Event::Answered { id, answer }
}

/// Signals every change of the drafts, and every failure during which changes may have been missed.
async fn watch_drafts(cfg: PublishSettings, client: Client, tx: mpsc::Sender<()>) {
    let kind = Kind::Draft.to_string();
    let mut after = 0;
    loop {
        match client.watch(&kind, after, cfg.watch_wait).await {
            Ok(changes) if changes.changes.is_empty() => continue,
            Ok(changes) => after = changes.version,
            Err(PlatformError::TooOld { .. }) => match client.list(&kind, "").await {
                Ok(listing) => after = listing.version,
                Err(err) => warn!("publisher: {err}"),
            },
            Err(err) => {
                warn!("publisher: {err}; polling the drafts instead");
                tokio::time::sleep(cfg.poll_every.into()).await;
            }
        }
        // A full channel already holds a wake-up.
        let _ = tx.try_send(());
    }
}

/// Waits until the value is true, or forever if its sender is dropped.
async fn is_true(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}
