//! Where a packet of a running flow goes that is not held here.

use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::id::TargetId;

use super::Flows;
use super::packet::{Action, Packet, Relay};
use super::services::ServiceKey;

/// Agents that may pass a packet on.
const MAX_HOPS: u32 = 4;

impl<B> Flows<B> {
    /// Decides about a packet that opens nothing and belongs to no endpoint here.
    pub(super) fn on_ongoing(
        &mut self,
        now: Millis,
        service: ServiceKey,
        packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        if let Some(redirect) = self.usable_redirect(service, &packet) {
            self.redirects.touch(now, &packet.flow);
            self.send(redirect.to, Relay::Pass, packet, out);
            return;
        }
        if let Some(to) = self.next_in_chain(&packet) {
            self.send(to, Relay::Pass, packet, out);
            return;
        }
        out.push(Action::Refuse {
            packet,
            kind: ErrorKind::UnknownFlow,
            retry_after: Millis::ZERO,
        });
    }

    /// Sends a packet to a peer, its chain without the two agents.
    pub(super) fn send(
        &self,
        to: TargetId,
        relay: Relay,
        mut packet: Packet<B>,
        out: &mut Vec<Action<B>>,
    ) {
        let me = self.me;
        packet.chain.retain(|other| *other != to && *other != me);
        out.push(Action::Send { to, relay, packet });
    }

    fn next_in_chain(&self, packet: &Packet<B>) -> Option<TargetId> {
        if !may_pass(packet) {
            return None;
        }
        let sender = packet.arrival.sender();
        packet
            .chain
            .iter()
            .copied()
            .find(|id| *id != self.me && Some(*id) != sender && self.peers.may_hold(*id))
    }
}

pub(super) fn may_pass<B>(packet: &Packet<B>) -> bool {
    packet.hops < MAX_HOPS
}
