//! The lease that makes one process at a time the publisher.
//!
//! The holder renews the lease object by conditional updates. The clocks of processes are not
//! synchronized, so the other processes poll the object's version. Once it has not changed for the
//! TTL stated in the lease, measured on their own clock, the TTL has passed on the holder's clock
//! as well, and they take the lease over with the next epoch, on condition of that version. The
//! holder counts the TTL from when it sent the write, and gives the lease up a margin earlier. It
//! checks its clock before every step, so that a process that was paused gives up the lease before
//! it acts.

use serde::{Deserialize, Serialize};

use super::objects::{Answer, Call, Key, Kind, Object};
use super::write::{Stamp, Step, Write};
use crate::clock::Millis;

/// Content of the lease object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Stamp of the holder's write.
    pub stamp: Stamp,
    /// Epoch, which increases with every change of the holder.
    pub epoch: u64,
    /// Time for which the lease is valid after it was written.
    pub ttl: Millis,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// Timing of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time for which a lease is valid.
    pub ttl: Millis,
    /// Interval between renewals, counted from when the last one was sent.
    pub renew_every: Millis,
    /// Time before the end of the TTL at which the holder gives up the lease.
    pub margin: Millis,
    /// Interval at which a process that does not hold the lease reads it.
    pub poll_every: Millis,
    /// Additional time that this process waits before it takes over, so that candidates do not all
    /// try at once.
    pub takeover_delay: Millis,
    /// Delay before a failed call is retried.
    pub retry_after: Millis,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            ttl: Millis::from_secs(6),
            renew_every: Millis::from_secs(2),
            margin: Millis(500),
            poll_every: Millis::from_secs(2),
            takeover_delay: Millis::ZERO,
            retry_after: Millis(200),
        }
    }
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Time from which the process must no longer act on the lease.
    pub valid_until: Millis,
    version: u64,
    renew_at: Millis,
}

#[derive(Clone, Debug)]
struct ObservedVersion {
    version: u64,
    since: Millis,
}

#[derive(Clone, Debug)]
enum Pending {
    Read,
    Write(LeaseWrite),
}

/// A write of the lease in progress.
#[derive(Clone, Debug)]
struct LeaseWrite {
    write: Write,
    epoch: u64,
    sent: Millis,
    is_release: bool,
}

/// State machine that acquires, renews and releases the lease for one process.
#[derive(Clone, Debug)]
pub(super) struct LeaseKeeper {
    writer: String,
    times: LeaseTimes,
    sequence: u64,
    held: Option<HeldLease>,
    observed: Option<ObservedVersion>,
    pending: Option<Pending>,
    due: Millis,
    epoch_floor: u64,
    is_stopping: bool,
}

impl LeaseKeeper {
    pub(super) const fn new(writer: String, times: LeaseTimes) -> Self {
        Self {
            writer,
            times,
            sequence: 0,
            held: None,
            observed: None,
            pending: None,
            due: Millis::ZERO,
            epoch_floor: 0,
            is_stopping: false,
        }
    }

    pub(super) const fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Returns whether the process does not hold the lease and has no call in flight.
    pub(super) const fn is_idle(&self) -> bool {
        self.held.is_none() && self.pending.is_none()
    }

