//! The revision in force in this process. Its number never decreases.

use std::sync::Arc;

use citronhollow_core::config::Revision;
use tokio::sync::watch;

/// Holds the highest revision that this process has seen and notifies subscribers of changes.
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
    /// Puts a revision in force if it is newer than the current one, and returns whether it was.
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

    /// The revision in force, with number zero if there is none yet.
    #[must_use]
    pub fn latest(&self) -> Arc<Revision> {
        Arc::clone(&self.latest.borrow())
    }

    /// A receiver that is notified of later changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Revision>> {
        self.latest.subscribe()
    }
}
