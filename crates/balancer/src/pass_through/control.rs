//! The control thread of a balancer: configuration, the balancer's entry at the platform, and the
//! way to other balancers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use citronhollow_adapter::store::{self, Entries, Entry, Listed};
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::id::TargetId;
use citronhollow_core::pass_through::Abandoned;
use citronhollow_operator::decisions::{self, Decision, DecisionLog};
use citronhollow_peer::message::{RevisionReply, RevisionRequest};
use citronhollow_peer::{Body, Keyring, exchange};
use citronhollow_platform::pace::Pace;
use citronhollow_platform::presence::{self, Presence};
use citronhollow_platform::retry::Pause;
use citronhollow_platform::{Client, PlatformError};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use super::link::{Command, Event};

/// Pause before the next watch after a change was read, so that changes in quick succession cost one call.
/// Small against the seconds in which a configuration has to be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause after an accept that failed, which it does when the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time between two looks at the lists of balancers and agents. A process that starts makes itself
/// known to all others, so the lists only find what was missed.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The same while the platform does not answer or the own entry is missing: two looks make the entry
/// again, within 2 s of the platform's return.
const LIST_INTERVAL_UNSURE: Duration = Duration::from_millis(800);

/// Time between two looks for entries of processes that are gone for good. Processes that live are
/// heard many times in between.
const ABANDONED_INTERVAL: Millis = Millis::from_secs(60);

/// What the tasks of the control thread share.
#[derive(Clone)]
pub(super) struct Control {
    pub(super) name: String,
    pub(super) own_addr: SocketAddr,
    pub(super) client: Client,
    pub(super) keys: Keyring,
    pub(super) commands: UnboundedSender<Command>,
    /// The newest revision that this process has seen, from wherever.
    pub(super) newest: watch::Sender<Arc<Revision>>,
    pub(super) decisions: DecisionLog,
    /// This balancer's entry is at the platform.
    pub(super) is_listed: watch::Sender<bool>,
}

impl Control {
    /// Puts a revision in force if it is newer than the last.
    fn take(&self, revision: Revision) {
        let revision = Arc::new(revision);
        let is_newer = self.newest.send_if_modified(|newest| {
            let is_newer = revision.number > newest.number;
            if is_newer {
                *newest = Arc::clone(&revision);
            }
            is_newer
        });
        if is_newer {
            // The traffic thread is gone only while the process ends.
            let _ = self.commands.send(Command::Revision(revision));
        }
    }

    /// Follows the configuration at the platform for as long as the process runs.
    pub(super) async fn follow_config(mut self) {
        let mut at = None;
        let mut pace = Pace::default();
        loop {
            let read = match at {
                None => store::read_config(&self.client).await,
                Some(after) => store::watch_config(&self.client, after, pace.wait()).await,
            };
            match read {
                Ok(read) => {
                    if pace.on_answer() {
                        self.decisions
                            .write(Decision::new(decisions::Event::StoreAvailable));
                    }
                    at = Some(read.at);
                    if let Some(revision) = read.revision {
                        self.take(revision);
                        sleep(WATCH_PAUSE).await;
                    }
                }
                Err(err) => {
                    log::warn!("platform: configuration not read: {err}");
                    let (pause, is_lost) = pace.on_failure(&err);
                    if is_lost {
                        let decision = Decision::new(decisions::Event::StoreUnavailable);
                        self.decisions.write(decision.reason(&err));
                    }
                    at = at.filter(|_| !matches!(err, PlatformError::TooOld { .. }));
                    sleep(pause).await;
                }
            }
        }
    }

    /// Notes each return of the platform from a copy, for as long as the process runs.
    pub(super) async fn follow_eras(mut self) {
        let mut rises = self.client.eras().rises();
        loop {
            let era = rises.next().await;
            log::warn!("platform: it came back from a copy, era {era}");
            let decision = Decision::new(decisions::Event::StoreRestored);
            self.decisions.write(decision.reason(&era));
            self.is_listed.send_replace(false);
            let _ = self.commands.send(Command::DoubtLists);
        }
    }

