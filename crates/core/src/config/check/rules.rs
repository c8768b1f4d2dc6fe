//! Validation of rules and their shares.

use std::collections::BTreeMap;

use super::{Documents, Findings, MAX_RULES_PERCENT, Problem, Rule, dangling};
use crate::config::problem::DocumentKind;

pub(super) fn check(documents: &Documents, findings: &mut Findings) {
    for rule in &documents.rules {
        check_rule(rule, documents, findings);
    }
    check_sums(&documents.rules, findings);
}

fn check_rule(rule: &Rule, documents: &Documents, findings: &mut Findings) {
    let mut add = |field: &str, problem: Problem| {
        findings.add(DocumentKind::Rule, &rule.name, field, problem);
    };
    let has_service = documents
        .services
        .iter()
        .any(|service| service.name == rule.service);
    if !has_service {
        add("service", dangling(DocumentKind::Service, &rule.service));
    }
    if documents.pool(&rule.pool).is_none() {
        add("pool", dangling(DocumentKind::Pool, &rule.pool));
    }
    if !(1..=100).contains(&rule.percent) {
        add("percent", Problem::BadPercent(rule.percent));
    }
}

fn check_sums(rules: &[Rule], findings: &mut Findings) {
    let mut totals: BTreeMap<&str, u32> = BTreeMap::new();
    for rule in rules {
        *totals.entry(&rule.service).or_default() += u32::from(rule.percent);
    }
    for rule in rules {
        let total = totals[rule.service.as_str()];
        if total > MAX_RULES_PERCENT {
            let service = rule.service.clone();
            let problem = Problem::PercentSum { service, total };
            findings.add(DocumentKind::Rule, &rule.name, "percent", problem);
        }
    }
}
