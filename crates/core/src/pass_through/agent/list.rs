//! The list of a target's flows, which outlives the machine.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::flow::FlowId;

use super::super::conn::{Conn, Stage};
use super::super::packet::{Reset, ResetReason};
use super::{Agent, AgentAction};

/// Flows that are younger are not listed: most of them are over before the list is written.
const LISTED_AGE_MIN: Millis = Millis(500);

/// Flows that are listed, about 80 bytes each, so that a list fits one object of the platform.
const LISTED_MAX: usize = 8_000;

/// Part of the flows, in percent, that may be missing in the list that is kept. Each missing one may
/// cost its caller a request if power is lost, and each list costs a write at the platform.
const MISSING_PERCENT_MAX: usize = 15;

/// Distance at which a kept sequence number is too old: half of the 76,800 around its last
/// acknowledgement in which a caller accepts a reset.
const SEQ_DRIFT_MAX: u32 = 38_400;

/// A flow in a [`FlowList`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedFlow {
    /// Both ends.
    #[serde(flatten)]
    pub flow: FlowId,
    /// Sequence number at which the caller accepted a reset when the list was made.
    pub seq: u32,
}

/// The flows of a target, to be kept where they outlive the machine.
///
/// A machine that loses its power loses its target's flows and the only list of them. Their
/// callers would learn of it from the requests that they lose.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowList {
    /// Start of the target that held them, as the time of day in ms.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The flows.
    pub flows: Vec<ListedFlow>,
}

impl FlowList {
    /// Whether this list should take the place of one that was kept before.
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
    /// The flows to be listed, none before the target's start is known.
    #[must_use]
    pub fn flow_list(&self, now: Millis) -> Option<FlowList> {
        let (_, heartbeat) = self.last_heartbeat?;
        let is_listed =
            |conn: &Conn| conn.stage == Stage::Open && now.since(conn.since) >= LISTED_AGE_MIN;
        let flows = self
            .conns
            .newest_first()
            .filter(|(_, conn)| is_listed(conn))
            .filter_map(|(flow, conn)| {
                let (flow, seq) = (*flow, conn.reset_seq()?);
                Some(ListedFlow { flow, seq })
            });
        Some(FlowList {
            started_at: heartbeat.started_at,
            flows: flows.take(LISTED_MAX).collect(),
        })
    }

    /// Takes the list that an earlier agent of the target left.
    ///
    /// If the target is still the one that the list is about, it holds these flows. If it was
    /// started since, nobody holds them, and their callers are reset.
    pub fn inherit(&mut self, now: Millis, list: FlowList, out: &mut Vec<AgentAction<B>>) {
        self.inherited = Some(list);
        self.apply_inherited(now, out);
    }

    pub(super) fn apply_inherited(&mut self, now: Millis, out: &mut Vec<AgentAction<B>>) {
        let Some((_, heartbeat)) = self.last_heartbeat else {
            return;
        };
        let Some(list) = self.inherited.take() else {
            return;
        };
        for ListedFlow { flow, seq } in list.flows {
            if self.conns.contains(&flow) {
                continue;
            }
            if heartbeat.started_at > list.started_at {
                let reason = ResetReason::TargetEnded;
                out.push(AgentAction::Reset(Reset { flow, seq, reason }));
            } else if heartbeat.started_at == list.started_at {
                let conn = Conn::new(now, Stage::Presumed, None);
                self.conns.insert(now, flow, conn);
            }
        }
    }
}
