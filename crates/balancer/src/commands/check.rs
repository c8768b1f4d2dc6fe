//! `citronhollow check`: checks a whole set of documents, without a balancer or the platform.

use citronhollow_core::config;
use citronhollow_operator::cli;
use citronhollow_operator::documents::refusal;
use citronhollow_operator::failure::Failure;
use gumdrop::Options;
use serde::Serialize;

use super::set;

/// Checks documents offline, as one set.
#[derive(Debug, Options)]
pub struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "files with documents, - for standard input")]
    files: Vec<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Output of `--json`: the number of documents of each kind.
#[derive(Clone, Copy, Debug, Serialize)]
struct Checked {
    services: usize,
    pools: usize,
    rules: usize,
}

/// Checks the documents of all files as one set.
pub fn run(options: &CheckOptions) -> Result<String, Failure> {
    let documents = set::read(&options.files)?;
    let errors = config::check(&documents, &[]);
    if !errors.is_empty() {
        return Err(refusal(&errors));
    }
    if options.json {
        return Ok(cli::to_json(&Checked {
            services: documents.services.len(),
            pools: documents.pools.len(),
            rules: documents.rules.len(),
        }));
    }
    Ok(format!(
        "the set is consistent ({})\n",
        set::counts(&documents)
    ))
}
