//! List of a target's flows, stored where it survives a loss of the machine.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::flow::FlowId;

use super::super::conn::{Conn, Stage};
use super::super::packet::{Reset, ResetReason};
use super::{Agent, AgentAction};

/// Minimum age of a listed flow. Most younger flows are closed before the list is written.
const LISTED_AGE_MIN: Millis = Millis(500);

/// Maximum number of listed flows, about 80 bytes each, so that a list fits into one object of the
/// platform's store.
const LISTED_MAX: usize = 8_000;

/// Percentage of the flows that may be missing from the stored list. Each missing flow may cost its
/// caller a request after a power loss, whereas each update of the list costs a write to the
/// platform's store.
const MISSING_PERCENT_MAX: usize = 15;

/// Distance at which a stored sequence number is outdated: half of the window of 76,800 sequence
/// numbers around its last acknowledgement in which a caller accepts a RST.
const SEQ_DRIFT_MAX: u32 = 38_400;

/// Flow in a [`FlowList`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedFlow {
    /// Addresses of caller and service.
    #[serde(flatten)]
    pub flow: FlowId,
    /// Sequence number at which the caller accepted a RST when the list was made.
    pub seq: u32,
}

/// Flows of a target, stored where they survive a loss of the machine.
///
/// A machine that loses power loses its target's flows and the agent's record of them. Without the
/// list, the callers would notice only when their next requests are lost.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowList {
    /// Start of the target that held the flows, in ms since the Unix epoch.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Listed flows.
    pub flows: Vec<ListedFlow>,
}

impl FlowList {
    /// Whether this list differs enough from the stored one to replace it.
    #[must_use]
    pub fn replaces(&self, kept: &Self) -> bool {
        let known: HashMap<_, _> = kept
            .flows
            .iter()
            .map(|listed| (listed.flow, listed.seq))
            .collect();
        let is_missing = |listed: &&ListedFlow| {
            let seq = known.get(&listed.flow);
            seq.is_none_or(|seq| listed.seq.wrapping_sub(*seq) > SEQ_DRIFT_MAX)
        };
        let missing = self.flows.iter().filter(is_missing).count();
        self.started_at != kept.started_at || missing * 100 > self.flows.len() * MISSING_PERCENT_MAX
    }
}

impl<B: Clone> Agent<B> {
    /// Returns the flows to be listed, none before the target's running start is known.
    #[must_use]
    pub fn flow_list(&self, now: Millis) -> Option<FlowList> {
        let started_at = self.running_start()?;
        // A younger flow may be of the next start.
        let ran_until = self.starts.ran_until();
        let is_listed = |conn: &Conn| {
            let is_old =
                conn.is_opened_before(ran_until) && now.since(conn.since) >= LISTED_AGE_MIN;
            conn.stage == Stage::Open && is_old
        };
        let flows = self
            .conns
            .newest_first()
            .filter(|(_, conn)| is_listed(conn))
            .filter_map(|(flow, conn)| {
                let (flow, seq) = (*flow, conn.reset_seq()?);
                Some(ListedFlow { flow, seq })
            });
        Some(FlowList {
            started_at,
            flows: flows.take(LISTED_MAX).collect(),
        })
    }

    /// Applies the list left by an earlier agent of the target.
    ///
    /// If the target has not restarted since, it still holds these flows. Otherwise no target holds
    /// them, and their callers are reset once the other start is proved to run.
    pub fn inherit(&mut self, now: Millis, list: FlowList, out: &mut Vec<AgentAction<B>>) {
        self.inherited = Some(list);
        self.apply_inherited(now, out);
    }

    pub(super) fn apply_inherited(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let is_confirmed = self.starts.is_confirmed();
        let Some(list) = &mut self.inherited else {
            return;
        };
        if list.started_at == heartbeat.started_at {
            for ListedFlow { flow, seq } in list.flows.drain(..) {
                if !self.conns.contains(&flow) {
                    self.conns.insert(now, flow, Conn::listed(seq));
                }
            }
        } else if is_confirmed {
            let reason = ResetReason::TargetEnded;
            for ListedFlow { flow, seq } in list.flows.drain(..) {
                if !self.conns.contains(&flow) {
                    out.push(AgentAction::Reset(Reset { flow, seq, reason }));
                }
            }
            // Those that are tracked, because the listed start was heard before this one.
            self.reset_listed_flows(now, out);
        }
        if is_confirmed {
            self.inherited = None;
        }
    }
}