    /// Keeps this balancer's entry at the platform and greets the others.
    pub(super) async fn follow_balancers(self) {
        let own = Entry {
            name: self.name.clone(),
            address: self.own_addr,
        };
        let mut presence = Presence::default();
        let mut may_be_stale = false;
        let mut was_written = false;
        presence::wait_until_answered(self.client.eras()).await;
        let mut rises = self.client.eras().rises();
        loop {
            if presence.is_due() {
                let written = if was_written {
                    store::rewrite(&self.client, Entries::Balancers, &own).await
                } else {
                    store::add(&self.client, Entries::Balancers, &own).await
                };
                match written {
                    Ok(()) => {
                        was_written = true;
                        presence.on_written();
                        self.is_listed.send_replace(true);
                    }
                    Err(err) => log::warn!("platform: own entry not written: {err}"),
                }
            }
            let mut interval = LIST_INTERVAL_UNSURE;
            match store::list_revised(&self.client, Entries::Balancers, may_be_stale).await {
                Ok(found) => {
                    may_be_stale = true;
                    let is_listed = found
                        .iter()
                        .any(|listed| listed.entry == own && listed.is_current());
                    presence.on_listed(is_listed);
                    if is_listed {
                        interval = LIST_INTERVAL;
                    }
                    let addrs = found.into_iter().map(|listed| listed.entry.address);
                    let _ = self.commands.send(Command::Balancers(addrs.collect()));
                }
                Err(err) => log::warn!("platform: balancers not listed: {err}"),
            }
            if let Ok(era) = timeout(interval, rises.next()).await {
                log::info!("platform: own entry is written again for era {era}");
                presence.on_rise();
                may_be_stale = false;
                sleep(presence::rewrite_pause()).await;
            }
        }
    }

    /// Looks for agents at the platform.
    ///
    /// Agents do the same as balancers: they write their own entry before they list the others. So of
    /// two processes that start at once, one at least sees the other. A list is complete only if it
    /// was read after this balancer's entry was written.
    pub(super) async fn follow_agents(self) {
        let mut may_be_stale = false;
        let mut pause = Pause::default();
        presence::wait_until_listed(&self.is_listed).await;
        loop {
            let is_listed = *self.is_listed.borrow();
            let listed = store::list_revised(&self.client, Entries::Agents, may_be_stale).await;
            let wait = match listed {
                Ok(found) => {
                    let is_whole = found.iter().all(Listed::is_current);
                    let listed = found
                        .into_iter()
                        .map(|Listed { entry, .. }| (TargetId::of(&entry.name), entry.address))
                        .collect();
                    let is_complete = is_listed && !may_be_stale && is_whole;
                    may_be_stale = is_listed;
                    let command = Command::Agents {
                        listed,
                        is_complete,
                    };
                    let _ = self.commands.send(command);
                    pause.reset();
                    LIST_INTERVAL
                }
                Err(err) => {
                    log::warn!("platform: agents not listed: {err}");
                    pause.after_failure()
                }
            };
            sleep(wait).await;
        }
    }

    /// Removes entries of processes that are gone for good, for as long as the process runs.
    pub(super) async fn remove_abandoned(self) {
        let mut kinds =
            [Entries::Balancers, Entries::Agents].map(|kind| (kind, Abandoned::default()));
        let mut rises = self.client.eras().rises();
        loop {
            if timeout(ABANDONED_INTERVAL.into(), rises.next())
                .await
                .is_ok()
            {
                for (_, abandoned) in &mut kinds {
                    abandoned.clear();
                }
                continue;
            }
            let (heard, answer) = oneshot::channel();
            let command = Command::Heard(ABANDONED_INTERVAL, heard);
            // The traffic thread is gone only while the process ends.
            let _ = self.commands.send(command);
            let Ok(Some(heard)) = answer.await else {
                for (_, abandoned) in &mut kinds {
                    abandoned.clear();
                }
                continue;
            };
            for (kind, abandoned) in &mut kinds {
                if let Err(err) = self.remove_unheard(*kind, abandoned, &heard).await {
                    log::warn!("platform: entries not looked through: {err}");
                }
            }
        }
    }

    async fn remove_unheard(
        &self,
        kind: Entries,
        abandoned: &mut Abandoned<Listed>,
        heard: &HashSet<SocketAddr>,
    ) -> Result<(), PlatformError> {
        let listed = store::list_revised(&self.client, kind, true).await?;
        let with_heard = listed.into_iter().map(|listed| {
            let is_heard = heard.contains(&listed.entry.address);
            (listed, is_heard)
        });
        for listed in abandoned.on_listing(with_heard) {
            let name = &listed.entry.name;
            log::info!("platform: {name} was not heard for long, its entry is removed");
            store::remove_listed(&self.client, kind, &listed).await?;
            if kind == Entries::Agents {
                store::remove_flows(&self.client, name).await?;
            }
        }
        Ok(())
    }

    /// Fetches newer revisions from other balancers, for when the platform cannot be reached.
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
                        Ok(revision) => self.take(revision),
                        Err(err) => log::warn!("peer: revision from {at} does not parse: {err}"),
                    }
                }
                Ok(_) => {}
                Err(err) => log::warn!("peer: no revision from {at}: {err}"),
            }
        }
    }

    /// Gives other balancers the newest revision.
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
