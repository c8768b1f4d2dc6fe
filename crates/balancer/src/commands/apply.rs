//! `citronhollow apply`: writes documents to the drafts and waits for their publication.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use citronhollow_operator::cli;
use citronhollow_operator::client::Client;
use citronhollow_operator::documents::{Applied, AppliedDraft, ApplyRequest, refusal};
use citronhollow_operator::failure::Failure;
use gumdrop::Options;
use serde::Serialize;
use tokio::time::Instant;

use super::remote::{self, Remote};
use super::set;

/// Poll interval while waiting for an apply.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Writes documents to the drafts. They are published together once the whole set is consistent.
#[derive(Debug, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
pub struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "files with documents, - for standard input")]
    files: Vec<String>,
    #[options(help = "address of the balancer's operator HTTP", meta = "ADDRESS")]
    balancer: Option<SocketAddr>,
    #[options(help = "file with the operator's token", meta = "FILE")]
    token_file: Option<String>,
    #[options(no_short, help = "show what would change, and change nothing")]
    dry_run: bool,
    #[options(no_short, help = "remove the drafts that are not in the files")]
    prune: bool,
    #[options(
        no_short,
        help = "refuse if the drafts have changed since this version",
        meta = "VERSION"
    )]
    base: Option<u64>,
    #[options(help = "wait until every process has the change", meta = "SECONDS")]
    wait: Option<u64>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Result of the command.
#[derive(Clone, Debug, Serialize)]
struct Outcome {
    #[serde(flatten)]
    applied: Applied,
    /// Revision in force everywhere, `None` without `--wait`.
    revision: Option<u64>,
}

/// Applies the documents of the files and, with `--wait`, waits until they are in force.
pub fn run(options: &ApplyOptions) -> Result<String, Failure> {
    let remote = Remote {
        balancer: options.balancer,
        token_file: options.token_file.as_deref(),
    };
    let client = remote.client()?;
    let request = ApplyRequest {
        documents: set::read(&options.files)?,
        prune: options.prune,
        dry_run: options.dry_run,
        base: options.base,
        operator: std::env::var("USER").unwrap_or_default(),
    };
    let outcome = remote::block_on(apply(&client, &request, options.wait))?;
    if options.json {
        return Ok(cli::to_json(&outcome));
    }
    Ok(text(&outcome))
}

async fn apply(
    client: &Client,
    request: &ApplyRequest,
    wait: Option<u64>,
) -> Result<Outcome, Failure> {
    let applied = client.apply(request).await?;
    check_written(&applied.drafts)?;
    let revision = match wait {
        Some(limit_s) if !request.dry_run => {
            let deadline = Instant::now() + Duration::from_secs(limit_s);
            let changes = changes_to_await(client, request, &applied).await?;
            let number = await_publication(client, &changes, deadline).await?;
            await_fleet(client, number, deadline).await?;
            Some(number)
        }
        _ => None,
    };
    Ok(Outcome { applied, revision })
}

/// The changes just made, and the latest changes of the request's other documents: an earlier run
/// may have made these and ended before they were in force.
async fn changes_to_await(
    client: &Client,
    request: &ApplyRequest,
    applied: &Applied,
) -> Result<Vec<DraftChange>, Failure> {
    let made = applied
        .drafts
        .iter()
        .filter_map(|draft| draft.change.clone());
    let mut changes: Vec<DraftChange> = made.collect();
    let names = set::draft_names(&request.documents);
    for state in client.drafts().await?.states {
        let is_made = changes.iter().any(|change| change.name == state.name);
        if names.contains(&state.name) && !is_made {
            changes.push(DraftChange {
                name: state.name,
                version: state.version,
                is_removal: false,
            });
        }
    }
    Ok(changes)
}

fn check_written(drafts: &[AppliedDraft]) -> Result<(), Failure> {
    let failed: Vec<&AppliedDraft> = drafts.iter().filter(|d| d.failure.is_some()).collect();
    let Some(kind) = failed.first().and_then(|draft| draft.failure) else {
        return Ok(());
    };
    let lines: Vec<String> = drafts.iter().map(line).collect();
    let message = format!(
        "{} of {} drafts were not written; apply again once the cause is gone\n{}",
        failed.len(),
        drafts.len(),
        lines.join("\n")
    );
    Err(Failure::new(kind, message))
}

/// Waits until every change is published, and returns the first revision with all of them.
async fn await_publication(
    client: &Client,
    changes: &[DraftChange],
    deadline: Instant,
) -> Result<u64, Failure> {
    eprintln!("waiting for the publisher");
    loop {
        let published = match client.states(changes).await {
            Ok(states) => published_revision(&states)?,
            Err(failure) if !is_transient(&failure) => return Err(failure),
            Err(_) => None,
        };
        if let Some(number) = published {
            return Ok(number);
        }
        pause(deadline, "no publisher has processed the change yet").await?;
    }
}

/// The first revision with all changes, `None` while one is pending.
fn published_revision(states: &[DraftStatus]) -> Result<Option<u64>, Failure> {
    let mut revision = Some(0);
    for state in states {
        match state {
            DraftStatus::Published(number) => revision = revision.map(|it| it.max(*number)),
            DraftStatus::Pending => revision = None,
            DraftStatus::Refused(errors) => return Err(refusal(errors)),
            DraftStatus::Replaced(_) | DraftStatus::Removed => {
                let message = format!("a change was {state}; get the drafts and apply again");
                return Err(Failure::new(ErrorKind::Conflict, message));
            }
        }
    }
    Ok(revision)
}

/// Waits until no process known to be alive reports a lower revision.
async fn await_fleet(client: &Client, number: u64, deadline: Instant) -> Result<(), Failure> {
    let mut last_shown = None;
    loop {
        let lowest = match client.status().await {
            Ok(status) => Some(status.fleet.lowest_reported),
            Err(failure) if !is_transient(&failure) => return Err(failure),
            Err(_) => None,
        };
        if lowest.is_some_and(|lowest| lowest >= number) {
            return Ok(());
        }
        if last_shown != lowest {
            let lowest = lowest.unwrap_or_default();
            eprintln!("revision {number} is published, the slowest process is at {lowest}");
            last_shown = Some(lowest);
        }
        pause(
            deadline,
            "the revision is published but not in force everywhere",
        )
        .await?;
    }
}

/// Whether a retry before the deadline may succeed: the platform or the balancer did not answer.
const fn is_transient(failure: &Failure) -> bool {
    matches!(
        failure.kind,
        ErrorKind::Timeout | ErrorKind::PlatformUnavailable
    )
}

async fn pause(deadline: Instant, state: &str) -> Result<(), Failure> {
    if Instant::now() >= deadline {
        let message = format!("{state}; nothing is lost, see status for what is missing");
        return Err(Failure::new(ErrorKind::Timeout, message));
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

fn line(draft: &AppliedDraft) -> String {
    format!("  {}: {}", draft.name, draft.outcome)
}

fn text(outcome: &Outcome) -> String {
    let Outcome { applied, revision } = outcome;
    let changes = applied.changes.iter().map(ToString::to_string);
    let drafts = applied.drafts.iter().map(line);
    let mut lines: Vec<String> = changes.chain(drafts).collect();
    if applied.changes.is_empty() {
        lines.push(String::from("nothing differs from the drafts"));
    } else if applied.drafts.is_empty() {
        lines.push(String::from("nothing was written"));
    }
    if let Some(number) = revision {
        lines.push(format!(
            "revision {number} is in force on every process known to be alive"
        ));
    }
    lines.join("\n") + "\n"
}
