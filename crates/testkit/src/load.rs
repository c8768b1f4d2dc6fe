//! Generates real TCP flows through the fabric and evaluates their outcome.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;

use crate::caller::Caller;
use crate::fabric::Fabric;
use crate::outcome::{FlowEnd, Outcome};
use crate::protocol::{Answer, Request};

/// Time without progress after which a flow counts as broken.
const PROGRESS_TIMEOUT: Millis = Millis::from_secs(40);

/// Interval at which every connection is polled.
const SWEEP_INTERVAL: Millis = Millis(5);

/// Maximum packets handled in one step.
const BATCH: usize = 256;

/// One flow and the requests that its caller sends.
#[derive(Clone, Debug)]
pub struct Session {
    /// Addresses of both ends.
    pub flow: FlowId,
    /// Name of the service whose targets must answer.
    pub service: String,
    /// Start time, relative to the start of the run.
    pub start: Millis,
    /// Number of requests, sent one after the other.
    pub requests: u32,
    /// Time between an answer and the next request.
    pub think: Millis,
    /// Padding of each answer, in bytes.
    pub answer_bytes: usize,
    /// Whether the caller uses TCP timestamps, and therefore echoes the holder's hint.
    pub with_timestamps: bool,
}

/// Load generator that runs sessions.
pub struct Load {
    fabric: Fabric,
    progress_timeout: Millis,
    started: Instant,
    last_sweep: Millis,
    next_nonce: u64,
    waiting: Vec<Session>,
    active: HashMap<SocketAddr, Active>,
    outcome: Outcome,
    refused_nonces: BTreeSet<u64>,
    starts_by_target: BTreeMap<String, Vec<Millis>>,
}

struct Active {
    session: Session,
    caller: Caller,
    requests_left: u32,
    pending: Option<Request>,
    next_request: Millis,
    last_progress: Millis,
    opened: Millis,
    received: Vec<u8>,
    nonces: Vec<u64>,
    target: Option<String>,
    was_established: bool,
    /// When the caller sent packets, at least since the last progress.
    sent: Vec<Millis>,
}

