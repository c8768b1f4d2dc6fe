//! The control thread of a balancer: configuration, the balancer's entry at the platform, and the
//! discovery of other balancers and agents.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use citronhollow_adapter::store::{self, Entry, EntryKind, Listed, Version};
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::id::TargetId;
use citronhollow_core::pass_through::Abandoned;
use citronhollow_operator::decisions::{self, Decision, DecisionLog};
use citronhollow_peer::datagram::log_unusable;
use citronhollow_peer::message::{RevisionReply, RevisionRequest};
use citronhollow_peer::{Body, Keyring, exchange};
use citronhollow_platform::registration::{self, Registration};
use citronhollow_platform::retry::RetryDelay;
use citronhollow_platform::watch_schedule::WatchSchedule;
use citronhollow_platform::{Client, PlatformError};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::link::{Command, Event};

/// Pause between reading a change and the next watch, so that changes in quick succession cost one
/// call. It is small compared with the seconds within which a configuration has to be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a failed accept, which usually means that the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Interval between reads of the lists of balancers and agents. A process that starts announces
/// itself to all others, so the lists only reveal processes whose announcement was missed.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time between two lists that the traffic thread requests, so that one call serves many
/// searches.
const LIST_GAP_MIN: Duration = Duration::from_millis(200);

/// List interval while the platform does not answer or this balancer's entry is missing. Two reads
/// restore the entry, within 2 s of the platform becoming available again.
const LIST_INTERVAL_UNLISTED: Duration = Duration::from_millis(800);

/// Interval between checks for entries of processes that are gone for good. A live process sends
/// many messages within it.
const ABANDONED_INTERVAL: Millis = Millis::from_secs(60);

/// State shared by the tasks of the control thread.
#[derive(Clone)]
pub(super) struct Control {
    /// This balancer's entry.
    pub(super) own: Entry,
    pub(super) client: Client,
    pub(super) keys: Keyring,
    pub(super) commands: UnboundedSender<Command>,
    /// The newest revision received from the platform or from another balancer.
    pub(super) newest: watch::Sender<Arc<Revision>>,
    pub(super) decisions: DecisionLog,
    /// Version of this balancer's entry at the platform, `None` while it may be missing.
    pub(super) registered: watch::Sender<Option<Version>>,
}

impl Control {
    /// Puts a revision in force if it is newer than the latest one.
    fn apply_revision(&self, revision: Revision) {
        let revision = Arc::new(revision);
        let is_newer = self.newest.send_if_modified(|newest| {
            let is_newer = revision.number > newest.number;
            if is_newer {
                *newest = Arc::clone(&revision);
            }
            is_newer
        });
        if is_newer {
            // Sending fails only while the process ends and the traffic thread has stopped.
            let _ = self.commands.send(Command::Revision(revision));
        }
    }

    /// Watches the configuration at the platform until the process ends.
    pub(super) async fn follow_config(mut self) {
        let mut at = None;
        let mut schedule = WatchSchedule::default();
        loop {
            let read = match at {
                None => store::read_config(&self.client).await,
                Some(after) => store::watch_config(&self.client, after, schedule.wait()).await,
            };
            match read {
                Ok(read) => {
                    if schedule.on_answer() {
                        self.decisions
                            .write(Decision::new(decisions::Event::StoreAvailable));
                    }
                    at = Some(read.at);
                    if let Some(revision) = read.revision {
                        self.apply_revision(revision);
                        sleep(WATCH_PAUSE).await;
                    }
                }
                Err(err) => {
                    log::warn!("platform: configuration not read: {err}");
                    let (delay, is_lost) = schedule.on_failure(&err);
                    if is_lost {
                        let decision = Decision::new(decisions::Event::StoreUnavailable);
                        self.decisions.write(decision.reason(&err));
                    }
                    at = at.filter(|_| !matches!(err, PlatformError::TooOld { .. }));
                    sleep(delay).await;
                }
            }
        }
    }

