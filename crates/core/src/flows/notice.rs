//! Rate limit on unsolicited notices that tell a peer where a flow is.

use crate::clock::Millis;
use crate::id::TargetId;

/// Minimum time between two notices about one flow to one peer.
const NOTICE_INTERVAL: Millis = Millis::from_secs(1);

/// The last notice that was sent about a flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LastNotice {
    sent: Option<(TargetId, Millis)>,
}

impl LastNotice {
    /// Whether a notice to the peer is due now. If so, records it as sent.
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
