//! Invariants of the load balancer, checked against what callers and targets observe.

use std::collections::HashMap;

use citronhollow_core::clock::Millis;
use derive_more::Display;

use crate::bounds::{ACK_TIMEOUT, DOWNGRADE, DOWNGRADE_DISTURBED, DRAIN, PROPAGATION};
use crate::disturbances::{Disturbances, Part};
use crate::plan::Node;

/// An invariant.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A non-idempotent request runs at most once.
    Once,
    /// Packets arrive unaltered, and a response is complete and belongs to its request.
    Whole,
    /// A flow reaches a service that some configuration allowed.
    Service,
    /// A configuration is in force within the propagation bound.
    InForce,
    /// A process does not return to an older configuration.
    NotBack,
    /// A flow that its target holds is not reset.
    NoReset,
    /// A draining target receives no new flow.
    Drain,
    /// A target's drain announcement is acknowledged in time.
    Acknowledged,
    /// Callers are served again after the last fault.
    Recovery,
    /// No process exits on its own or outlives its grace period.
    Process,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Display)]
#[display("{:>6} ms  {promise}: {what}", at.0)]
pub struct Violation {
    /// Time of the observation.
    pub at: Millis,
    /// The violated invariant.
    pub promise: Invariant,
    /// Description of the observation.
    pub what: String,
}

/// A configuration, identified by the service that receives new flows of the changing route.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Time at which the store acknowledged it.
    pub since: Millis,
    /// The service.
    pub service: usize,
}

/// A flow that was established at a target.
#[derive(Clone, Copy, Debug)]
pub struct OpenedFlow {
    /// Time at which the caller first sent the SYN.
    pub sent: Millis,
    /// Whether the SYN was retransmitted and may thus have passed through several balancers.
    pub was_retransmitted: bool,
    /// Balancer that received the SYN, and the number of its starts so far.
    pub balancer: (usize, u32),
    /// The target.
    pub target: usize,
    /// The target's service.
    pub service: usize,
    /// Time at which the target's drain announcement was acknowledged.
    pub draining_since: Option<Millis>,
}

/// Checks observations and collects violations.
#[derive(Debug, Default)]
pub struct Checker {
    /// Disturbances so far.
    pub disturbances: Disturbances,
    violations: Vec<Violation>,
    versions: Vec<Version>,
    runs: HashMap<u64, u32>,
    /// For each start of a balancer: times from which it is known to use at least a given version.
    in_use: HashMap<(usize, u32), Vec<(Millis, usize)>>,
}

impl Checker {
    /// Violations, in the order of observation.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a violation.
    pub fn record(&mut self, at: Millis, promise: Invariant, what: impl Into<String>) {
        let what = what.into();
        self.violations.push(Violation { at, promise, what });
    }

    /// Records a configuration that the store acknowledged.
    pub fn on_version(&mut self, version: Version) {
        self.versions.push(version);
    }

    /// Checks the start of a request at a target.
    pub fn on_run(&mut self, now: Millis, request: u64, may_repeat: bool) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && !may_repeat {
            let what = format!("non-idempotent request {request} ran {runs} times");
            self.record(now, Invariant::Once, what);
        }
    }

    /// Checks a flow of the changing route that was established at a target.
    pub fn on_opened(&mut self, now: Millis, opened: OpenedFlow) {
        let is_allowed = |version: &Version| version.service == opened.service;
        if !self.versions.iter().any(is_allowed) {
            let what = format!(
                "a flow reached service {}, which no version allows",
                opened.service
            );
            self.record(now, Invariant::Service, what);
            return;
        }
        if opened.was_retransmitted {
            return;
        }
        self.check_in_force(now, &opened);
        self.check_not_back(now, &opened);
    }

    /// Checks a flow of any route that was established at a target, which may be draining.
    pub fn on_opened_while_draining(&mut self, now: Millis, opened: &OpenedFlow) {
        let Some(since) = opened.draining_since else {
            return;
        };
        let parts = [
            Part::Node(Node::Balancer(opened.balancer.0)),
            Part::Node(Node::Agent(opened.target)),
        ];
        if opened.sent >= since.after(DRAIN) && self.disturbances.were_stable(since, &parts) {
            let what = format!(
                "target {} received a new flow while draining",
                opened.target
            );
            self.record(now, Invariant::Drain, what);
        }
    }

    /// Checks a drain announcement that is not acknowledged yet.
    pub fn on_unacknowledged(&mut self, now: Millis, target: usize, since: Millis) {
        let parts = [Part::Node(Node::Agent(target))];
        if now >= since.after(ACK_TIMEOUT) && self.disturbances.were_stable(since, &parts) {
            let what = format!(
                "drain announcement of target {target} not acknowledged for {ACK_TIMEOUT:?}"
            );
            self.record(now, Invariant::Acknowledged, what);
        }
    }

    /// Allows the version that must be in force after the propagation bound, and any newer one.
    fn check_in_force(&mut self, now: Millis, opened: &OpenedFlow) {
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
                "balancer {} routed a flow by a version older than {oldest}, in force for {PROPAGATION:?}",
                opened.balancer.0
            );
            self.record(now, Invariant::InForce, what);
        }
    }

    /// Checks that a balancer does not return to an older version. Several versions may route to
    /// the same service, so the oldest version that is consistent with all observations is assumed.
    fn check_not_back(&mut self, now: Millis, opened: &OpenedFlow) {
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
        let what = format!(
            "start {start} of balancer {balancer} returned to a version older than {oldest}"
        );
        self.record(now, Invariant::NotBack, what);
    }
}
