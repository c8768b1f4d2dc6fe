//! The record that this agent announces, and what it is made of.
//!
//! Several parties have a say in the state: the target by its announcement, the traffic thread by
//! what it finds when it connects, an operator who drains, and the process that stops. The record
//! carries the most careful of them.

use std::net::SocketAddr;

use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_target::announce::Announcement;

/// The own record.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is the say of another party"
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
    /// The record.
    pub record: bool,
    /// Where the target listens or how much it takes.
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
    /// No record yet: there is none before the first announcement.
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

    /// Takes an operator's word.
    pub const fn set_drained(&mut self, on: bool) {
        self.is_drained = on;
    }

    /// Takes the traffic thread's word.
    pub const fn set_reachable(&mut self, reachable: bool) {
        self.is_reachable = reachable;
    }

    /// The process is asked to stop.
    pub const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the process is asked to stop.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The process is about to exit.
    pub const fn set_dead(&mut self) {
        self.is_dead = true;
        if let Some(record) = &mut self.current {
            record.state = TargetState::Dead;
            record.sequence += 1;
        }
    }

    /// Brings the record in line with an announcement whose lease gives `state`.
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

    /// Raises the record above what balancers hold against it, and says whether it had to.
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
