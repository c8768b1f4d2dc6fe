//! The bytes between the two ends of a flow.
//!
//! Bytes are taken from one end only when the other has room, so nothing is kept in between. A
//! target may response and then fail, by closing its connection with a part of the request unread
//! for example. What it had sent before still goes to the caller, and the reset follows.

use citronhollow_caller::endpoint::Endpoint;
use citronhollow_target::splice::{Progress, TargetStream};

/// Directions that wait for the target's connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Interest {
    pub(super) read: bool,
    pub(super) write: bool,
}

/// What is still to come from the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Response {
    /// Bytes or an end in order.
    #[default]
    Open,
    /// Nothing: it ended in order.
    Ended,
    /// Bytes that came before the connection failed.
    Failing,
    /// Nothing: the connection failed.
    Failed,
}

/// The bytes between the two ends.
#[derive(Debug, Default)]
pub(super) struct Pump {
    response: Response,
    is_request_done: bool,
    is_waiting: bool,
}

impl Pump {
    /// Whether both directions ended in order.
    pub(super) fn is_done(&self) -> bool {
        self.is_request_done && self.response == Response::Ended
    }

    /// Whether the target failed and the caller has got all that came from it.
    pub(super) fn is_broken(&self, endpoint: &Endpoint) -> bool {
        self.response == Response::Failed && endpoint.is_flushed()
    }

    /// Whether the caller spoke last, which means that the target has work to do.
    pub(super) const fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Moves bytes as far as they go.
    pub(super) fn pass(&mut self, endpoint: &mut Endpoint, target: &TargetStream) -> Interest {
        let write = self.pass_to_target(endpoint, target);
        let read = self.pass_to_caller(endpoint, target);
        Interest { read, write }
    }

    /// Returns whether bytes wait for room at the target.
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

    /// Returns whether there is room for bytes of the target.
    fn pass_to_caller(&mut self, endpoint: &mut Endpoint, target: &TargetStream) -> bool {
        while self.has_more() && endpoint.can_write() {
            let mut progress = Progress::Blocked;
            endpoint.write_with(|room| {
                progress = target.try_read(room);
                progress.passed()
            });
            match progress {
                Progress::Passed(_) => self.is_waiting = false,
                Progress::Blocked if !self.has_failed() => return true,
                Progress::Finished if !self.has_failed() => self.finish(endpoint),
                // A connection that failed once reads as if it had ended in order.
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

    /// Notes that no byte can go to the target any more.
    fn fail(&mut self) {
        self.response = match self.response {
            Response::Open | Response::Failing => Response::Failing,
            // All of the response is on its way already.
            Response::Ended | Response::Failed => Response::Failed,
        };
    }

    fn finish(&mut self, endpoint: &mut Endpoint) {
        endpoint.finish();
        self.response = Response::Ended;
        self.is_waiting = false;
    }
}
