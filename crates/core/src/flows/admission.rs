//! Admission of new flows: open, wait or refuse.
//!
//! A refusal is final and sent at once, as no part of the flow was processed. It carries a retry
//! time that grows with the number of waiting flows and has jitter, so that refused callers don't
//! retry all at once.

use rand::Rng;

use crate::clock::Millis;
use crate::error::ErrorKind;

use super::packet::{Action, Arrival, DropReason, Packet};
use super::queue::Waiting;
use super::services::ServiceKey;
use super::{Flows, drop_for};

const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

impl<B> Flows<B> {
    /// Counts a new flow against the limits of its service and its caller.
    ///
    /// # Errors
    ///
    /// The time until the next flow is allowed, if a limit is exceeded.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: &Packet<B>,
    ) -> Result<(), Millis> {
        // Already counted by the agent that redirected the flow.
        if let Arrival::Redirected(_) = packet.arrival {
            return Ok(());
        }
        let limits = self.services.new_flow_limits(service);
        let caller = packet.flow.caller.ip();
        let agents = self.agents_of(service);
        let service = self.services.id(service);
        self.rates.admit(now, service, caller, limits, agents)
    }

    /// Queues the packet until there is capacity, or refuses it at once.
    pub(super) fn wait_or_refuse(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let is_full = self.queue.len() >= self.limits.queue;
        if is_full || !self.local.takes_new() {
            self.refuse(packet, ErrorKind::Overloaded, MIN_RETRY_AFTER, out);
            return;
        }
        self.queue.push(Waiting {
            packet,
            service: self.services.id(service),
            deadline: now.after(self.limits.queue_timeout),
        });
    }

    /// Opens, redirects or refuses the waiting flows in the order of arrival. Flows without
    /// capacity keep waiting.
    pub(super) fn serve_queue(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        self.has_new_capacity = false;
        for _ in 0..self.queue.len() {
            if let Some(waiting) = self.queue.pop() {
                self.serve_waiting(now, waiting, out);
            }
        }
    }

    /// Serves the queue if a deadline has passed or capacity may have become available.
    pub(super) fn serve_queue_if_due(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let may_have_capacity = self.has_new_capacity && self.queue.len() > 0;
        if may_have_capacity || self.queue.is_due(now) {
            self.serve_queue(now, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        packet: Packet<B>,
        kind: ErrorKind,
        wait: Millis,
        out: &mut Vec<Action<B>>,
    ) {
        let retry_after = self.retry_after(wait);
        out.push(Action::Refuse {
            packet,
            kind,
            retry_after,
        });
    }

    fn serve_waiting(&mut self, now: Millis, waiting: Waiting<B>, out: &mut Vec<Action<B>>) {
        let service = self.services.at(waiting.packet.flow.service);
        let service = service.filter(|key| self.services.id(*key) == waiting.service);
        let Some(service) = service.filter(|key| self.serves(*key)) else {
            drop_for(DropReason::WrongService, out);
            return;
        };
        if waiting.deadline <= now {
            let kind = ErrorKind::Overloaded;
            self.refuse(waiting.packet, kind, MIN_RETRY_AFTER, out);
            return;
        }
        if let Some(packet) = self.steer(now, service, waiting.packet, out) {
            self.keep_waiting(packet, waiting.service, waiting.deadline, out);
        }
    }

    fn keep_waiting(
        &mut self,
        packet: Packet<B>,
        service: crate::id::ServiceId,
        deadline: Millis,
        out: &mut Vec<Action<B>>,
    ) {
        if self.local.takes_new() {
            self.queue.push(Waiting {
                packet,
                service,
                deadline,
            });
        } else {
            self.refuse(packet, ErrorKind::Overloaded, MIN_RETRY_AFTER, out);
        }
    }

    /// Time after which a refused caller may retry: `wait` plus one second for each waiting flow
    /// per slot, between 1 s and 30 s, and then a random value from that to twice as much.
    fn retry_after(&mut self, wait: Millis) -> Millis {
        let slots = u64::from(self.local.slots().max(1));
        let queued = self.queue.len() as u64 * 1_000 / slots;
        let least = (wait.0 + queued).clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0);
        Millis(self.rng.random_range(least..least * 2))
    }

    /// Number of agents that share the limits of a service, including this one.
    fn agents_of(&self, service: ServiceKey) -> u32 {
        let others = self
            .peers
            .iter()
            .filter(|peer| peer.is_ready() && self.services.serves(service, peer.record.group));
        u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
    }
}
