//! Queue of packets for a flow's task.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use citronhollow_core::flow::Segment;
use tokio::sync::Notify;

/// Largest number of packets queued for a task that has not run yet. Further packets are dropped
/// and retransmitted by the caller's TCP.
const PACKETS_MAX: usize = 64;

/// A packet for a flow's endpoint.
#[derive(Debug)]
pub(super) struct Delivery {
    /// The parsed TCP header.
    pub(super) segment: Segment,
    /// The raw packet.
    pub(super) bytes: Bytes,
}

/// How a flow's task ends when it is cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cancellation {
    /// The caller gets a reset.
    Reset,
    /// Nothing is sent to the caller.
    Silent,
}

/// The mailbox of one task. It allocates no memory for packets while it is empty.
#[derive(Debug, Default)]
pub(super) struct Mailbox {
    packets: RefCell<Vec<Delivery>>,
    cancellation: Cell<Option<Cancellation>>,
    notify: Notify,
}

impl Mailbox {
    /// Adds a packet, and returns whether there was space for it.
    pub(super) fn push(&self, delivery: Delivery) -> bool {
        let mut packets = self.packets.borrow_mut();
        if packets.len() >= PACKETS_MAX {
            return false;
        }
        packets.push(delivery);
        self.notify.notify_one();
        true
    }

    /// Takes all packets out of the mailbox.
    pub(super) fn take(&self) -> Vec<Delivery> {
        self.packets.take()
    }

    /// Makes the task end.
    pub(super) fn cancel(&self, cancellation: Cancellation) {
        self.cancellation.set(Some(cancellation));
        self.notify.notify_one();
    }

    /// How the task must end, if it was cancelled.
    pub(super) fn cancellation(&self) -> Option<Cancellation> {
        self.cancellation.get()
    }

    /// Waits for a packet or a cancellation.
    pub(super) async fn wait(&self) {
        self.notify.notified().await;
    }
}
