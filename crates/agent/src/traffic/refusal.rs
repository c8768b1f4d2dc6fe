//! The answer of a service whose callers are to be told that it is unavailable.
//!
//! A short-lived endpoint speaks just enough HTTP to say 503 with Retry-After. It never touches
//! the target, so a refused request was not run.

use std::rc::Rc;

use bytes::Bytes;
use citronhollow_caller::endpoint::Stage;
use citronhollow_core::clock::Millis;
use citronhollow_core::flows::Packet;

use super::agent::Agent;
use super::flow::CallerSide;
use super::mailbox::Mailbox;

/// Refusals under way. Beyond it callers get a reset, which needs no memory.
const REFUSALS_MAX: usize = 1_024;

/// Time that the caller has to send the head of its request before it is answered all the same.
const REQUEST_TIMEOUT: Millis = Millis::from_secs(1);

/// Time after which the caller is reset.
const REFUSAL_TIMEOUT: Millis = Millis::from_secs(5);

/// Opens an endpoint that refuses the flow, and returns whether it did.
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

    /// Runs the endpoint until `is_enough` says so, the time has come or the flow is gone.
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
        // The buffer is empty and the answer fits.
        self.side.endpoint.write(answer.as_bytes());
        self.side.endpoint.finish();
        self.is_answered = true;
    }

    /// Reads on after the answer, so that a long request does not hold back the caller's end.
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
