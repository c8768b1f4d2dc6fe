//! State shared by the tasks of the traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use citronhollow_caller::endpoint;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Refusal;
use citronhollow_core::flow::FlowId;
use citronhollow_core::flows::{Flows, peers_per_report};
use citronhollow_core::hash;
use citronhollow_core::id::TargetId;
use citronhollow_operator::metrics::Metrics;
use citronhollow_peer::{Body, Codec, Envelope, MAX_DATAGRAM};
use citronhollow_target::splice;
use tokio::sync::mpsc::UnboundedSender;

use super::datagrams::Datagrams;
use super::lingering::Lingering;
use super::tasks::Tasks;
use crate::link::{ControlCommand, TrafficStats};

/// Monotonic time since the start of the thread.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(super) fn now(self) -> Millis {
        self.start.elapsed().into()
    }

    /// Waits until `at`.
    pub(super) async fn sleep_until(self, at: Millis) {
        let at = self.start + std::time::Duration::from(at);
        tokio::time::sleep_until(at.into()).await;
    }
}

/// State that outlives a single flow.
pub(super) struct Agent {
    pub(super) me: TargetId,
    pub(super) clock: Clock,
    pub(super) next_report: Cell<Millis>,
    pub(super) next_to_report: Cell<usize>,
    pub(super) datagrams: Datagrams,
    pub(super) fabric: Vec<SocketAddr>,
    pub(super) codec: Codec,
    pub(super) flows: RefCell<Flows<Bytes>>,
    pub(super) tasks: RefCell<Tasks>,
    pub(super) refusals: RefCell<Tasks>,
    pub(super) lingering: RefCell<Lingering>,
    pub(super) peers: RefCell<HashMap<TargetId, SocketAddr>>,
    pub(super) refusal_by_service: RefCell<HashMap<SocketAddr, Refusal>>,
    pub(super) target: Cell<Option<SocketAddr>>,
    pub(super) is_target_reachable: Cell<bool>,
    pub(super) control: UnboundedSender<ControlCommand>,
    pub(super) stats: Arc<TrafficStats>,
    pub(super) metrics: Metrics,
    pub(super) endpoint_settings: endpoint::Settings,
    pub(super) target_settings: splice::Settings,
    pub(super) seed: u64,
    pub(super) seeds_drawn: Cell<u64>,
    pub(super) frame: RefCell<BytesMut>,
    pub(super) packets: RefCell<Vec<Vec<u8>>>,
}

impl Agent {
    /// Returns a seed for a flow, different for every flow of every agent.
    pub(super) fn draw_seed(&self) -> u64 {
        let drawn = self.seeds_drawn.get();
        self.seeds_drawn.set(drawn + 1);
        hash::pair(self.seed, drawn)
    }

    /// Queues a packet to the caller, by way of the fabric address that the flow's hash selects.
    pub(super) fn send_to_caller(&self, flow: &FlowId, packet: &[u8]) {
        let count = self.fabric.len() as u64;
        let Some(index) = flow.hash().checked_rem(count) else {
            return;
        };
        let fabric = self.fabric[usize::try_from(index).unwrap_or(0)];
        let lost = self.datagrams.send_soon(packet, fabric);
        self.stats.count_unsent(lost);
    }

    /// Sends a message to a peer. Counted as unsent if the peer's address is unknown.
    pub(super) fn send_to_peer(&self, to: TargetId, body: Body) {
        let addr = self.peers.borrow().get(&to).copied();
        match addr {
            Some(addr) => self.send_message(addr, body),
            None => self.stats.count_unsent(1),
        }
    }

    /// Sends the load to the next peers in round-robin order.
    pub(super) fn send_load(&self, body: &Body) {
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|(id, _)| **id != self.me);
        let others: Vec<SocketAddr> = others.map(|(_, addr)| *addr).collect();
        let count = peers_per_report(others.len());
        let first = self.next_to_report.get();
        for addr in others.iter().cycle().skip(first).take(count) {
            self.send_message(*addr, body.clone());
        }
        self.next_to_report
            .set((first + count) % others.len().max(1));
    }

    /// Notifies the control thread when the target starts or stops accepting connections.
    pub(super) fn set_target_reachable(&self, is_reachable: bool) {
        if self.is_target_reachable.replace(is_reachable) == is_reachable {
            return;
        }
        let command = ControlCommand::TargetReachable(is_reachable);
        // Sending fails only when the control thread has ended, while the process exits.
        let _ = self.control.send(command);
    }

    fn send_message(&self, to: SocketAddr, body: Body) {
        let mut frame = self.frame.borrow_mut();
        frame.clear();
        self.codec.seal(&Envelope::from(body), &mut frame);
        if frame.len() > MAX_DATAGRAM {
            self.stats.count_unsent(1);
            return;
        }
        self.send(&frame, to);
    }

    fn send(&self, datagram: &[u8], to: SocketAddr) {
        if !self.datagrams.send(datagram, to) {
            self.stats.count_unsent(1);
        }
    }
}
