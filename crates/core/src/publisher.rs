//! Publishing of the drafts at the platform as the next revision.
//!
//! Every process that may publish runs one [`Publisher`]. It is a state machine that takes
//! [`Event`]s with the time at which they happened and returns [`Action`]s. One part of it keeps
//! the lease, the other publishes while the lease is held. Each has at most one call in flight, so
//! that a renewal does not wait for a long publication.
//!
//! Publication is safe because of the platform's conditional updates (fencing), not because of the
//! lease. A holder first writes the index under its own epoch, and makes every later write
//! conditional on the version that it wrote last. A process that resumes after its lease was taken
//! over therefore cannot change anything, even if its clock is wrong. The lease only prevents two
//! processes from undoing each other's work.

use derive_more::Display;

use crate::clock::Millis;
use crate::config::Revision;

mod draft;
mod index;
mod lease;
mod notice;
mod objects;
mod publication;
mod report;
mod write;

pub use draft::{Document, Draft, documents_of, draft_name};
pub use index::{
    Content, Index, LoadError, MAX_INLINE_BYTES, MAX_PARTS, Parts, Reservation, TooLarge,
    part_name, split,
};
pub use lease::{HeldLease, Lease, LeaseTimes};
pub use notice::Notice;
pub use objects::{Answer, Call, Key, Kind, Listing, Object, SINGLETON_NAME};
pub use publication::PublicationTimes;
pub use report::{DraftChange, DraftStatus, Report, draft_status};
pub use write::{Stamp, Step, Write, stamp_of};

use lease::LeaseKeeper;
use publication::{FleetState, Outcome, Publication};

/// Settings of a publisher.
#[derive(Clone, Debug, Default)]
pub struct PublisherConfig {
    /// Name that is unique for each run of a process, so that its writes can be recognized.
    pub writer: String,
    /// Timing of the lease.
    pub lease: LeaseTimes,
    /// Timing and size limits of publishing.
    pub publication: PublicationTimes,
}

/// Identifies a call until it is answered.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("call {_0}")]
pub struct CallId(u64);

/// Input of a publisher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Drafts changed, or may have changed while no watch was running.
    DraftsChanged,
    /// This revision came into force in this process.
    InForce(Revision),
    /// Lowest revision that any live balancer or agent reports.
    LowestReported(u64),
    /// A call ended.
    Answered {
        /// The call.
        id: CallId,
        /// Result of the call.
        answer: Answer,
    },
    /// The process is about to exit.
    Stop,
}

/// Output of a publisher, to be carried out by its process.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call, and report its result with [`Event::Answered`].
    Call {
        /// Identity of the call.
        id: CallId,
        /// The call.
        call: Call,
        /// Deadline for sending the call. If it has passed, the call is not made, and is answered
        /// with [`Answer::NotRun`].
        not_after: Option<Millis>,
    },
    /// This revision was published.
    Published(Revision),
    /// Log this notice.
    Notice(Notice),
}

/// State machine by which one process takes part in publishing.
#[derive(Clone, Debug)]
pub struct Publisher {
    cfg: PublisherConfig,
    lease: LeaseKeeper,
    publication: Option<Publication>,
    fleet: FleetState,
    epoch: Option<u64>,
    last_id: u64,
    lease_call: Option<CallId>,
    publication_call: Option<CallId>,
    is_stopping: bool,
}

impl Publisher {
    /// Creates a publisher that holds no lease.
    #[must_use]
    pub fn new(cfg: PublisherConfig) -> Self {
        Self {
            lease: LeaseKeeper::new(cfg.writer.clone(), cfg.lease),
            cfg,
            publication: None,
            fleet: FleetState::default(),
            epoch: None,
            last_id: 0,
            lease_call: None,
            publication_call: None,
            is_stopping: false,
        }
    }

    /// Returns the lease if this process holds it.
    #[must_use]
    pub const fn held(&self) -> Option<HeldLease> {
        self.lease.held()
    }

    /// Returns whether [`Event::Stop`] was handled, the lease is released and no call of the lease
    /// is in flight.
    #[must_use]
    pub const fn is_stopped(&self) -> bool {
        self.is_stopping && self.lease.is_idle()
    }

    /// Handles an event and returns the actions that follow from it.
    #[must_use]
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        // A process that was paused must give up an expired lease before it handles anything else.
        self.lease.expire(now);
        let mut actions = Vec::new();
        self.sync_lease(now, &mut actions);
        self.apply(now, event);
        self.sync_lease(now, &mut actions);
        self.collect_outcomes(&mut actions);
        self.sync_lease(now, &mut actions);
        self.poll(now, &mut actions);
        actions
    }

    fn apply(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick => {}
            Event::DraftsChanged => {
                if let Some(publication) = &mut self.publication {
                    publication.on_drafts_changed(now);
                }
            }
            Event::InForce(revision) => self.fleet.in_force = revision,
            Event::LowestReported(number) => self.fleet.lowest_reported = number,
            Event::Answered { id, answer } => self.on_answer(now, id, answer),
            Event::Stop => {
                self.is_stopping = true;
                self.lease.stop();
            }
        }
    }

    fn on_answer(&mut self, now: Millis, id: CallId, answer: Answer) {
        if self.lease_call == Some(id) {
            self.lease_call = None;
            self.lease.on_answer(now, answer);
        } else if self.publication_call == Some(id) {
            self.publication_call = None;
            if let Some(publication) = &mut self.publication {
                publication.on_answer(now, answer, &self.fleet);
            }
        }
    }

    /// Starts a publication when the lease was acquired, and drops it when the lease was lost.
    fn sync_lease(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let epoch = self.lease.held().map(|held| held.epoch);
        if epoch == self.epoch {
            return;
        }
        if let Some(epoch) = self.epoch {
            actions.push(Action::Notice(Notice::LostLease { epoch }));
        }
        if let Some(epoch) = epoch {
            actions.push(Action::Notice(Notice::TookLease { epoch }));
        }
        self.epoch = epoch;
        self.publication_call = None;
        let writer = &self.cfg.writer;
        let times = self.cfg.publication;
        self.publication = epoch.map(|epoch| Publication::new(now, writer.clone(), epoch, times));
    }

    fn collect_outcomes(&mut self, actions: &mut Vec<Action>) {
        let Some(publication) = &mut self.publication else {
            return;
        };
        for outcome in publication.take_outcomes() {
            match outcome {
                Outcome::Notice(notice) => actions.push(Action::Notice(notice)),
                Outcome::Published(revision) => actions.push(Action::Published(revision)),
                Outcome::Superseded(epoch) => self.lease.yield_to(epoch),
            }
        }
    }

    fn poll(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.lease_call.is_none()
            && let Some(call) = self.lease.poll(now)
        {
            let id = self.next_id();
            self.lease_call = Some(id);
            let not_after = None;
            actions.push(Action::Call {
                id,
                call,
                not_after,
            });
        }
        if self.publication_call.is_some() || self.is_stopping {
            return;
        }
        let Some(publication) = &mut self.publication else {
            return;
        };
        if let Some(call) = publication.poll(now, &self.fleet) {
            let id = self.next_id();
            self.publication_call = Some(id);
            let not_after = self.lease.held().map(|held| held.valid_until);
            actions.push(Action::Call {
                id,
                call,
                not_after,
            });
        }
    }

    const fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }
}
