//! How often a peer is told where a flow is without having asked.

use crate::clock::Millis;
use crate::id::TargetId;

/// Time between two notices about one flow to one peer.
const NOTICE_INTERVAL: Millis = Millis::from_secs(1);

/// The last notice about a flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LastNotice {
    sent: Option<(TargetId, Millis)>,
}

impl LastNotice {
    /// Whether the peer should be told now, which counts as done.
    pub(super) fn is_due(&mut self, now: Millis, peer: TargetId) -> bool {
        let is_recent = self
            .sent
            .is_some_and(|(to, at)| to == peer && now.since(at) < NOTICE_INTERVAL);
        if !is_recent {
            self.sent = Some((peer, now));
        }
        !is_recent
    }
}
