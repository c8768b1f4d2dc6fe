//! Eras of the service's data.
//!
//! A service that is restored from a backup has lost what was written since, and assigns the same
//! versions again to other changes. Each restore increases the era, which the service sends in a
//! header of all its responses. Versions read in one era, above all a version to watch from, are
//! therefore invalid in the next, and a process has to write its own objects again.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Number of an era. It never decreases.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Latest era that a client has seen, none until a response carries one.
#[derive(Debug)]
pub struct Eras {
    latest: watch::Sender<Option<Era>>,
    /// Whether any response has arrived, with or without an era.
    has_answered: watch::Sender<bool>,
}

impl Default for Eras {
    fn default() -> Self {
        Self {
            latest: watch::channel(None).0,
            has_answered: watch::channel(false).0,
        }
    }
}

impl Eras {
    /// Latest era seen.
    #[must_use]
    pub fn latest(&self) -> Option<Era> {
        *self.latest.borrow()
    }

    /// Notifications of each new era from now on.
    #[must_use]
    pub fn new_eras(&self) -> NewEras {
        NewEras {
            eras: self.latest.subscribe(),
            last_reported: self.latest(),
        }
    }

    /// Receiver of every change of the latest era from now on, including the first era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.latest.subscribe()
    }

    /// Waits for the first response. The latest era is known from then on.
    pub async fn first_answer(&self) {
        let mut has_answered = self.has_answered.subscribe();
        // The sender is a field of `self`, so the channel cannot be closed here.
        let _ = has_answered.wait_for(|has_answered| *has_answered).await;
    }

    /// Records the era of a response. Returns whether the response is valid: one of an earlier era
    /// than the latest is stale.
    #[must_use]
    pub fn on_answer(&self, era: Option<Era>) -> bool {
        self.has_answered
            .send_if_modified(|has_answered| !std::mem::replace(has_answered, true));
        let Some(era) = era else {
            return true;
        };
        self.latest.send_if_modified(|latest| {
            let is_later = latest.is_none_or(|latest| era > latest);
            if is_later {
                *latest = Some(era);
            }
            is_later
        });
        self.latest() == Some(era)
    }
}

/// Reports each increase of the era once to its owner.
#[derive(Debug)]
pub struct NewEras {
    eras: watch::Receiver<Option<Era>>,
    /// Latest era that was reported or known at the start.
    last_reported: Option<Era>,
}

impl NewEras {
    /// Waits for the next increase of the era. Increases since the last call are reported as one.
    /// The first era seen is not an increase, since no era was known before.
    ///
    /// Never returns after the client has been dropped.
    pub async fn next(&mut self) -> Era {
        loop {
            let latest = *self.eras.borrow_and_update();
            let before = std::mem::replace(&mut self.last_reported, latest);
            if let (Some(before), Some(latest)) = (before, latest)
                && latest > before
            {
                return latest;
            }
            if self.eras.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
