//! Sets of documents in files.

use citronhollow_core::config::{DocumentKind, DocumentRef, Documents};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::draft_name;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::input;

/// Reads the files as one set, `-` for standard input.
///
/// # Errors
///
/// [`Failure`] with the name of the file that cannot be read or does not parse.
pub fn read(paths: &[String]) -> Result<Documents, Failure> {
    let mut set = Documents::default();
    for path in paths {
        let text = input::read(path)?;
        let documents: Documents = serde_json::from_str(&text).map_err(|error| {
            let message = format!(
                "{path}: {error}; write one JSON object with services, pools and rules, as in \
                 examples/documents"
            );
            Failure::new(ErrorKind::Invalid, message)
        })?;
        set.services.extend(documents.services);
        set.pools.extend(documents.pools);
        set.rules.extend(documents.rules);
    }
    Ok(set)
}

/// Text with the number of documents of each kind.
#[must_use]
pub fn counts(set: &Documents) -> String {
    let (services, pools, rules) = (set.services.len(), set.pools.len(), set.rules.len());
    format!("services: {services}, pools: {pools}, rules: {rules}")
}

/// Parses a kind of document from the command line.
///
/// # Errors
///
/// [`Failure`] if there is no such kind.
pub fn kind(text: &str) -> Result<DocumentKind, Failure> {
    match text {
        "service" | "services" => Ok(DocumentKind::Service),
        "pool" | "pools" => Ok(DocumentKind::Pool),
        "rule" | "rules" => Ok(DocumentKind::Rule),
        _ => {
            let message = format!("{text:?} is not a kind of document; use service, pool or rule");
            Err(Failure::new(ErrorKind::Invalid, message))
        }
    }
}

/// Names of the drafts for the documents of a set.
#[must_use]
pub fn draft_names(set: &Documents) -> Vec<String> {
    let of = |kind, name: &String| {
        let name = name.clone();
        draft_name(&DocumentRef { kind, name })
    };
    let services = set.services.iter().map(|it| &it.name);
    let pools = set.pools.iter().map(|it| &it.name);
    let rules = set.rules.iter().map(|it| &it.name);
    services
        .map(|name| of(DocumentKind::Service, name))
        .chain(pools.map(|name| of(DocumentKind::Pool, name)))
        .chain(rules.map(|name| of(DocumentKind::Rule, name)))
        .collect()
}
