//! Drafts: the latest documents written by operators, one platform object each.

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::objects::{Listing, Object};
use super::write::Stamp;
use crate::config::{
    CheckError, DocumentKind, DocumentRef, Documents, Pool, Problem, Rule, Service,
};

/// A document of any kind.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// A service.
    Service(Service),
    /// A pool.
    Pool(Pool),
    /// A rule.
    Rule(Rule),
}

/// Content of a draft object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Stamp of the write, by which a write whose answer was lost can be recognized.
    pub stamp: Stamp,
    /// The document.
    pub document: Document,
}

impl Document {
    /// Returns the kind and name of the document.
    #[must_use]
    pub fn object(&self) -> DocumentRef {
        let (kind, name) = match self {
            Self::Service(service) => (DocumentKind::Service, &service.name),
            Self::Pool(pool) => (DocumentKind::Pool, &pool.name),
            Self::Rule(rule) => (DocumentKind::Rule, &rule.name),
        };
        DocumentRef {
            kind,
            name: name.clone(),
        }
    }

    /// Returns the name of the draft object, unique among all kinds.
    #[must_use]
    pub fn draft_name(&self) -> String {
        draft_name(&self.object())
    }

    /// Returns all documents of a set, each after those that it refers to. If drafts are written in
    /// this order and removed in reverse, references are valid at every moment.
    pub fn all_of(documents: &Documents) -> impl Iterator<Item = Self> {
        let services = documents.services.iter().cloned().map(Self::Service);
        let pools = documents.pools.iter().cloned().map(Self::Pool);
        let rules = documents.rules.iter().cloned().map(Self::Rule);
        pools.chain(services).chain(rules)
    }

    /// Adds the document to a set.
    pub fn add_to(self, documents: &mut Documents) {
        match self {
            Self::Service(service) => documents.services.push(service),
            Self::Pool(pool) => documents.pools.push(pool),
            Self::Rule(rule) => documents.rules.push(rule),
        }
    }
}

/// Returns the name of the draft object of a document.
#[must_use]
pub fn draft_name(object: &DocumentRef) -> String {
    format!("{}.{}", object.kind, object.name)
}

/// Returns the set of documents in the drafts, sorted by name.
///
/// # Errors
///
/// One [`CheckError`] for each draft that does not parse, or holds another document than its name
/// refers to.
pub fn documents_of(drafts: &Listing) -> Result<Documents, Vec<CheckError>> {
    let mut documents = Documents::default();
    let mut errors = Vec::new();
    for object in &drafts.objects {
        match parse(object) {
            Ok(document) => document.add_to(&mut documents),
            Err(error) => errors.push(*error),
        }
    }
    documents.sort();
    if errors.is_empty() {
        Ok(documents)
    } else {
        Err(errors)
    }
}

fn parse(object: &Object) -> Result<Document, Box<CheckError>> {
    let unparsable = |reason: String| {
        let object = document_ref(&object.name);
        let problem = Problem::Unparsable(reason);
        Box::new(CheckError::new(object, "document", problem))
    };
    let draft: Draft =
        serde_json::from_value(object.value.clone()).map_err(|err| unparsable(err.to_string()))?;
    let name = draft.document.draft_name();
    if name == object.name {
        Ok(draft.document)
    } else {
        Err(unparsable(format!("it holds {name}")))
    }
}

/// Returns the document that a draft's name refers to. A malformed name counts as a service's.
fn document_ref(draft: &str) -> DocumentRef {
    let (kind, name) = draft.split_once('.').unwrap_or(("service", draft));
    let kind = match kind {
        "pool" => DocumentKind::Pool,
        "rule" => DocumentKind::Rule,
        _ => DocumentKind::Service,
    };
    DocumentRef {
        kind,
        name: String::from(name),
    }
}