    /// Handles each restoration of the store from a backup, until the process ends.
    pub(super) async fn follow_eras(mut self) {
        let mut new_eras = self.client.eras().new_eras();
        loop {
            let era = new_eras.next().await;
            log::warn!("platform: the store was restored from a backup, era {era}");
            let decision = Decision::new(decisions::Event::StoreRestored);
            self.decisions.write(decision.reason(&era));
            self.registered.send_replace(None);
            let _ = self.commands.send(Command::InvalidateLists);
        }
    }

    /// Maintains this balancer's entry at the platform and reports the listed balancers.
    pub(super) async fn follow_balancers(self) {
        let mut registration = Registration::default();
        let mut may_be_stale = false;
        registration::wait_until_answered(self.client.eras()).await;
        let mut new_eras = self.client.eras().new_eras();
        loop {
            if registration.needs_write() {
                match store::register(&self.client, EntryKind::Balancers, &self.own).await {
                    Ok(version) => {
                        registration.on_written();
                        self.registered.send_replace(Some(version));
                    }
                    Err(err) => log::warn!("platform: own entry not written: {err}"),
                }
            }
            let mut interval = LIST_INTERVAL_UNLISTED;
            match store::list_with_revisions(&self.client, EntryKind::Balancers, may_be_stale).await
            {
                Ok(found) => {
                    may_be_stale = true;
                    let is_listed = found
                        .iter()
                        .any(|listed| listed.entry == self.own && listed.is_current());
                    registration.on_listed(is_listed);
                    if is_listed {
                        interval = LIST_INTERVAL;
                    }
                    let addrs = found.into_iter().map(|listed| listed.entry.address);
                    let _ = self.commands.send(Command::Balancers(addrs.collect()));
                }
                Err(err) => log::warn!("platform: balancers not listed: {err}"),
            }
            if let Ok(era) = timeout(interval, new_eras.next()).await {
                log::info!("platform: own entry is written again for era {era}");
                registration.on_new_era();
                may_be_stale = false;
                sleep(registration::rewrite_jitter()).await;
            }
        }
    }

    /// Reads the list of agents at the platform until the process ends, at intervals and at the
    /// request of the traffic thread.
    ///
    /// Agents and balancers both write their own entry before they list the others, so of two
    /// processes that start at once, at least one sees the other. A list is complete only if it
    /// was read after this balancer's entry was written.
    pub(super) async fn follow_agents(self, mut requests: watch::Receiver<Option<Millis>>) {
        let mut was_listed = false;
        let mut answered = None;
        let mut retry_delay = RetryDelay::default();
        registration::wait_until_registered(&self.registered).await;
        loop {
            let is_listed = self.registered.borrow().is_some();
            let request = *requests.borrow_and_update();
            let may_be_stale = was_listed && request == answered;
            let era = self.client.eras().latest();
            let listed_at = Instant::now();
            let listed =
                store::list_with_revisions(&self.client, EntryKind::Agents, may_be_stale).await;
            let wait = match listed {
                Ok(found) => {
                    // Agents may be missing right after the store was restored from a backup.
                    let has_restored = found.iter().any(Listed::is_restored);
                    let is_restored = self.client.eras().latest() != era;
                    let command = Command::Agents {
                        listed: agents(found),
                        is_complete: is_listed && !may_be_stale && !has_restored,
                        requested_at: request.filter(|_| !may_be_stale && !is_restored),
                    };
                    let _ = self.commands.send(command);
                    (was_listed, answered) = (is_listed, request);
                    retry_delay.reset();
                    LIST_INTERVAL
                }
                Err(err) => {
                    log::warn!("platform: agents not listed: {err}");
                    retry_delay.after_failure()
                }
            };
            // Waiting for a request fails only while the process ends and the traffic thread has
            // stopped.
            if let Ok(Ok(())) = timeout(wait, requests.changed()).await {
                sleep_until(listed_at + LIST_GAP_MIN).await;
            }
        }
    }

