//! Handover of redirects when an agent leaves.
//!
//! The redirects of a leaving agent are lost with it, and each of their flows would have to be
//! searched for again. The agent therefore sends each redirect to the agent that will receive the
//! flow's packets next, computed in the same way as by the balancers. Nothing depends on these
//! notices: a lost one costs a search.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::TargetId;
use crate::routes::{Member, PoolTable};

use super::Flows;
use super::packet::{Action, Holding};
use super::redirects::Redirect;
use super::services::PoolKey;

/// Maximum number of redirects that are handed over, the most recently used ones.
const MAX_NOTICES: usize = 1_024;

impl<B> Flows<B> {
    /// Hands over the redirects to the next owners. To be called once no flow is held, right before
    /// the agent exits.
    pub fn on_leave(&mut self, _now: Millis, out: &mut Vec<Action<B>>) {
        let before = out.len();
        let mut tables = Vec::new();
        for (flow, redirect) in self.redirects.newest_first().take(MAX_NOTICES) {
            if let Some(to) = self.next_owner(&mut tables, flow, redirect) {
                out.push(Action::Reply {
                    to,
                    flow: *flow,
                    holding: Holding::At(redirect.to),
                });
            }
        }
        self.counters.count(&out[before..]);
    }

    /// The agent that receives the flow's packets next. `None` if it is the holder itself or the
    /// redirect is no longer valid.
    fn next_owner(
        &self,
        tables: &mut Vec<(PoolKey, PoolTable)>,
        flow: &FlowId,
        redirect: &Redirect,
    ) -> Option<TargetId> {
        let service = self.services.at(flow.service)?;
        let is_current = self.services.id(service) == redirect.service;
        if !is_current || !self.peers.may_hold(redirect.to) {
            return None;
        }
        let pool = self.services.pool_for(service, flow);
        if !tables.iter().any(|(other, _)| *other == pool) {
            tables.push((pool, self.table_without_me(pool)));
        }
        let (_, table) = tables.iter().find(|(other, _)| *other == pool)?;
        let hash = flow.hash();
        let first = table.first_for_new(hash);
        let first = first.or_else(|| table.ranked(hash).next())?;
        let owner = table.members()[usize::from(first)].id;
        (owner != redirect.to).then_some(owner)
    }

    /// The balancers' table of a pool without this target.
    fn table_without_me(&self, pool: PoolKey) -> PoolTable {
        let members = self.peers.iter().filter(|peer| {
            peer.record.state.may_hold() && self.services.contains(pool, peer.record.group)
        });
        // The peers are sorted by ID, as the table requires.
        PoolTable::build(members.map(|peer| Member::from(&peer.record)).collect())
    }
}
