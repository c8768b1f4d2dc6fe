//! Eras of the service's data.
//!
//! A service that comes back from a copy has lost what was written since, and gives out the same versions
//! anew for other changes. Each time it says so by a higher era, in a header of all its answers. So what was
//! read in one era, a version to watch from above all, says nothing in the next, and what a process keeps
//! at the service has to be written again.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Number of an era. It only rises.
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

/// The latest era that a client has seen, none while the service has named none.
#[derive(Debug)]
pub struct Eras {
    latest: watch::Sender<Option<Era>>,
    /// The service has answered, with an era or without.
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
    /// The latest era.
    #[must_use]
    pub fn latest(&self) -> Option<Era> {
        *self.latest.borrow()
    }

    /// NewEras from now on.
    #[must_use]
    pub fn new_eras(&self) -> NewEras {
        NewEras {
            eras: self.latest.subscribe(),
            noticed: self.latest(),
        }
    }

    /// Changes of the latest era, from now on.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.latest.subscribe()
    }

    /// Waits for the first answer, from which on the latest era is known.
    pub async fn first_answer(&self) {
        let mut has_answered = self.has_answered.subscribe();
        // The sender lives as long as this.
        let _ = has_answered.wait_for(|has_answered| *has_answered).await;
    }

    /// An answer came in an era. Returns whether it holds: one of an earlier era was overtaken.
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

/// NewEras of the era, each noticed once by whoever keeps this.
#[derive(Debug)]
pub struct NewEras {
    eras: watch::Receiver<Option<Era>>,
    /// The latest era that was noticed.
    noticed: Option<Era>,
}

impl NewEras {
    /// Waits for the next rise. NewEras that came since the last one, while nobody waited, are one. The first era
    /// that is seen is none, since nothing was known before.
    ///
    /// Never returns once the client is gone.
    pub async fn next(&mut self) -> Era {
        loop {
            let latest = *self.eras.borrow_and_update();
            let before = std::mem::replace(&mut self.noticed, latest);
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
