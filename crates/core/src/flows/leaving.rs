//! What an agent tells its peers when it leaves.
//!
//! A leaving agent takes its redirects along, and every flow among them would be searched for
//! again. It therefore tells each redirect to the agent that gets the flow's packets next, worked
//! out as the balancers work it out. Nothing depends on these notices: one that is lost costs a
//! search.

use crate::clock::Millis;
use crate::flow::FlowId;
use crate::id::TargetId;
use crate::routes::{Member, PoolTable};

use super::Flows;
use super::packet::{Action, Holding};
use super::redirects::Redirect;
use super::services::PoolKey;

/// Redirects that are told, the ones used last.
const MAX_TOLD: usize = 1_024;

impl<B> Flows<B> {
    /// The agent ends now: hands its redirects over. To be called once no flow is held.
    pub fn on_leave(&mut self, _now: Millis, out: &mut Vec<Action<B>>) {
        let before = out.len();
        let mut tables = Vec::new();
        for (flow, redirect) in self.redirects.newest_first().take(MAX_TOLD) {
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

    /// The agent that gets the flow's packets next, if it is not the holder itself.
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

    /// The balancers' table of a pool once this target is gone.
    fn table_without_me(&self, pool: PoolKey) -> PoolTable {
        let members = self.peers.iter().filter(|peer| {
            peer.record.state.may_hold() && self.services.contains(pool, peer.record.group)
        });
        // The peers are in the order of identities, which the table needs.
        PoolTable::build(members.map(|peer| Member::from(&peer.record)).collect())
    }
}
