//! Validation of names: syntax, uniqueness and hash collisions.

use std::collections::{BTreeMap, BTreeSet};

use super::{Documents, Findings, MAX_NAME_LEN, Problem, names_of};
use crate::config::problem::{CheckError, DocumentKind};
use crate::id::{GroupId, ServiceId};

pub(super) fn check(documents: &Documents, findings: &mut Findings) {
    findings.0.extend(check_names(documents));
    check_duplicates(documents, findings);
    check_collisions(documents, findings);
}

/// Returns the errors in the syntax of names. They must be found before names are used in the names
/// of platform objects.
#[must_use]
pub fn check_names(documents: &Documents) -> Vec<CheckError> {
    let mut findings = Findings::default();
    for (kind, names) in names_of(documents) {
        for name in names.into_iter().filter(|name| !is_name(name)) {
            findings.add(kind, name, "name", Problem::BadName(String::from(name)));
        }
    }
    for pool in &documents.pools {
        for group in pool.groups.iter().filter(|group| !is_name(group)) {
            let problem = Problem::BadName(group.clone());
            findings.add(DocumentKind::Pool, &pool.name, "groups", problem);
        }
    }
    findings.0
}

fn check_duplicates(documents: &Documents, findings: &mut Findings) {
    for (kind, names) in names_of(documents) {
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                findings.add(kind, name, "name", Problem::DuplicateName(kind));
            }
        }
    }
}

fn check_collisions(documents: &Documents, findings: &mut Findings) {
    let services = documents.services.iter().map(|service| &*service.name);
    for (name, other) in colliding(services, |name| ServiceId::of(name).0) {
        let problem = Problem::CollidingName(String::from(other));
        findings.add(DocumentKind::Service, name, "name", problem);
    }
    let groups = documents.pools.iter().flat_map(|pool| &pool.groups);
    for (group, other) in colliding(groups.map(String::as_str), |name| GroupId::of(name).0) {
        for pool in &documents.pools {
            if pool.groups.iter().any(|name| name == group) {
                let problem = Problem::CollidingName(String::from(other));
                findings.add(DocumentKind::Pool, &pool.name, "groups", problem);
            }
        }
    }
}

/// Returns the pairs of different names that have the same identity, the later name first.
pub fn colliding<'a>(
    names: impl Iterator<Item = &'a str>,
    id: impl Fn(&str) -> u64,
) -> Vec<(&'a str, &'a str)> {
    let mut by_id = BTreeMap::new();
    let mut pairs = Vec::new();
    for name in names.collect::<BTreeSet<_>>() {
        if let Some(other) = by_id.insert(id(name), name) {
            pairs.push((name, other));
        }
    }
    pairs
}

fn is_name(name: &str) -> bool {
    let is_inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let bytes = name.as_bytes();
    (1..=MAX_NAME_LEN).contains(&bytes.len())
        && bytes.iter().copied().all(is_inner)
        && bytes.first() != Some(&b'-')
        && bytes.last() != Some(&b'-')
}
