//! Copies bytes between the two ends of a flow.
//!
//! Bytes are read from one end only when the other has buffer space, so nothing is buffered in
//! between. A target may respond and then fail, for example by closing its connection with a part
//! of the request unread. What it has sent before still goes to the caller, followed by a reset.

use citronhollow_caller::endpoint::Endpoint;
use citronhollow_target::splice::{Progress, TargetStream};

/// Directions that are blocked on the target's connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Interest {
    pub(super) read: bool,
    pub(super) write: bool,
}

/// State of the target's response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Response {
    /// More bytes or a normal end may come.
    #[default]
    Open,
    /// Ended normally.
    Ended,
    /// The connection failed, but bytes received before that are still to be read.
    Failing,
    /// The connection failed, and nothing is left to read.
    Failed,
}

/// Progress of both directions of a flow.
#[derive(Debug, Default)]
pub(super) struct Pump {
    response: Response,
    is_request_done: bool,
    is_waiting: bool,
}

impl Pump {
    /// Whether both directions ended normally.
    pub(super) fn is_done(&self) -> bool {
        self.is_request_done && self.response == Response::Ended
    }

    /// Whether the target failed and the caller has received everything that it had sent.
    pub(super) fn is_broken(&self, endpoint: &Endpoint) -> bool {
        self.response == Response::Failed && endpoint.is_flushed()
    }

    /// Whether the last bytes came from the caller, which means that the target is processing a
    /// request.
    pub(super) const fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Copies bytes in both directions until each would block.
    pub(super) fn pass(&mut self, endpoint: &mut Endpoint, target: &TargetStream) -> Interest {
        let write = self.pass_to_target(endpoint, target);
        let read = self.pass_to_caller(endpoint, target);
        Interest { read, write }
    }

    /// Returns whether bytes wait for the target's connection to become writable.
    fn pass_to_target(&mut self, endpoint: &mut Endpoint, target: &TargetStream) -> bool {
        while !self.has_failed() && endpoint.can_read() {
            let mut progress = Progress::Blocked;
            endpoint.read_with(|bytes| {
                progress = target.try_write(bytes);
                progress.passed()
            });
            match progress {
                Progress::Passed(_) => self.is_waiting = true,
                Progress::Blocked => return true,
                Progress::Finished | Progress::Failed => self.fail(),
            }
        }
        if !self.is_request_done && endpoint.is_read_finished() {
            target.finish();
            self.is_request_done = true;
        }
        false
    }

    /// Returns whether to wait for the target's connection to become readable.
    fn pass_to_caller(&mut self, endpoint: &mut Endpoint, target: &TargetStream) -> bool {
        while self.has_more() && endpoint.can_write() {
            let mut progress = Progress::Blocked;
            endpoint.write_with(|buf| {
                progress = target.try_read(buf);
                progress.passed()
            });
            match progress {
                Progress::Passed(_) => self.is_waiting = false,
                Progress::Blocked if !self.has_failed() => return true,
                Progress::Finished if !self.has_failed() => self.finish(endpoint),
                // After a failure, reading the connection looks like a normal end.
                Progress::Blocked | Progress::Finished | Progress::Failed => {
                    self.response = Response::Failed;
                }
            }
        }
        false
    }

    fn has_more(&self) -> bool {
        matches!(self.response, Response::Open | Response::Failing)
    }

    fn has_failed(&self) -> bool {
        matches!(self.response, Response::Failing | Response::Failed)
    }

    /// Records that the target accepts no more bytes.
    fn fail(&mut self) {
        self.response = match self.response {
            Response::Open | Response::Failing => Response::Failing,
            // The complete response was already passed on.
            Response::Ended | Response::Failed => Response::Failed,
        };
    }

    fn finish(&mut self, endpoint: &mut Endpoint) {
        endpoint.finish();
        self.response = Response::Ended;
        self.is_waiting = false;
    }
}
