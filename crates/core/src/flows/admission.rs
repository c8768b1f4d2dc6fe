//! Whether a new flow may be opened, has to wait, or is refused.
//!
//! A refusal is final and goes out at once: nothing of the flow was run anywhere. It says when to
//! come back, later the more flows wait, and spread so that the refused do not come back together.

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
    pub(super) fn admit(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: &Packet<B>,
    ) -> Result<(), Millis> {
        // The agent that redirected the flow has counted it.
        if let Arrival::Redirected(_) = packet.arrival {
            return Ok(());
        }
        let limits = self.services.new_flow_limits(service);
        let caller = packet.flow.caller.ip();
        let agents = self.agents_of(service);
        let service = self.services.id(service);
        self.rates.admit(now, service, caller, limits, agents)
    }

    /// Keeps the packet until there is room, or refuses it at once.
    pub(super) fn wait_or_refuse(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let is_full = self.queue.len() >= self.limits.queue;
        if is_full || !self.own.takes_new() {
            self.refuse(packet, ErrorKind::Overloaded, MIN_RETRY_AFTER, out);
            return;
        }
        self.queue.push(Waiting {
            packet,
            service: self.services.id(service),
            deadline: now.after(self.limits.queue_wait),
        });
    }

    /// Opens, hands or refuses what waits, in the order of arrival.
    pub(super) fn serve_queue(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        self.has_new_room = false;
        for _ in 0..self.queue.len() {
            if let Some(waiting) = self.queue.pop() {
                self.serve_waiting(now, waiting, out);
            }
        }
    }

    /// Serves the queue if a deadline has come or room was made.
    pub(super) fn serve_queue_if_due(&mut self, now: Millis, out: &mut Vec<Action<B>>) {
        let may_have_room = self.has_new_room && self.queue.len() > 0;
        if may_have_room || self.queue.is_due(now) {
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
        if self.own.takes_new() {
            self.queue.push(Waiting {
                packet,
                service,
                deadline,
            });
        } else {
            self.refuse(packet, ErrorKind::Overloaded, MIN_RETRY_AFTER, out);
        }
    }

    /// When a refused caller may come back: one second for each flow that waits for a slot.
    fn retry_after(&mut self, wait: Millis) -> Millis {
        let slots = u64::from(self.own.slots().max(1));
        let queued = self.queue.len() as u64 * 1_000 / slots;
        let least = (wait.0 + queued).clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0);
        Millis(self.rng.random_range(least..least * 2))
    }

    /// Agents among which the limits of a service are shared, this one included.
    fn agents_of(&self, service: ServiceKey) -> u32 {
        let others = self
            .peers
            .iter()
            .filter(|peer| peer.is_ready() && self.services.serves(service, peer.record.group));
        u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
    }
}
