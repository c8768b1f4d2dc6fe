//! The difference between two revisions.
//!
//! Thousands of services make a revision of a megabyte, and thousands of changes a day would cost
//! every balancer many times its share of the network if each brought the whole. A change is a
//! few documents, so the difference is what is spread. It applies only to the very revision that
//! it was made from, and one that does not reproduce the new revision exactly is never made.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::config::{Documents, Pool, Revision, Rule, Service};

/// What turns one revision into a later one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionDelta {
    /// Number of the revision that it applies to.
    pub base: u64,
    /// Number of the revision that it gives.
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
    /// Names that are gone.
    removed: Vec<String>,
    /// Documents that are new or changed, with their places in the new list.
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
    /// The difference between two revisions, none if it would not reproduce the new one.
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

    /// The later revision, none if `old` is not the revision that the difference was made from.
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
