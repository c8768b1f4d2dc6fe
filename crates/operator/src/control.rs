//! The seam between the operator's HTTP and the control thread.
//!
//! The HTTP side sends a [`Request`] through a [`ControlHandle`] and waits for the reply; the
//! control thread takes requests from its end of the channel when it has time. Neither knows more
//! of the other, so each is tested against a fake of the other one.

use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use tokio::sync::{mpsc, oneshot};

use crate::failure::Failure;
use crate::status::{Status, TargetStatus};

/// Time within which the control thread must reply.
const REPLY_DEADLINE: Duration = Duration::from_secs(5);

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
        /// The target.
        target: TargetId,
        /// Whether it drains.
        on: bool,
        /// Gets the target as its agent reports it after the request.
        reply: Reply<TargetStatus>,
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
        self.ask(Request::Status).await
    }

    /// Drains a target, or stops doing so.
    ///
    /// # Errors
    ///
    /// What the control thread answers, or [`ErrorKind::Timeout`] if it does not.
    pub async fn drain(&self, target: TargetId, on: bool) -> Result<TargetStatus, Failure> {
        self.ask(|reply| Request::Drain { target, on, reply }).await
    }

    async fn ask<T>(&self, request: impl FnOnce(Reply<T>) -> Request) -> Result<T, Failure> {
        let (tx, rx) = oneshot::channel();
        let exchange = async {
            let sent = self.tx.send(request(tx)).await;
            sent.map_err(|_| stopped())?;
            rx.await.map_err(|_| stopped())?
        };
        match tokio::time::timeout(REPLY_DEADLINE, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Failure::new(
                ErrorKind::Timeout,
                "the control thread did not answer in time; try again, then replace the balancer",
            )),
        }
    }
}

fn stopped() -> Failure {
    let message = "the balancer is stopping; ask another balancer";
    Failure::new(ErrorKind::Timeout, message)
}
