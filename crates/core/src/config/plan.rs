//! Differences between two sets of documents.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::documents::Documents;
use super::problem::{DocumentKind, DocumentRef};

/// Kind of a change to a document.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The document is added.
    #[display("add")]
    Add,
    /// These top-level fields of the document change.
    #[display("change {}", _0.join(", "))]
    Change(Vec<String>),
    /// The document is removed.
    #[display("remove")]
    Remove,
}

/// One change between two sets of documents.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{object}: {action}")]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The document that changes.
    pub object: DocumentRef,
    /// Kind of the change.
    pub action: Action,
}

/// Returns the changes that lead from `old` to `new`, ordered by document.
#[must_use]
pub fn plan(old: &Documents, new: &Documents) -> Vec<Change> {
    let old = by_ref(old);
    let new = by_ref(new);
    let mut changes: BTreeMap<&DocumentRef, Action> = BTreeMap::new();
    for object in old.keys().filter(|object| !new.contains_key(object)) {
        changes.insert(object, Action::Remove);
    }
    for (object, value) in &new {
        match old.get(object) {
            None => {
                changes.insert(object, Action::Add);
            }
            Some(before) if before != value => {
                let fields = changed_fields(before, value);
                changes.insert(object, Action::Change(fields));
            }
            Some(_) => {}
        }
    }
    changes
        .into_iter()
        .map(|(object, action)| Change {
            object: object.clone(),
            action,
        })
        .collect()
}

fn by_ref(documents: &Documents) -> BTreeMap<DocumentRef, Value> {
    let mut values = BTreeMap::new();
    for service in &documents.services {
        insert(&mut values, DocumentKind::Service, &service.name, service);
    }
    for pool in &documents.pools {
        insert(&mut values, DocumentKind::Pool, &pool.name, pool);
    }
    for rule in &documents.rules {
        insert(&mut values, DocumentKind::Rule, &rule.name, rule);
    }
    values
}

fn insert<T: Serialize>(
    values: &mut BTreeMap<DocumentRef, Value>,
    kind: DocumentKind,
    name: &str,
    document: &T,
) {
    let object = DocumentRef {
        kind,
        name: String::from(name),
    };
    let value = serde_json::to_value(document).unwrap_or_default();
    values.insert(object, value);
}

fn changed_fields(old: &Value, new: &Value) -> Vec<String> {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else {
        return Vec::new();
    };
    new.iter()
        .filter(|(field, value)| old.get(*field) != Some(value))
        .map(|(field, _)| field.clone())
        .collect()
}
