//! The lease that makes one process at a time the publisher.
//!
//! The holder renews the lease object by conditional update. Others cannot compare clocks with it,
//! so they watch the object's version: once it has stood still on their own clock for the time
//! that the lease names, the holder's own clock has passed that time as well, and they take the
//! lease over with the next epoch, on condition of that version. The holder counts its time from
//! the moment when it sent the write and gives up a margin early, and it looks at its clock before
//! every single step, so that a process that was paused gives up before it acts.

use serde::{Deserialize, Serialize};

use super::objects::{Answer, Call, Key, Kind, Object};
use super::write::{Stamp, Step, Write};
use crate::clock::Millis;

/// What the lease object holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The holder.
    pub stamp: Stamp,
    /// Grows with every change of the holder.
    pub epoch: u64,
    /// Time that it holds for since it was written.
    pub ttl: Millis,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// Times of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time that a lease holds for.
    pub ttl: Millis,
    /// Time between renewals, counted from when the last one was sent.
    pub renew_every: Millis,
    /// The holder gives up this long before the time is over.
    pub margin: Millis,
    /// Time between two looks of a process that does not hold it.
    pub poll_every: Millis,
    /// Time that this process lets pass on top before it takes over, so that the candidates do not
    /// all try at once.
    pub takeover_delay: Millis,
    /// Time before a call that failed is made again.
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
    /// Its epoch.
    pub epoch: u64,
    /// Time after which the process must not act on it.
    pub valid_until: Millis,
    version: u64,
    renew_at: Millis,
}

#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    since: Millis,
}

#[derive(Clone, Debug)]
enum Pending {
    Look,
    Write(LeaseWrite),
}

/// A write of the lease under way.
#[derive(Clone, Debug)]
struct LeaseWrite {
    write: Write,
    epoch: u64,
    sent: Millis,
    is_release: bool,
}

/// One process's side of the lease.
#[derive(Clone, Debug)]
pub(super) struct LeaseKeeper {
    writer: String,
    times: LeaseTimes,
    sequence: u64,
    held: Option<HeldLease>,
    seen: Option<Seen>,
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
            seen: None,
            pending: None,
            due: Millis::ZERO,
            epoch_floor: 0,
            is_stopping: false,
        }
    }

    pub(super) const fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Whether it neither holds the lease nor has a call under way.
    pub(super) const fn is_idle(&self) -> bool {
        self.held.is_none() && self.pending.is_none()
    }

    /// Gives up a lease whose time is over. Called before anything else after every gap.
    pub(super) fn expire(&mut self, now: Millis) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
        }
    }

    /// Gives up because a higher epoch is in force.
    pub(super) fn yield_to(&mut self, epoch: u64) {
        self.epoch_floor = self.epoch_floor.max(epoch);
        self.held = None;
    }

    /// Gives the lease back with the next call, and takes none again.
    pub(super) const fn stop(&mut self) {
        self.is_stopping = true;
        self.due = Millis::ZERO;
    }

    /// The call that is due, if any. Only asked for while no call is under way.
    pub(super) fn poll(&mut self, now: Millis) -> Option<Call> {
        if now < self.due {
            return None;
        }
        match (&self.pending, self.held) {
            (Some(Pending::Write(lease)), _) => Some(lease.write.call()),
            (Some(Pending::Look), _) => Some(Self::look()),
            (None, Some(held)) if self.is_stopping => Some(self.release(now, held)),
            (None, Some(held)) => Some(self.renew(now, held)),
            (None, None) if !self.is_stopping => {
                self.pending = Some(Pending::Look);
                Some(Self::look())
            }
            (None, None) => None,
        }
    }

    /// Takes the answer to the last call.
    pub(super) fn on_answer(&mut self, now: Millis, answer: Answer) {
        match self.pending.take() {
            Some(Pending::Look) => self.on_look(now, answer),
            Some(Pending::Write(lease)) => self.on_write(now, answer, lease),
            None => {}
        }
    }

    fn look() -> Call {
        Call::Get(Key::singleton(Kind::Lease))
    }

    fn on_look(&mut self, now: Millis, answer: Answer) {
        self.due = now.after(self.times.poll_every);
        let Answer::Object(object) = answer else {
            return;
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        // A lease that does not parse may be that of a newer program, so it is left alone.
        let Some(lease) = object.as_ref().map_or(Some(Lease::default()), parse) else {
            return;
        };
        if self.may_take(now, version, &lease) {
            let epoch = lease.epoch.max(self.epoch_floor) + 1;
            self.begin_write(now, version, epoch, false);
        }
    }

    fn may_take(&mut self, now: Millis, version: u64, lease: &Lease) -> bool {
        if self.is_stopping {
            return false;
        }
        let seen = match &self.seen {
            Some(seen) if seen.version == version => seen.clone(),
            _ => Seen {
                version,
                since: now,
            },
        };
        let stood_still = now.since(seen.since);
        self.seen = Some(seen);
        let needed = if version == 0 || lease.released {
            self.times.takeover_delay
        } else if lease.stamp.writer == self.writer {
            Millis::ZERO
        } else {
            lease.ttl.after(self.times.takeover_delay)
        };
        if stood_still < needed {
            let rest = needed.since(stood_still).min(self.times.poll_every);
            self.due = now.after(rest);
        }
        stood_still >= needed
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
            Some(Pending::Look) | None => Self::look(),
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
            Step::Done { .. } if lease.is_release => self.look_again(now),
            Step::Done { version } => self.hold(now, lease.epoch, version, lease.sent),
            Step::Overtaken(_) | Step::Refused => self.look_again(now),
            Step::Next => self.call_again(now, lease),
            Step::Wait => self.call_again(now.after(self.times.retry_after), lease),
        }
    }

    fn call_again(&mut self, due: Millis, lease: LeaseWrite) {
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
        self.seen = None;
        self.due = if self.is_stopping { now } else { held.renew_at };
        if now < held.valid_until {
            self.held = Some(held);
        }
    }

    fn look_again(&mut self, now: Millis) {
        self.held = None;
        self.seen = None;
        self.due = now.after(self.times.poll_every);
    }
}

fn parse(object: &Object) -> Option<Lease> {
    serde_json::from_value(object.value.clone()).ok()
}
