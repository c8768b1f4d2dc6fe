//! Counters of decisions.

use super::packet::{Action, DropReason, Relay};

/// Totals since the start, each counting one kind of [`Action`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Flows opened here.
    pub opened: u64,
    /// Packets delivered to endpoints.
    pub delivered: u64,
    /// SYNs redirected to peers.
    pub redirected: u64,
    /// Packets passed to peers.
    pub passed: u64,
    /// Questions sent to peers.
    pub asked: u64,
    /// Answers and unsolicited notices sent to peers.
    pub replied: u64,
    /// Refused flows, including resets of unknown flows.
    pub refused: u64,
    /// Endpoints closed by the agent.
    pub closed: u64,
    /// Drops of [`DropReason::WrongService`].
    pub dropped_wrong_service: u64,
    /// Drops of [`DropReason::UnknownLimit`].
    pub dropped_unknown_limit: u64,
    /// Drops of [`DropReason::HopLimit`].
    pub dropped_hop_limit: u64,
    /// Drops of [`DropReason::Stale`].
    pub dropped_stale: u64,
    /// Drops of [`DropReason::Waiting`].
    pub dropped_waiting: u64,
    /// Drops of [`DropReason::Unanswered`].
    pub dropped_unanswered: u64,
}

impl Counters {
    pub(super) fn count<B>(&mut self, actions: &[Action<B>]) {
        for action in actions {
            *self.sum_of(action) += 1;
        }
    }

    fn sum_of<B>(&mut self, action: &Action<B>) -> &mut u64 {
        match action {
            Action::Open { .. } => &mut self.opened,
            Action::Deliver { .. } => &mut self.delivered,
            Action::Send {
                relay: Relay::Redirect,
                ..
            } => &mut self.redirected,
            Action::Send {
                relay: Relay::Pass, ..
            } => &mut self.passed,
            Action::Ask { .. } => &mut self.asked,
            Action::Reply { .. } => &mut self.replied,
            Action::Refuse { .. } => &mut self.refused,
            Action::Close { .. } => &mut self.closed,
            Action::Drop { reason } => self.sum_of_drops(*reason),
        }
    }

    fn sum_of_drops(&mut self, reason: DropReason) -> &mut u64 {
        match reason {
            DropReason::WrongService => &mut self.dropped_wrong_service,
            DropReason::UnknownLimit => &mut self.dropped_unknown_limit,
            DropReason::HopLimit => &mut self.dropped_hop_limit,
            DropReason::Stale => &mut self.dropped_stale,
            DropReason::Waiting => &mut self.dropped_waiting,
            DropReason::Unanswered => &mut self.dropped_unanswered,
        }
    }
}
