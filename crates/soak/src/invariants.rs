//! What the load balancer promises, judged from what callers and targets saw.

use std::collections::HashMap;

use citronhollow_core::clock::Millis;
use derive_more::Display;

use crate::bounds::{ACK_TIMEOUT, DOWNGRADE, DOWNGRADE_DISTURBED, DRAIN, PROPAGATION};
use crate::disturbances::{Disturbances, Part};
use crate::plan::Node;

/// A kind of promise.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A request that must not be repeated runs once at most.
    Once,
    /// Packets arrive as they were written, and an answer is the whole answer to its request.
    Whole,
    /// A flow goes to a service that some configuration allowed.
    Service,
    /// A configuration is in force in time.
    InForce,
    /// A process does not go back to an older configuration.
    NotBack,
    /// A flow that its target holds is not reset.
    NoReset,
    /// A target that leaves is given no new flow.
    Drain,
    /// A target's announcement that it leaves is acknowledged in time.
    Acknowledged,
    /// Callers are served again after the last fault.
    Recovery,
    /// No process ends by itself, or outlives its grace.
    Process,
}

/// A promise that did not hold.
#[derive(Clone, Debug, Display)]
#[display("{:>6} ms  {promise}: {what}", at.0)]
pub struct Violation {
    /// When it was seen.
    pub at: Millis,
    /// Which.
    pub promise: Invariant,
    /// What was seen.
    pub what: String,
}

/// A configuration, by where it sends new flows of the route that changes.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// When the store acknowledged it.
    pub since: Millis,
    /// The service.
    pub service: usize,
}

/// A flow that has come to its target.
#[derive(Clone, Copy, Debug)]
pub struct Opened {
    /// When the caller sent the opening packet for the first time.
    pub sent: Millis,
    /// Whether the caller sent it more than once, and so perhaps through several balancers.
    pub was_repeated: bool,
    /// The balancer that took it, and which of its starts.
    pub balancer: (usize, u32),
    /// The target.
    pub target: usize,
    /// The target's service.
    pub service: usize,
    /// When the target's announcement that it leaves was acknowledged.
    pub leaving_since: Option<Millis>,
}

/// Collects what is broken.
#[derive(Debug, Default)]
pub struct Checker {
    /// Disturbances so far.
    pub disturbances: Disturbances,
    violations: Vec<Violation>,
    versions: Vec<Version>,
    runs: HashMap<u64, u32>,
    /// By each start of a balancer: since when it is known to use a version or a newer one.
    in_use: HashMap<(usize, u32), Vec<(Millis, usize)>>,
}

impl Checker {
    /// What is broken, in the order in which it was seen.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Notes a promise that did not hold.
    pub fn record(&mut self, at: Millis, promise: Invariant, what: impl Into<String>) {
        let what = what.into();
        self.violations.push(Violation { at, promise, what });
    }

    /// The store has acknowledged a configuration.
    pub fn on_version(&mut self, version: Version) {
        self.versions.push(version);
    }

    /// A target runs a request.
    pub fn on_run(&mut self, now: Millis, request: u64, may_repeat: bool) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && !may_repeat {
            let what = format!("request {request} runs {runs} times");
            self.record(now, Invariant::Once, what);
        }
    }

    /// A flow of the route that changes is open at a target.
    pub fn on_opened(&mut self, now: Millis, opened: Opened) {
        let is_allowed = |version: &Version| version.service == opened.service;
        if !self.versions.iter().any(is_allowed) {
            let what = format!("service {} takes a flow", opened.service);
            self.record(now, Invariant::Service, what);
            return;
        }
        if opened.was_repeated {
            return;
        }
        self.check_in_force(now, &opened);
        self.check_not_back(now, &opened);
    }

    /// A flow of any route is open at a target that may be leaving.
    pub fn on_opened_while_leaving(&mut self, now: Millis, opened: &Opened) {
        let Some(since) = opened.leaving_since else {
            return;
        };
        let parts = [
            Part::Node(Node::Balancer(opened.balancer.0)),
            Part::Node(Node::Agent(opened.target)),
        ];
        if opened.sent >= since.after(DRAIN) && self.disturbances.were_stable(since, &parts) {
            let what = format!("target {} takes a flow while it leaves", opened.target);
            self.record(now, Invariant::Drain, what);
        }
    }

    /// A target's announcement that it leaves is not acknowledged yet.
    pub fn on_unacknowledged(&mut self, now: Millis, target: usize, since: Millis) {
        let parts = [Part::Node(Node::Agent(target))];
        if now >= since.after(ACK_TIMEOUT) && self.disturbances.were_stable(since, &parts) {
            let what = format!("target {target} has announced for {ACK_TIMEOUT:?} that it leaves");
            self.record(now, Invariant::Acknowledged, what);
        }
    }

    /// The version in force when the bound is over, and any newer one.
    fn check_in_force(&mut self, now: Millis, opened: &Opened) {
        let parts = [
            Part::Node(Node::Balancer(opened.balancer.0)),
            Part::Node(Node::Agent(opened.target)),
            Part::Store,
        ];
        if !self.disturbances.were_stable(opened.sent, &parts) {
            return;
        }
        let oldest = self
            .versions
            .iter()
            .rposition(|version| version.since.after(PROPAGATION) <= opened.sent)
            .unwrap_or_default();
        let is_allowed = |version: &Version| version.service == opened.service;
        if !self.versions[oldest..].iter().any(is_allowed) {
            let what = format!(
                "balancer {} sends a flow by a version older than {oldest}, in force for {PROPAGATION:?}",
                opened.balancer.0
            );
            self.record(now, Invariant::InForce, what);
        }
    }

    /// The route may lead to the same service in several versions, so what is known is the oldest that
    /// explains everything seen so far.
    fn check_not_back(&mut self, now: Millis, opened: &Opened) {
        let node = Part::Node(Node::Balancer(opened.balancer.0));
        let grace = if self.disturbances.were_stable(opened.sent, &[node]) {
            DOWNGRADE
        } else {
            DOWNGRADE_DISTURBED
        };
        let in_use = self.in_use.entry(opened.balancer).or_default();
        let known = in_use
            .iter()
            .filter(|(since, _)| since.after(grace) < opened.sent);
        let oldest = known.map(|(_, version)| *version).max().unwrap_or_default();
        let is_allowed = |version: &Version| version.service == opened.service;
        let found = self.versions[oldest..].iter().position(is_allowed);
        if let Some(found) = found {
            in_use.push((now, oldest + found));
            return;
        }
        let (balancer, start) = opened.balancer;
        let what = format!("start {start} of balancer {balancer} goes back before {oldest}");
        self.record(now, Invariant::NotBack, what);
    }
}