    /// Gives up an expired lease. Called first for each event, since the process may have been
    /// paused.
    pub(super) fn expire(&mut self, now: Millis) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
        }
    }

    /// Gives up the lease because a higher epoch is in force.
    pub(super) fn yield_to(&mut self, epoch: u64) {
        self.epoch_floor = self.epoch_floor.max(epoch);
        self.held = None;
    }

    /// Releases the lease with the next call and does not acquire it again.
    pub(super) const fn stop(&mut self) {
        self.is_stopping = true;
        self.due = Millis::ZERO;
    }

    /// Returns the call that is due, if any. Must only be called while no call is in flight.
    pub(super) fn poll(&mut self, now: Millis) -> Option<Call> {
        if now < self.due {
            return None;
        }
        match (&self.pending, self.held) {
            (Some(Pending::Write(lease)), _) => Some(lease.write.call()),
            (Some(Pending::Read), _) => Some(Self::read()),
            (None, Some(held)) if self.is_stopping => Some(self.release(now, held)),
            (None, Some(held)) => Some(self.renew(now, held)),
            (None, None) if !self.is_stopping => {
                self.pending = Some(Pending::Read);
                Some(Self::read())
            }
            (None, None) => None,
        }
    }

    /// Handles the answer to the last call.
    pub(super) fn on_answer(&mut self, now: Millis, answer: Answer) {
        match self.pending.take() {
            Some(Pending::Read) => self.on_read(now, answer),
            Some(Pending::Write(lease)) => self.on_write(now, answer, lease),
            None => {}
        }
    }

    fn read() -> Call {
        Call::Get(Key::singleton(Kind::Lease))
    }

    fn on_read(&mut self, now: Millis, answer: Answer) {
        self.due = now.after(self.times.poll_every);
        let Answer::Object(object) = answer else {
            return;
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        // A lease that does not parse may have been written by a newer version of the program, so
        // it is not taken over.
        let Some(lease) = object.as_ref().map_or(Some(Lease::default()), parse) else {
            return;
        };
        if self.may_take_over(now, version, &lease) {
            let epoch = lease.epoch.max(self.epoch_floor) + 1;
            self.begin_write(now, version, epoch, false);
        }
    }

    fn may_take_over(&mut self, now: Millis, version: u64, lease: &Lease) -> bool {
        if self.is_stopping {
            return false;
        }
        let observed = match &self.observed {
            Some(observed) if observed.version == version => observed.clone(),
            _ => ObservedVersion {
                version,
                since: now,
            },
        };
        let unchanged_for = now.since(observed.since);
        self.observed = Some(observed);
        let needed = if version == 0 || lease.released {
            self.times.takeover_delay
        } else if lease.stamp.writer == self.writer {
            Millis::ZERO
        } else {
            lease.ttl.after(self.times.takeover_delay)
        };
        if unchanged_for < needed {
            let remaining = needed.since(unchanged_for).min(self.times.poll_every);
            self.due = now.after(remaining);
        }
        unchanged_for >= needed
    }

    fn renew(&mut self, now: Millis, held: HeldLease) -> Call {
        self.begin_write(now, held.version, held.epoch, false);
        self.current_call()
    }

    fn release(&mut self, now: Millis, held: HeldLease) -> Call {
        self.held = None;
        self.begin_write(now, held.version, held.epoch, true);
        self.current_call()
    }

    fn current_call(&self) -> Call {
        match &self.pending {
            Some(Pending::Write(lease)) => lease.write.call(),
            Some(Pending::Read) | None => Self::read(),
        }
    }

    fn begin_write(&mut self, now: Millis, version: u64, epoch: u64, is_release: bool) {
        self.sequence += 1;
        let stamp = Stamp {
            writer: self.writer.clone(),
            sequence: self.sequence,
        };
        let lease = Lease {
            stamp: stamp.clone(),
            epoch,
            ttl: self.times.ttl,
            released: is_release,
        };
        let value = serde_json::to_value(lease).unwrap_or_default();
        let write = Write::new(Key::singleton(Kind::Lease), version, value, stamp);
        self.pending = Some(Pending::Write(LeaseWrite {
            write,
            epoch,
            sent: now,
            is_release,
        }));
        self.due = now;
    }

    fn on_write(&mut self, now: Millis, answer: Answer, mut lease: LeaseWrite) {
        match lease.write.on_answer(answer) {
            Step::Done { .. } if lease.is_release => self.resume_polling(now),
            Step::Done { version } => self.hold(now, lease.epoch, version, lease.sent),
            Step::Overtaken(_) | Step::Refused => self.resume_polling(now),
            Step::Next => self.retry_at(now, lease),
            Step::Wait => self.retry_at(now.after(self.times.retry_after), lease),
        }
    }

    fn retry_at(&mut self, due: Millis, lease: LeaseWrite) {
        self.due = due;
        self.pending = Some(Pending::Write(lease));
    }

    fn hold(&mut self, now: Millis, epoch: u64, version: u64, sent: Millis) {
        let valid_for = self.times.ttl.since(self.times.margin);
        let held = HeldLease {
            epoch,
            version,
            valid_until: sent.after(valid_for),
            renew_at: sent.after(self.times.renew_every),
        };
        self.observed = None;
        self.due = if self.is_stopping { now } else { held.renew_at };
        if now < held.valid_until {
            self.held = Some(held);
        }
    }

    fn resume_polling(&mut self, now: Millis) {
        self.held = None;
        self.observed = None;
        self.due = now.after(self.times.poll_every);
    }
}

fn parse(object: &Object) -> Option<Lease> {
    serde_json::from_value(object.value.clone()).ok()
}
