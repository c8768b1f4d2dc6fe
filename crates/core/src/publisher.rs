//! Publishing: how drafts at the platform become the next revision.
//!
//! Every process that may publish runs one [`Publisher`]. It is a state machine: [`Event`]s go in
//! with the time at which they happened, [`Action`]s come out. One lane of it keeps the lease, the
//! other publishes while the lease is held; each has at most one call under way, so that a renewal
//! does not wait for a long publication.
//!
//! What makes a publication safe is the platform's conditional update, not the lease. A holder
//! first writes the index under its own epoch, and every later write asks for the version that it
//! wrote last. A process that wakes up after its lease was taken over therefore cannot change
//! anything, whatever its clock says. The lease only keeps two processes from undoing each other's
//! work.

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
use publication::{Outcome, Publication, Surroundings};

/// Settings of a publisher.
#[derive(Clone, Debug, Default)]
pub struct PublisherConfig {
    /// Unique for each run of a process, so that its writes can be recognised.
    pub writer: String,
    /// Times of the lease.
    pub lease: LeaseTimes,
    /// Times of publishing.
    pub publication: PublicationTimes,
}

/// Names a call until its answer is there.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("call {_0}")]
pub struct CallId(u64);

/// What happens to a publisher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Drafts changed, or may have while nobody watched.
    DraftsChanged,
    /// The revision in force in this process.
    InForce(Revision),
    /// Lowest revision that any balancer or agent known to be alive reports.
    LowestReported(u64),
    /// A call ended.
    Answered {
        /// Which call.
        id: CallId,
        /// How it ended.
        answer: Answer,
    },
    /// The process is about to end.
    Stop,
}

/// What a publisher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call, and tell its end with [`Event::Answered`].
    Call {
        /// Names the call.
        id: CallId,
        /// The call.
        call: Call,
        /// If the clock has passed this when the call is about to be made, it is not made but
        /// answered with [`Answer::NotRun`].
        not_after: Option<Millis>,
    },
    /// This revision is published.
    Published(Revision),
    /// Worth a line of the log.
    Notice(Notice),
}

/// One process's part in publishing.
#[derive(Clone, Debug)]
pub struct Publisher {
    cfg: PublisherConfig,
    lease: LeaseKeeper,
    publication: Option<Publication>,
    surroundings: Surroundings,
    epoch: Option<u64>,
    last_id: u64,
    lease_call: Option<CallId>,
    publication_call: Option<CallId>,
    is_stopping: bool,
}

impl Publisher {
    /// A publisher that holds no lease yet.
    #[must_use]
    pub fn new(cfg: PublisherConfig) -> Self {
        Self {
            lease: LeaseKeeper::new(cfg.writer.clone(), cfg.lease),
            cfg,
            publication: None,
            surroundings: Surroundings::default(),
            epoch: None,
            last_id: 0,
            lease_call: None,
            publication_call: None,
            is_stopping: false,
        }
    }

    /// The lease, if this process holds it.
    #[must_use]
    pub const fn held(&self) -> Option<HeldLease> {
        self.lease.held()
    }

    /// Whether nothing is left to do after [`Event::Stop`].
    #[must_use]
    pub const fn is_stopped(&self) -> bool {
        self.is_stopping && self.lease.is_idle()
    }

    /// Takes an event.
    #[must_use]
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        // A process that was paused gives up what lapsed before it looks at anything else.
        self.lease.expire(now);
        let mut actions = Vec::new();
        self.follow_lease(now, &mut actions);
        self.take(now, event);
        self.follow_lease(now, &mut actions);
        self.collect_outcomes(&mut actions);
        self.follow_lease(now, &mut actions);
        self.poll(now, &mut actions);
        actions
    }

    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick => {}
            Event::DraftsChanged => {
                if let Some(publication) = &mut self.publication {
                    publication.on_drafts_changed(now);
                }
            }
            Event::InForce(revision) => self.surroundings.in_force = revision,
            Event::LowestReported(number) => self.surroundings.lowest_reported = number,
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
                publication.on_answer(now, answer, &self.surroundings);
            }
        }
    }

    /// Starts publishing with a new lease, and drops everything with a lost one.
    fn follow_lease(&mut self, now: Millis, actions: &mut Vec<Action>) {
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
        if let Some(call) = publication.poll(now, &self.surroundings) {
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
