//! Packets on their way to a flow's task.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use citronhollow_core::flow::Segment;
use tokio::sync::Notify;

/// Packets kept for a task that has not run yet. What comes beyond is lost, and sent again by the
/// caller's TCP.
const PACKETS_MAX: usize = 64;

/// A packet for a flow's endpoint.
#[derive(Debug)]
pub(super) struct Delivery {
    /// What its TCP header says.
    pub(super) segment: Segment,
    /// The packet.
    pub(super) bytes: Bytes,
}

/// How a flow's task is told to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cancellation {
    /// The caller gets a reset.
    Reset,
    /// The caller gets nothing.
    Silent,
}

/// One task's mailbox. An empty one keeps no memory for packets.
#[derive(Debug, Default)]
pub(super) struct Mailbox {
    packets: RefCell<Vec<Delivery>>,
    cancellation: Cell<Option<Cancellation>>,
    notify: Notify,
}

impl Mailbox {
    /// Adds a packet, and returns whether there was room.
    pub(super) fn push(&self, delivery: Delivery) -> bool {
        let mut packets = self.packets.borrow_mut();
        if packets.len() >= PACKETS_MAX {
            return false;
        }
        packets.push(delivery);
        self.notify.notify_one();
        true
    }

    /// Takes every packet.
    pub(super) fn take(&self) -> Vec<Delivery> {
        self.packets.take()
    }

    /// Tells the task to end.
    pub(super) fn cancel(&self, cancellation: Cancellation) {
        self.cancellation.set(Some(cancellation));
        self.notify.notify_one();
    }

    /// Whether and how the task has to end.
    pub(super) fn cancellation(&self) -> Option<Cancellation> {
        self.cancellation.get()
    }

    /// Waits for a packet or a cancellation.
    pub(super) async fn wait(&self) {
        self.notify.notified().await;
    }
}