    /// Removes the entries of processes that are gone for good, until the process ends.
    pub(super) async fn remove_abandoned(self) {
        let mut kinds =
            [EntryKind::Balancers, EntryKind::Agents].map(|kind| (kind, Abandoned::default()));
        let mut new_eras = self.client.eras().new_eras();
        loop {
            if timeout(ABANDONED_INTERVAL.into(), new_eras.next())
                .await
                .is_ok()
            {
                for (_, abandoned) in &mut kinds {
                    abandoned.clear();
                }
                continue;
            }
            let (reply, answer) = oneshot::channel();
            let command = Command::ActiveProcesses(ABANDONED_INTERVAL, reply);
            // Sending fails only while the process ends and the traffic thread has stopped.
            let _ = self.commands.send(command);
            let Ok(Some(active)) = answer.await else {
                for (_, abandoned) in &mut kinds {
                    abandoned.clear();
                }
                continue;
            };
            for (kind, abandoned) in &mut kinds {
                if let Err(err) = self.remove_inactive(*kind, abandoned, &active).await {
                    log::warn!("platform: entries not checked for inactive processes: {err}");
                }
            }
        }
    }

    async fn remove_inactive(
        &self,
        kind: EntryKind,
        abandoned: &mut Abandoned<Listed>,
        active: &HashSet<SocketAddr>,
    ) -> Result<(), PlatformError> {
        let listed = store::list_with_revisions(&self.client, kind, true).await?;
        let with_activity = listed.into_iter().map(|listed| {
            let is_active = active.contains(&listed.entry.address);
            (listed, is_active)
        });
        for listed in abandoned.on_listing(with_activity) {
            let name = &listed.entry.name;
            log::info!("platform: {name} has been inactive for too long, its entry is removed");
            let is_gone = store::remove_listed(&self.client, kind, &listed).await?;
            if is_gone && kind == EntryKind::Agents {
                store::remove_flows(&self.client, name, None).await?;
            }
        }
        Ok(())
    }

    /// Fetches newer revisions from other balancers, in case the platform is unavailable.
    pub(super) async fn fetch_revisions(self, mut events: UnboundedReceiver<Event>) {
        while let Some(Event::NewerRevision { at, number }) = events.recv().await {
            let known = self.newest.borrow().number;
            if number <= known {
                continue;
            }
            let body = Body::RevisionRequest(RevisionRequest { known });
            match exchange::request(at, self.keys.clone(), body).await {
                Ok(Body::RevisionReply(reply)) if !reply.json.is_empty() => {
                    match serde_json::from_slice(&reply.json) {
                        Ok(revision) => self.apply_revision(revision),
                        Err(err) => log_unusable(self.client.unusable(), at, "revision", &err),
                    }
                }
                Ok(_) => {}
                Err(err) => log::warn!("peer: no revision from {at}: {err}"),
            }
        }
    }

    /// Serves the newest revision to other balancers.
    pub(super) async fn serve_revisions(self, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let newest = self.newest.subscribe();
            let keys = self.keys.clone();
            tokio::spawn(async move {
                let answer = async |body| reply_to(&body, &newest.borrow());
                if let Err(err) = exchange::serve(stream, keys, answer).await {
                    log::debug!("peer: request from {from} failed: {err}");
                }
            });
        }
    }
}

/// Targets of the listed agents, and the agents' addresses.
fn agents(listed: Vec<Listed>) -> Vec<(TargetId, SocketAddr)> {
    let entries = listed.into_iter().map(|listed| listed.entry);
    entries
        .map(|entry| (TargetId::of(&entry.name), entry.address))
        .collect()
}

fn reply_to(body: &Body, newest: &Revision) -> Option<Body> {
    let Body::RevisionRequest(request) = body else {
        return None;
    };
    let is_newer = newest.number > request.known;
    let json = if is_newer {
        serde_json::to_vec(newest).ok()?
    } else {
        Vec::new()
    };
    Some(Body::RevisionReply(RevisionReply {
        json,
        deltas_json: Vec::new(),
    }))
}
