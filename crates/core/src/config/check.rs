//! The check over the whole set of documents.
//!
//! It finds every error at once, so that an operator needs one round to put a set right. Rules name
//! a service and a pool, services name a pool, and pools name nothing, so the references cannot
//! form a cycle. A set without errors can be published and served as it stands.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::documents::{Documents, Pool, RequestClass, Rule, Service};
use super::problem::{CheckError, DocumentKind, DocumentRef, Problem};

mod addresses;
mod names;
mod rules;

pub use names::{check_names, colliding};

/// Most documents of a set.
pub const MAX_DOCUMENTS: usize = 8_000;
/// Longest name, in bytes.
pub const MAX_NAME_LEN: usize = 63;
/// Most addresses of one service.
pub const MAX_ADDRESSES: usize = 64;
/// Most groups of one pool.
pub const MAX_GROUPS: usize = 64;
/// Largest value of a limit.
pub const MAX_LIMIT: u32 = 10_000_000;
/// Longest objective or time limit of a request.
pub const MAX_REQUEST_TIME: Millis = Millis::from_secs(600);
/// Largest number of a priority, the least urgent one.
pub const MAX_PRIORITY: u8 = 9;
/// Most that the rules of one service may add up to.
pub const MAX_RULES_PERCENT: u32 = 100;

/// An address that some process may still know as this service's.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{address} of {service}")]
#[serde(deny_unknown_fields)]
pub struct HeldAddress {
    /// The address.
    pub address: SocketAddr,
    /// The service that has or had it.
    pub service: String,
}

/// Errors found so far.
#[derive(Debug, Default)]
struct Findings(Vec<CheckError>);

impl Findings {
    fn add(&mut self, kind: DocumentKind, name: &str, field: &str, problem: Problem) {
        let object = DocumentRef {
            kind,
            name: String::from(name),
        };
        self.0.push(CheckError::new(object, field, problem));
    }
}

/// Every error of the set.
///
/// `held` lists the addresses that stand in the revision in force or were released since some
/// process reported its last revision. Another service must not take them over: a process that is
/// behind would hand its packets to the former one.
#[must_use]
pub fn check(documents: &Documents, held: &[HeldAddress]) -> Vec<CheckError> {
    let mut findings = Findings::default();
    names::check(documents, &mut findings);
    addresses::check(&documents.services, held, &mut findings);
    for service in &documents.services {
        check_service(service, documents, &mut findings);
    }
    for pool in &documents.pools {
        check_pool(pool, &mut findings);
    }
    rules::check(documents, &mut findings);
    check_count(documents, &mut findings);
    findings.0
}

/// The surplus is told of one document, the last of the longest kind.
fn check_count(documents: &Documents, findings: &mut Findings) {
    let names = names_of(documents);
    let count = names.iter().map(|(_, names)| names.len()).sum();
    let longest = names.iter().max_by_key(|(_, names)| names.len());
    let last = longest.and_then(|(kind, names)| Some((*kind, *names.last()?)));
    if let (Some(problem), Some((kind, name))) = (length_problem(count, MAX_DOCUMENTS), last) {
        findings.add(kind, name, "documents", problem);
    }
}

fn check_service(service: &Service, documents: &Documents, findings: &mut Findings) {
    let mut add = |field: &str, problem: Problem| {
        findings.add(DocumentKind::Service, &service.name, field, problem);
    };
    if documents.pool(&service.pool).is_none() {
        add("pool", dangling(DocumentKind::Pool, &service.pool));
    }
    if let Some(problem) = service.new_flows_per_s.and_then(limit_problem) {
        add("new_flows_per_s", problem);
    }
    let per_caller = service.new_flows_per_s_per_caller;
    if let Some(problem) = per_caller.and_then(limit_problem) {
        add("new_flows_per_s_per_caller", problem);
    }
    if let (Some(whole), Some(per_caller)) = (service.new_flows_per_s, per_caller)
        && per_caller > whole
    {
        let problem = Problem::CallerLimitAboveService {
            per_caller,
            service: whole,
        };
        add("new_flows_per_s_per_caller", problem);
    }
    for (field, problem) in request_class_problems(&service.requests) {
        add(field, problem);
    }
}

/// What is wrong with the expectations of a service's callers, each with its field.
#[must_use]
pub fn request_class_problems(class: &RequestClass) -> Vec<(&'static str, Problem)> {
    let RequestClass {
        objective_ms,
        time_limit_ms,
        priority,
        ..
    } = *class;
    let is_in_range = |time: Millis| (Millis(1)..=MAX_REQUEST_TIME).contains(&time);
    let mut problems = Vec::new();
    if !is_in_range(objective_ms) {
        problems.push(("requests.objective_ms", Problem::BadTime(objective_ms)));
    }
    if !is_in_range(time_limit_ms) {
        problems.push(("requests.time_limit_ms", Problem::BadTime(time_limit_ms)));
    } else if time_limit_ms < objective_ms {
        let problem = Problem::ObjectiveAboveTimeLimit {
            objective: objective_ms,
            time_limit: time_limit_ms,
        };
        problems.push(("requests.objective_ms", problem));
    }
    if priority > MAX_PRIORITY {
        problems.push(("requests.priority", Problem::BadPriority(priority)));
    }
    problems
}

fn check_pool(pool: &Pool, findings: &mut Findings) {
    let mut add = |field: &str, problem: Problem| {
        findings.add(DocumentKind::Pool, &pool.name, field, problem);
    };
    if pool.groups.is_empty() {
        add("groups", Problem::NoGroup);
    }
    if let Some(problem) = length_problem(pool.groups.len(), MAX_GROUPS) {
        add("groups", problem);
    }
    for (index, group) in pool.groups.iter().enumerate() {
        if pool.groups[..index].contains(group) {
            add("groups", Problem::DoubledGroup(group.clone()));
        }
    }
    if let Some(problem) = pool.flows_per_target.and_then(limit_problem) {
        add("flows_per_target", problem);
    }
}

fn limit_problem(limit: u32) -> Option<Problem> {
    let is_in_range = (1..=MAX_LIMIT).contains(&limit);
    (!is_in_range).then_some(Problem::BadLimit(limit))
}

const fn length_problem(count: usize, limit: usize) -> Option<Problem> {
    if count > limit {
        Some(Problem::TooMany { count, limit })
    } else {
        None
    }
}

fn dangling(kind: DocumentKind, name: &str) -> Problem {
    Problem::Dangling {
        kind,
        name: String::from(name),
    }
}

/// Names of the documents of each kind, in their order.
fn names_of(documents: &Documents) -> [(DocumentKind, Vec<&str>); 3] {
    let services = documents.services.iter().map(|Service { name, .. }| name);
    let pools = documents.pools.iter().map(|Pool { name, .. }| name);
    let rules = documents.rules.iter().map(|Rule { name, .. }| name);
    [
        (
            DocumentKind::Service,
            services.map(String::as_str).collect(),
        ),
        (DocumentKind::Pool, pools.map(String::as_str).collect()),
        (DocumentKind::Rule, rules.map(String::as_str).collect()),
    ]
}