impl Load {
    /// Creates a load over `fabric` that starts each session at its start time.
    #[must_use]
    pub fn new(fabric: Fabric, mut sessions: Vec<Session>) -> Self {
        sessions.sort_by_key(|session| std::cmp::Reverse(session.start));
        Self {
            fabric,
            progress_timeout: PROGRESS_TIMEOUT,
            started: Instant::now(),
            last_sweep: Millis::ZERO,
            next_nonce: 1,
            waiting: sessions,
            active: HashMap::new(),
            outcome: Outcome::default(),
            refused_nonces: BTreeSet::new(),
            starts_by_target: BTreeMap::new(),
        }
    }

    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(self.started.elapsed())
    }

    /// Returns the fabric, so that its balancers or faults can be changed.
    pub const fn fabric(&mut self) -> &mut Fabric {
        &mut self.fabric
    }

    /// Replaces the time without progress after which a flow counts as broken.
    pub const fn set_progress_timeout(&mut self, timeout: Millis) {
        self.progress_timeout = timeout;
    }

    /// Adds sessions; those with a start time in the past start immediately.
    pub fn add(&mut self, sessions: Vec<Session>) {
        self.waiting.extend(sessions);
        self.waiting
            .sort_by_key(|session| std::cmp::Reverse(session.start));
    }

    /// Whether every session has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.waiting.is_empty() && self.active.is_empty()
    }

    /// Number of open sessions.
    #[must_use]
    pub fn open(&self) -> usize {
        self.active.len()
    }

    /// Starts due sessions, handles received packets and polls the connections if that is due.
    pub fn step(&mut self) {
        let now = self.now();
        self.start_due(now);
        for _ in 0..BATCH {
            let Some(packet) = self.fabric.receive() else {
                break;
            };
            self.deliver(packet);
        }
        let now = self.now();
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    /// Runs until the time `until` or until every session has ended.
    pub fn run_until(&mut self, until: Millis) {
        while self.now() < until && !self.is_done() {
            self.step();
        }
    }

    /// Start times of the flows of a target, relative to the start of the run.
    #[must_use]
    pub fn starts_at(&self, target: &str) -> &[Millis] {
        self.starts_by_target
            .get(target)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Evaluates the run.
    ///
    /// `ran` is how often each nonce ran over all targets. Targets in `excluded` do not count for
    /// the imbalance. Flows that are still open count as broken.
    #[must_use]
    pub fn into_outcome(mut self, ran: &BTreeMap<u64, u64>, excluded: &[String]) -> Outcome {
        for active in std::mem::take(&mut self.active).into_values() {
            self.outcome.count(FlowEnd::Broken);
            self.outcome.silent += 1;
            self.count_target(&active);
            self.outcome.broken_sends.push(active.sent);
        }
        self.outcome.doubled = ran.values().filter(|times| **times > 1).count() as u64;
        self.outcome.refused_but_run = self
            .refused_nonces
            .iter()
            .filter(|nonce| ran.contains_key(nonce))
            .count() as u64;
        self.outcome.imbalance = imbalance(&self.outcome.by_target, excluded);
        self.outcome
    }

    fn start_due(&mut self, now: Millis) {
        while self
            .waiting
            .last()
            .is_some_and(|session| session.start <= now)
        {
            let Some(session) = self.waiting.pop() else {
                return;
            };
            self.open_session(session, now);
        }
    }

    fn open_session(&mut self, session: Session, now: Millis) {
        let seed = session.flow.hash() ^ self.next_nonce;
        let caller = Caller::connect(session.flow, seed, session.with_timestamps);
        let active = Active {
            requests_left: session.requests,
            caller,
            pending: None,
            next_request: now,
            last_progress: now,
            opened: now,
            received: Vec::new(),
            nonces: Vec::new(),
            target: None,
            was_established: false,
            sent: Vec::new(),
            session,
        };
        let local = active.caller.local();
        self.active.insert(local, active);
        self.advance(local, now);
    }

    fn deliver(&mut self, packet: Vec<u8>) {
        let Ok(parsed) = citronhollow_caller::packet::parse(&packet) else {
            return;
        };
        // In a packet to a caller, source and destination of the flow are swapped.
        let local = parsed.flow.service;
        let Some(active) = self.active.get_mut(&local) else {
            return;
        };
        active.caller.receive(packet);
        let now = self.now();
        self.advance(local, now);
    }

    fn sweep(&mut self, now: Millis) {
        let locals: Vec<_> = self.active.keys().copied().collect();
        for local in locals {
            self.advance(local, now);
        }
    }

    fn advance(&mut self, local: SocketAddr, now: Millis) {
        let Some(active) = self.active.get_mut(&local) else {
            return;
        };
        let mut out = Vec::new();
        active.caller.poll(now, &mut out);
        let end = active.progress(
            now,
            self.progress_timeout,
            &mut self.next_nonce,
            &mut self.outcome,
        );
        active.caller.poll(now, &mut out);
        active.sent.retain(|at| *at >= active.last_progress);
        if !out.is_empty() {
            active.sent.push(now);
        }
        for packet in out {
            self.fabric.send(&packet);
        }
        if let Some(end) = end {
            self.finish(local, end);
        }
    }

    fn finish(&mut self, local: SocketAddr, end: FlowEnd) {
        let Some(mut active) = self.active.remove(&local) else {
            return;
        };
        self.outcome.count(end);
        self.count_target(&active);
        if end == FlowEnd::Broken {
            self.outcome
                .broken_sends
                .push(std::mem::take(&mut active.sent));
        }
        if end == FlowEnd::Refused {
            self.refused_nonces.extend(&active.nonces);
        }
        let mut out = Vec::new();
        if end == FlowEnd::Broken {
            active.caller.abort();
        }
        active.caller.poll(self.now(), &mut out);
        for packet in out {
            self.fabric.send(&packet);
        }
    }

    fn count_target(&mut self, active: &Active) {
        if let Some(target) = &active.target {
            *self.outcome.by_target.entry(target.clone()).or_default() += 1;
            self.starts_by_target
                .entry(target.clone())
                .or_default()
                .push(active.opened);
        }
    }
}

impl Active {
    fn progress(
        &mut self,
        now: Millis,
        timeout: Millis,
        next_nonce: &mut u64,
        outcome: &mut Outcome,
    ) -> Option<FlowEnd> {
        if self.caller.is_established() && !self.was_established {
            self.was_established = true;
            self.last_progress = now;
        }
        self.caller.read(&mut self.received);
        while let Some(line) = self.next_line() {
            self.last_progress = now;
            if let Some(end) = self.take_line(&line, now, outcome) {
                return Some(end);
            }
        }
        if self.requests_left == 0 && self.pending.is_none() {
            return Some(FlowEnd::Completed);
        }
        if self.caller.is_closed() || self.is_closed_early() {
            return Some(self.failed_end());
        }
        if now.since(self.last_progress) > timeout.after(self.session.think) {
            outcome.silent += 1;
            return Some(FlowEnd::Broken);
        }
        if self.was_established && self.pending.is_none() && now >= self.next_request {
            self.send_request(next_nonce);
            self.last_progress = now;
        }
        None
    }

    fn is_closed_early(&mut self) -> bool {
        self.was_established && self.caller.is_at_end()
    }

    const fn failed_end(&self) -> FlowEnd {
        if self.was_established {
            FlowEnd::Broken
        } else {
            FlowEnd::Refused
        }
    }

    fn send_request(&mut self, next_nonce: &mut u64) {
        let req = Request {
            nonce: *next_nonce,
            bytes: self.session.answer_bytes,
        };
        let line = req.to_string();
        // The buffer is empty between two requests and far larger than a request.
        if self.caller.write(line.as_bytes()) == line.len() {
            *next_nonce += 1;
            self.nonces.push(req.nonce);
            self.pending = Some(req);
            self.requests_left -= 1;
        }
    }

    fn take_line(&mut self, line: &str, now: Millis, outcome: &mut Outcome) -> Option<FlowEnd> {
        if line.starts_with("HTTP/1.1 503") {
            return Some(FlowEnd::Refused);
        }
        let Some(answer) = Answer::parse(line) else {
            return Some(FlowEnd::Broken);
        };
        let is_other_target = self
            .target
            .as_ref()
            .is_some_and(|target| *target != answer.target);
        if answer.service != self.session.service || is_other_target {
            outcome.misdelivered += 1;
        }
        let pending = self.pending.take();
        let is_whole =
            pending.is_some_and(|req| req.nonce == answer.nonce && req.bytes == answer.bytes);
        if !is_whole {
            outcome.misdelivered += 1;
            return Some(FlowEnd::Broken);
        }
        self.target = Some(answer.target);
        self.next_request = now.after(self.session.think);
        if self.requests_left == 0 {
            self.caller.close();
        }
        None
    }

    fn next_line(&mut self) -> Option<String> {
        let end = self.received.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.received.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line[..end]).into_owned())
    }
}

fn imbalance(by_target: &BTreeMap<String, u64>, excluded: &[String]) -> f64 {
    let counts: Vec<u32> = by_target
        .iter()
        .filter(|(target, _)| !excluded.contains(target))
        .map(|(_, flows)| u32::try_from(*flows).unwrap_or(u32::MAX))
        .collect();
    let total: f64 = counts.iter().copied().map(f64::from).sum();
    let max = counts.iter().copied().max().unwrap_or(0);
    if total == 0.0 {
        return 0.0;
    }
    let count = u32::try_from(counts.len()).unwrap_or(u32::MAX);
    f64::from(max) * f64::from(count) / total
}
