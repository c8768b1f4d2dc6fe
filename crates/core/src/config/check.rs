//! Validation of a whole set of documents.
//!
//! It reports every error at once, so that an operator can fix a set in one round. Rules refer to a
//! service and a pool, services refer to a pool, and pools refer to no document, so references
//! cannot form a cycle. A set without errors can be published and served as it is.

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

/// Maximum number of documents in a set.
pub const MAX_DOCUMENTS: usize = 8_000;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;
/// Maximum number of addresses of one service.
pub const MAX_ADDRESSES: usize = 64;
/// Maximum number of groups of one pool.
pub const MAX_GROUPS: usize = 64;
/// Maximum value of a limit.
pub const MAX_LIMIT: u32 = 10_000_000;
/// Maximum objective or time limit of a request.
pub const MAX_REQUEST_TIME: Millis = Millis::from_secs(600);
/// Maximum value of a priority, the least urgent one.
pub const MAX_PRIORITY: u8 = 9;
/// Maximum sum of the shares of one service's rules, in percent.
pub const MAX_RULES_PERCENT: u32 = 100;

/// An address that may still belong to this service in the revision of some process.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{address} of {service}")]
#[serde(deny_unknown_fields)]
pub struct HeldAddress {
    /// The address.
    pub address: SocketAddr,
    /// The service that has or had it.
    pub service: String,
}

/// Validation errors found so far.
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

/// Returns every error of the set.
///
/// `held` lists the addresses that are in the revision in force, and those released after the
/// oldest revision that any process still reports. They must not move to another service: a process
/// with an older revision would deliver the packets to the former service.
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

/// Reports a set with too many documents as one error, at the last document of the most frequent
/// kind.
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

/// Returns the errors of a request class, each with the path of its field.
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
            add("groups", Problem::DuplicateGroup(group.clone()));
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

/// Returns the names of the documents of each kind, in the order of the documents.
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
