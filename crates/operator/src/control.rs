//! Channel between the operator HTTP server and the control thread.
//!
//! The server sends a [`Request`] through a [`ControlHandle`] and waits for the reply; the control
//! thread receives requests from its end of the channel. Neither side depends on anything else of
//! the other, so that each can be tested against a fake.

use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use tokio::sync::{mpsc, oneshot};

use crate::documents::{Applied, ApplyRequest, Drafts};
use crate::failure::Failure;
use crate::status::{DrainStatus, Status};

/// Timeout of requests that need no call on the platform. A drain waits for the target's agent.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of requests that need calls on the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of requests queued for the control thread.
const QUEUE_CAPACITY: usize = 64;

/// Sender of a reply. Its receiver may be dropped because the operator has disconnected.
pub type Reply<T> = oneshot::Sender<Result<T, Failure>>;

/// Request of an operator to the control thread.
#[derive(Debug)]
pub enum Request {
    /// Reads the status.
    Status(Reply<Status>),
    /// Drains a target or ends its drain, and reads its state. Idempotent.
    Drain {
        /// Target as named by the operator, from which [`crate::status::target_id`] gets its
        /// identity.
        target: String,
        /// Whether to drain the target.
        on: bool,
        /// Receives the state that the agent reports after the request.
        reply: Reply<DrainStatus>,
    },
    /// Reads the drafts and their states.
    Drafts(Reply<Drafts>),
    /// Applies documents to the drafts.
    Apply {
        /// Documents and options.
        request: ApplyRequest,
        /// Receives the changes.
        reply: Reply<Applied>,
    },
    /// Reads the states of earlier changes.
    States {
        /// Changes.
        changes: Vec<DraftChange>,
        /// Receives the state of each change, in the same order.
        reply: Reply<Vec<DraftStatus>>,
    },
}

/// Operator side of the channel.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::Sender<Request>,
}

/// Creates a handle and the control thread's end of its channel.
#[must_use]
pub fn channel() -> (ControlHandle, mpsc::Receiver<Request>) {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    (ControlHandle { tx }, rx)
}

impl ControlHandle {
    /// Reads the status of the process.
    ///
    /// # Errors
    ///
    /// Error that the control thread returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn status(&self) -> Result<Status, Failure> {
        self.ask(LOCAL_TIMEOUT, Request::Status).await
    }

    /// Drains a target, or ends its drain.
    ///
    /// # Errors
    ///
    /// Error that the control thread returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn drain(&self, target: String, on: bool) -> Result<DrainStatus, Failure> {
        let request = |reply| Request::Drain { target, on, reply };
        self.ask(LOCAL_TIMEOUT, request).await
    }

    /// Reads the drafts and their states.
    ///
    /// # Errors
    ///
    /// Error that the control thread returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn drafts(&self) -> Result<Drafts, Failure> {
        self.ask(PLATFORM_TIMEOUT, Request::Drafts).await
    }

    /// Applies documents to the drafts.
    ///
    /// # Errors
    ///
    /// Error that the control thread returns, or [`ErrorKind::Timeout`] if it does not answer. Some
    /// drafts may be written in that case; applying the same documents again completes the rest.
    pub async fn apply(&self, request: ApplyRequest) -> Result<Applied, Failure> {
        let request = |reply| Request::Apply { request, reply };
        self.ask(PLATFORM_TIMEOUT, request).await
    }

    /// Reads the states of changes, in the order given.
    ///
    /// # Errors
    ///
    /// Error that the control thread returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn states(&self, changes: Vec<DraftChange>) -> Result<Vec<DraftStatus>, Failure> {
        let request = |reply| Request::States { changes, reply };
        self.ask(PLATFORM_TIMEOUT, request).await
    }

    async fn ask<T>(
        &self,
        limit: Duration,
        request: impl FnOnce(Reply<T>) -> Request,
    ) -> Result<T, Failure> {
        let (tx, rx) = oneshot::channel();
        let exchange = async {
            let sent = self.tx.send(request(tx)).await;
            sent.map_err(|_| stopped())?;
            rx.await.map_err(|_| stopped())?
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Failure::new(
                ErrorKind::Timeout,
                "the balancer did not answer in time; retry, or ask another balancer",
            )),
        }
    }
}

fn stopped() -> Failure {
    let message = "the balancer is stopping; ask another balancer";
    Failure::new(ErrorKind::Timeout, message)
}
