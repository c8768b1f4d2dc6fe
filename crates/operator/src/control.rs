//! The seam between the operator's HTTP and the control thread.
//!
//! The HTTP side sends a [`Request`] through a [`ControlHandle`] and waits for the reply; the
//! control thread takes requests from its end of the channel when it has time. Neither knows more
//! of the other, so each is tested against a fake of the other one.

use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use tokio::sync::{mpsc, oneshot};

use crate::documents::{Applied, ApplyRequest, Drafts};
use crate::failure::Failure;
use crate::status::{DrainStatus, Status};

/// Time within which the control thread must reply to what it can answer by itself. A drain waits
/// for the target's agent.
const OWN_DEADLINE: Duration = Duration::from_secs(8);

/// Time within which it must reply to what needs the platform.
const PLATFORM_DEADLINE: Duration = Duration::from_secs(30);

/// Requests that wait for the control thread at most.
const QUEUE: usize = 64;

/// Where a reply goes. It may be dropped when the operator has gone.
pub type Reply<T> = oneshot::Sender<Result<T, Failure>>;

/// What an operator asks of the control thread.
#[derive(Debug)]
pub enum Request {
    /// Report the status.
    Status(Reply<Status>),
    /// Drain a target, or stop doing so, and report it. Idempotent.
    Drain {
        /// The target as the operator named it; [`crate::status::target_id`] tells which it is.
        target: String,
        /// Whether it drains.
        on: bool,
        /// Gets the state that its agent reports after the request.
        reply: Reply<DrainStatus>,
    },
    /// Read the drafts with their states.
    Drafts(Reply<Drafts>),
    /// Apply documents to the drafts.
    Apply {
        /// The documents, and how they are applied.
        request: ApplyRequest,
        /// Gets what was changed.
        reply: Reply<Applied>,
    },
    /// Read the states of changes that were made before.
    States {
        /// The changes.
        changes: Vec<DraftChange>,
        /// Gets the state of each, in the same order.
        reply: Reply<Vec<DraftStatus>>,
    },
}

/// The operator's end of the channel.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::Sender<Request>,
}

/// A handle, and the control thread's end of its channel.
#[must_use]
pub fn channel() -> (ControlHandle, mpsc::Receiver<Request>) {
    let (tx, rx) = mpsc::channel(QUEUE);
    (ControlHandle { tx }, rx)
}

impl ControlHandle {
    /// The status of the process.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not.
    pub async fn status(&self) -> Result<Status, Failure> {
        self.ask(OWN_DEADLINE, Request::Status).await
    }

    /// Drains a target, or stops doing so.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not.
    pub async fn drain(&self, target: String, on: bool) -> Result<DrainStatus, Failure> {
        let request = |reply| Request::Drain { target, on, reply };
        self.ask(OWN_DEADLINE, request).await
    }

    /// The drafts with their states.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not.
    pub async fn drafts(&self) -> Result<Drafts, Failure> {
        self.ask(PLATFORM_DEADLINE, Request::Drafts).await
    }

    /// Applies documents to the drafts.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not. Some drafts may
    /// be written then; applying the same documents again finishes it.
    pub async fn apply(&self, request: ApplyRequest) -> Result<Applied, Failure> {
        let request = |reply| Request::Apply { request, reply };
        self.ask(PLATFORM_DEADLINE, request).await
    }

    /// The states of changes, in their order.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not.
    pub async fn states(&self, changes: Vec<DraftChange>) -> Result<Vec<DraftStatus>, Failure> {
        let request = |reply| Request::States { changes, reply };
        self.ask(PLATFORM_DEADLINE, request).await
    }

    async fn ask<T>(
        &self,
        deadline: Duration,
        request: impl FnOnce(Reply<T>) -> Request,
    ) -> Result<T, Failure> {
        let (tx, rx) = oneshot::channel();
        let exchange = async {
            let sent = self.tx.send(request(tx)).await;
            sent.map_err(|_| stopped())?;
            rx.await.map_err(|_| stopped())?
        };
        match tokio::time::timeout(deadline, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Failure::new(
                ErrorKind::Timeout,
                "the balancer did not come to an answer in time; ask again, or another balancer",
            )),
        }
    }
}

fn stopped() -> Failure {
    let message = "the balancer is stopping; ask another balancer";
    Failure::new(ErrorKind::Timeout, message)
}
