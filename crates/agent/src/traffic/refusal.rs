//! Refuses flows with an HTTP 503 response, for services that are configured so.
//!
//! A short-lived endpoint answers with status 503 and a `Retry-After` header. It never connects to
//! the target, so a refused request is certain not to have been processed.

use std::rc::Rc;

use bytes::Bytes;
use citronhollow_caller::endpoint::Stage;
use citronhollow_core::clock::Millis;
use citronhollow_core::flows::Packet;

use super::agent::Agent;
use super::flow::CallerSide;
use super::mailbox::Mailbox;

/// Largest number of concurrent refusals. Further callers get a reset, which needs no memory.
const REFUSALS_MAX: usize = 1_024;

/// Time to wait for the first bytes of the request before answering without them.
const REQUEST_TIMEOUT: Millis = Millis::from_secs(1);

/// Time after which the caller is reset.
const REFUSAL_TIMEOUT: Millis = Millis::from_secs(5);

/// Starts an endpoint that refuses the flow. Returns false if the packet is not an initial SYN,
/// [`REFUSALS_MAX`] is reached, or the endpoint does not accept the packet.
pub(super) fn open(agent: &Rc<Agent>, packet: &Packet<Bytes>, retry_after: Millis) -> bool {
    if !packet.segment.is_initial_syn() || agent.refusals.borrow().len() >= REFUSALS_MAX {
        return false;
    }
    let side = CallerSide::open(agent, packet);
    if side.endpoint.isn().is_none() {
        return false;
    }
    let mailbox = agent.refusals.borrow_mut().add(packet.flow);
    let task = RefusalTask {
        side,
        mailbox,
        retry_after,
        is_answered: false,
    };
    tokio::task::spawn_local(task.run());
    true
}

struct RefusalTask {
    side: CallerSide,
    mailbox: Rc<Mailbox>,
    retry_after: Millis,
    is_answered: bool,
}

impl RefusalTask {
    async fn run(mut self) {
        let start = self.side.agent.clock.now();
        let answer_at = start.after(REQUEST_TIMEOUT);
        self.run_until(answer_at, |side| side.endpoint.can_read())
            .await;
        self.answer();
        let end_at = start.after(REFUSAL_TIMEOUT);
        self.run_until(end_at, is_ended).await;
        self.end();
    }

    /// Runs the endpoint until `is_enough` returns true, until `at`, or until the flow has ended.
    async fn run_until(&mut self, at: Millis, is_enough: impl Fn(&CallerSide) -> bool) {
        let clock = self.side.agent.clock;
        loop {
            self.side.take_packets(&self.mailbox);
            self.discard_rest();
            self.side.poll();
            if is_enough(&self.side) || is_ended(&self.side) || clock.now() >= at {
                return;
            }
            tokio::select! {
                () = self.mailbox.wait() => {}
                () = self.side.due() => {}
                () = clock.sleep_until(at) => {}
            }
        }
    }

    fn answer(&mut self) {
        if self.side.endpoint.stage() != Stage::Established {
            return;
        }
        let answer = answer(self.retry_after);
        // The send buffer is empty and larger than the answer.
        self.side.endpoint.write(answer.as_bytes());
        self.side.endpoint.finish();
        self.is_answered = true;
    }

    /// Discards further bytes after the answer. An unread long request would fill the receive
    /// buffer, and the caller's FIN could not arrive.
    fn discard_rest(&mut self) {
        if !self.is_answered {
            return;
        }
        while self.side.endpoint.can_read() {
            self.side.endpoint.read_with(<[u8]>::len);
        }
    }

    fn end(mut self) {
        let flow = self.side.flow;
        let agent = Rc::clone(&self.side.agent);
        match self.side.endpoint.stage() {
            Stage::Lingering => agent.lingering.borrow_mut().add(agent.clock.now(), flow),
            Stage::Closed | Stage::Reset => {}
            Stage::HalfOpen | Stage::Established => {
                self.side.endpoint.abort();
                self.side.poll();
            }
        }
        agent
            .refusals
            .borrow_mut()
            .remove_exact(&flow, &self.mailbox);
    }
}

fn is_ended(side: &CallerSide) -> bool {
    matches!(
        side.endpoint.stage(),
        Stage::Lingering | Stage::Closed | Stage::Reset
    )
}

fn answer(retry_after: Millis) -> String {
    let secs = retry_after.0.div_ceil(1_000).max(1);
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n\
         Retry-After: {secs}\r\n\
         Content-Length: 0\r\n\
         Connection: close\r\n\r\n"
    )
}
