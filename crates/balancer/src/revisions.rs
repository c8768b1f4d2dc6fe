//! The revision in force in this process, which only grows.

use std::sync::Arc;

use citronhollow_core::config::Revision;
use tokio::sync::watch;

/// Holds the highest revision that this process has seen and tells its subscribers.
#[derive(Clone, Debug)]
pub struct RevisionStore {
    latest: watch::Sender<Arc<Revision>>,
}

impl Default for RevisionStore {
    fn default() -> Self {
        Self {
            latest: watch::Sender::new(Arc::default()),
        }
    }
}

impl RevisionStore {
    /// Takes a revision over if it is newer than the one in force, and says whether it was.
    #[must_use = "update is spread further"]
    pub fn offer(&self, revision: Revision) -> bool {
        self.latest.send_if_modified(|latest| {
            let is_newer = revision.number > latest.number;
            if is_newer {
                *latest = Arc::new(revision);
            }
            is_newer
        })
    }

    /// The revision in force, number zero if there is none yet.
    #[must_use]
    pub fn latest(&self) -> Arc<Revision> {
        Arc::clone(&self.latest.borrow())
    }

    /// A receiver that sees every later change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Revision>> {
        self.latest.subscribe()
    }
}
