//! The difference between two revisions.
//!
//! With thousands of services a revision takes about a megabyte. At thousands of changes a day,
//! distributing whole revisions would exceed every balancer's share of the network many times over.
//! A change affects only a few documents, so the delta is distributed instead. A delta applies only
//! to the exact revision that it was made from, and is created only if it reproduces the new
//! revision exactly.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::config::{Documents, Pool, Revision, Rule, Service};

/// Delta that turns one revision into a later one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionDelta {
    /// Number of the revision that it applies to.
    pub base: u64,
    /// Number of the resulting revision.
    pub number: u64,
    /// Epoch of the publisher's lease.
    pub epoch: u64,
    #[serde(default, skip_serializing_if = "ListDelta::is_empty")]
    services: ListDelta<Service>,
    #[serde(default, skip_serializing_if = "ListDelta::is_empty")]
    pools: ListDelta<Pool>,
    #[serde(default, skip_serializing_if = "ListDelta::is_empty")]
    rules: ListDelta<Rule>,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListDelta<T> {
    /// Names of the removed documents.
    removed: Vec<String>,
    /// New or changed documents, with their indices in the new list.
    put: Vec<(usize, T)>,
}

impl<T> Default for ListDelta<T> {
    fn default() -> Self {
        Self {
            removed: Vec::new(),
            put: Vec::new(),
        }
    }
}

impl RevisionDelta {
    /// Delta from `old` to `new`, or `None` if applying it would not reproduce `new`, as when
    /// unchanged documents were reordered.
    #[must_use]
    pub fn between(old: &Revision, new: &Revision) -> Option<Self> {
        let (from, to) = (&old.documents, &new.documents);
        let delta = Self {
            base: old.number,
            number: new.number,
            epoch: new.epoch,
            services: ListDelta::between(&from.services, &to.services, |it| &it.name),
            pools: ListDelta::between(&from.pools, &to.pools, |it| &it.name),
            rules: ListDelta::between(&from.rules, &to.rules, |it| &it.name),
        };
        (delta.apply(old).as_ref() == Some(new)).then_some(delta)
    }

    /// Applies the delta, or returns `None` if `old` is not the revision that it was made from.
    #[must_use]
    pub fn apply(&self, old: &Revision) -> Option<Revision> {
        if old.number != self.base || self.number <= self.base {
            return None;
        }
        let from = &old.documents;
        Some(Revision {
            number: self.number,
            epoch: self.epoch,
            documents: Documents {
                services: self.services.apply(&from.services, |it| &it.name),
                pools: self.pools.apply(&from.pools, |it| &it.name),
                rules: self.rules.apply(&from.rules, |it| &it.name),
            },
        })
    }
}

impl<T: Clone + PartialEq> ListDelta<T> {
    fn between(old: &[T], new: &[T], name: impl Fn(&T) -> &String) -> Self {
        let before: HashMap<&String, &T> = old.iter().map(|it| (name(it), it)).collect();
        let after: HashSet<&String> = new.iter().map(&name).collect();
        let removed = old
            .iter()
            .map(&name)
            .filter(|it| !after.contains(it))
            .cloned();
        let put = new
            .iter()
            .enumerate()
            .filter(|(_, it)| before.get(name(it)) != Some(it))
            .map(|(index, it)| (index, it.clone()));
        Self {
            removed: removed.collect(),
            put: put.collect(),
        }
    }

    fn apply(&self, old: &[T], name: impl Fn(&T) -> &String) -> Vec<T> {
        let put = self.put.iter().map(|(_, it)| name(it));
        let replaced: HashSet<&String> = self.removed.iter().chain(put).collect();
        let mut list: Vec<T> = old
            .iter()
            .filter(|it| !replaced.contains(name(it)))
            .cloned()
            .collect();
        for (index, it) in &self.put {
            let index = (*index).min(list.len());
            list.insert(index, it.clone());
        }
        list
    }
}

impl<T> ListDelta<T> {
    fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.put.is_empty()
    }
}
