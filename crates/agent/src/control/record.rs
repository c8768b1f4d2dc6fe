//! The record that this agent announces, and the inputs that it is computed from.
//!
//! The state depends on the target's announcement, on whether the traffic thread can connect to the
//! target, on an operator's drain request and on whether the process is stopping. The record
//! carries the most restrictive of the states that these imply.

use std::net::SocketAddr;

use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_target::announce::Announcement;

/// The record of this agent's target.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent input to the state"
)]
pub struct OwnRecord {
    id: TargetId,
    domain: DomainId,
    agent: SocketAddr,
    incarnation: u64,
    current: Option<TargetRecord>,
    announced: Option<Announcement>,
    is_drained: bool,
    is_reachable: bool,
    is_leaving: bool,
    is_dead: bool,
}

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changed {
    /// Whether the record changed.
    pub record: bool,
    /// Whether the target's address or slots changed.
    pub target: bool,
}

impl Changed {
    /// Whether anything changed.
    #[must_use]
    pub const fn any(self) -> bool {
        self.record || self.target
    }
}

impl OwnRecord {
    /// Starts without a record: there is none before the first announcement.
    #[must_use]
    pub const fn new(id: TargetId, domain: DomainId, agent: SocketAddr, incarnation: u64) -> Self {
        Self {
            id,
            domain,
            agent,
            incarnation,
            current: None,
            announced: None,
            is_drained: false,
            is_reachable: true,
            is_leaving: false,
            is_dead: false,
        }
    }

    /// The record to announce.
    #[must_use]
    pub const fn current(&self) -> Option<TargetRecord> {
        self.current
    }

    /// Records whether an operator drains the target.
    pub const fn set_drained(&mut self, on: bool) {
        self.is_drained = on;
    }

    /// Records whether the traffic thread can connect to the target.
    pub const fn set_reachable(&mut self, reachable: bool) {
        self.is_reachable = reachable;
    }

    /// Records that the process was asked to stop.
    pub const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the process was asked to stop.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Marks the target dead, because the process is about to exit.
    pub const fn set_dead(&mut self) {
        self.is_dead = true;
        if let Some(record) = &mut self.current {
            record.state = TargetState::Dead;
            record.sequence += 1;
        }
    }

    /// Updates the record from an announcement. `state` is the announced state after its lease is
    /// taken into account.
    pub fn update(&mut self, announcement: &Announcement, state: TargetState) -> Changed {
        let state = self.effective_state(state);
        let group = GroupId::of(&announcement.group);
        let slots = announcement.slots;
        let target = self.announced.as_ref().is_none_or(|old| {
            old.address != announcement.address || old.slots != announcement.slots
        });
        let record = self
            .current
            .is_none_or(|old| old.state != state || old.group != group || old.slots != slots);
        self.announced = Some(announcement.clone());
        if record {
            let sequence = self.current.map_or(1, |old| old.sequence + 1);
            self.current = Some(TargetRecord {
                id: self.id,
                group,
                domain: self.domain,
                agent: self.agent,
                slots,
                state,
                incarnation: self.incarnation,
                sequence,
            });
        }
        Changed { record, target }
    }

    /// Raises the record's version above `above`, an incarnation and sequence under which balancers
    /// hold it to be suspect or dead. Returns whether the version changed.
    pub const fn refute(&mut self, above: (u64, u64)) -> bool {
        let Some(record) = &mut self.current else {
            return false;
        };
        let (incarnation, sequence) = above;
        if record.incarnation > incarnation
            || record.incarnation == incarnation && record.sequence > sequence
        {
            return false;
        }
        record.incarnation = incarnation;
        record.sequence = sequence + 1;
        self.incarnation = incarnation;
        true
    }

    fn effective_state(&self, announced: TargetState) -> TargetState {
        if self.is_dead || announced == TargetState::Dead {
            return TargetState::Dead;
        }
        if self.is_leaving || self.is_drained {
            return TargetState::Draining;
        }
        if announced == TargetState::Ready && !self.is_reachable {
            return TargetState::Starting;
        }
        announced
    }
}
