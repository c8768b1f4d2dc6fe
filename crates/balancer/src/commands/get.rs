//! `citronhollow get`: shows drafts and their states.

use std::fmt::Write;
use std::net::SocketAddr;

use citronhollow_core::config::{DocumentKind, Documents};
use citronhollow_core::error::ErrorKind;
use citronhollow_operator::cli;
use citronhollow_operator::documents::Drafts;
use citronhollow_operator::failure::Failure;
use gumdrop::Options;

use super::remote::{self, Remote};
use super::set;

/// Shows drafts and their states: all, those of one kind, or one.
#[derive(Debug, Options)]
pub struct GetOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "service, pool or rule")]
    kind: Option<String>,
    #[options(free, help = "name of the document")]
    name: Option<String>,
    #[options(help = "address of the balancer's operator HTTP", meta = "ADDRESS")]
    balancer: Option<SocketAddr>,
    #[options(help = "print the documents as a file for apply")]
    export: bool,
    #[options(help = "print JSON with documents and states")]
    json: bool,
}

/// Selection of drafts.
#[derive(Clone, Copy, Debug)]
struct Selection<'a> {
    kind: Option<DocumentKind>,
    name: Option<&'a str>,
}

/// Gets the selected drafts from a balancer.
pub fn run(options: &GetOptions) -> Result<String, Failure> {
    let kind = options.kind.as_deref().map(set::kind).transpose()?;
    let selection = Selection {
        kind,
        name: options.name.as_deref(),
    };
    let remote = Remote {
        balancer: options.balancer,
        token_file: None,
    };
    let client = remote.client()?;
    let drafts = selection.of(remote::block_on(client.drafts())?);
    if drafts.states.is_empty() && selection.name.is_some() {
        return Err(Failure::from(ErrorKind::NotFound));
    }
    if options.export {
        return Ok(cli::to_json(&drafts.documents));
    }
    if options.json {
        return Ok(cli::to_json(&drafts));
    }
    Ok(text(&drafts))
}

impl Selection<'_> {
    fn of(&self, drafts: Drafts) -> Drafts {
        let Documents {
            services,
            pools,
            rules,
        } = drafts.documents;
        let documents = Documents {
            services: self.filter(DocumentKind::Service, services, |it| &it.name),
            pools: self.filter(DocumentKind::Pool, pools, |it| &it.name),
            rules: self.filter(DocumentKind::Rule, rules, |it| &it.name),
        };
        let names = set::draft_names(&documents);
        let mut states = drafts.states;
        states.retain(|state| names.contains(&state.name));
        Drafts {
            version: drafts.version,
            documents,
            states,
        }
    }

    fn filter<T>(&self, kind: DocumentKind, documents: Vec<T>, name: fn(&T) -> &String) -> Vec<T> {
        let is_kind = self.kind.is_none_or(|wanted| wanted == kind);
        let is_named = |it: &T| self.name.is_none_or(|wanted| wanted == name(it));
        let selected = documents.into_iter().filter(|it| is_kind && is_named(it));
        selected.collect()
    }
}

fn text(drafts: &Drafts) -> String {
    let mut out = String::new();
    for state in &drafts.states {
        let writer = state.writer.as_deref().unwrap_or("somebody");
        let (name, version, status) = (&state.name, state.version, &state.status);
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{name}  version {version} by {writer}  {status}");
    }
    let _ = writeln!(out, "drafts are at version {}", drafts.version);
    out
}
