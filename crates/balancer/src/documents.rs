//! Operators' requests about documents, carried out at the platform.
//!
//! The whole set that would result from an apply is checked before any draft is written, so that
//! one operator's mistake does not block the drafts of all others. The publisher checks again,
//! because it may see newer drafts.

use std::collections::HashMap;
use std::hash::Hash;

use citronhollow_core::config::{self, Documents, HeldAddress, Revision};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus, Index, Listing, documents_of};
use citronhollow_operator::documents::{
    Applied, AppliedDraft, ApplyRequest, DraftState, Drafts, refusal,
};
use citronhollow_operator::failure::Failure;
use citronhollow_platform::drafts::{self, CheckResults, DraftsError, Outcome};
use citronhollow_platform::published::read_index;
use citronhollow_platform::{Client, PlatformError};

/// State that an apply is checked against, besides the set itself.
#[derive(Clone, Copy, Debug)]
pub struct InForce<'a> {
    /// The revision in force at this balancer.
    pub revision: &'a Revision,
    /// Lowest revision reported by any process known to be alive.
    pub lowest_reported: u64,
}

/// Reads the drafts with their states.
///
/// # Errors
///
/// [`Failure`] if the platform does not answer or a draft does not parse.
pub async fn read(client: &Client) -> Result<Drafts, Failure> {
    let listing = list(client).await?;
    let check_results = CheckResults::read(client)
        .await
        .map_err(|error| platform_failure(&error))?;
    let documents = documents_of(&listing).map_err(|errors| refusal(&errors))?;
    let states = check_results.states_of(&listing).into_iter();
    let states = states.map(|state| DraftState {
        name: state.name,
        version: state.version,
        writer: state.writer,
        status: state.status,
    });
    Ok(Drafts {
        version: listing.version,
        documents,
        states: states.collect(),
    })
}

/// Reads the states of changes, in the order of `changes`.
///
/// # Errors
///
/// [`Failure`] if the platform does not answer.
pub async fn states(client: &Client, changes: &[DraftChange]) -> Result<Vec<DraftStatus>, Failure> {
    let check_results = CheckResults::read(client)
        .await
        .map_err(|error| platform_failure(&error))?;
    Ok(changes
        .iter()
        .map(|change| check_results.status_of(change))
        .collect())
}

/// Applies documents as `writer`, which must be unique for each request.
///
/// # Errors
///
/// [`Failure`] if nothing was written: the set is inconsistent, the drafts have changed since the
/// operator read them, or the platform does not answer.
pub async fn apply(
    client: &Client,
    request: &ApplyRequest,
    writer: &str,
    in_force: InForce<'_>,
) -> Result<Applied, Failure> {
    let listing = list(client).await?;
    check_base(request.base, &listing)?;
    let current = documents_of(&listing).map_err(|errors| refusal(&errors))?;
    let wanted = if request.prune {
        request.documents.clone()
    } else {
        merge(&current, &request.documents)
    };
    let index = read_index(client)
        .await
        .map_err(|error| platform_failure(&error))?;
    let errors = config::check(&wanted, &held(index.as_ref(), in_force));
    if !errors.is_empty() {
        return Err(refusal(&errors));
    }
    let changes = config::plan(&current, &wanted);
    if request.dry_run || changes.is_empty() {
        let drafts = Vec::new();
        return Ok(Applied { changes, drafts });
    }
    let given = &request.documents;
    let applied = drafts::apply_to(client, &listing, given, writer, request.prune).await;
    let drafts = applied.map_err(drafts_failure)?;
    Ok(Applied {
        changes,
        drafts: drafts.iter().map(applied_draft).collect(),
    })
}

async fn list(client: &Client) -> Result<Listing, Failure> {
    let listing = drafts::list(client).await;
    listing.map_err(|error| platform_failure(&error))
}

fn check_base(base: Option<u64>, listing: &Listing) -> Result<(), Failure> {
    let Some(base) = base.filter(|base| *base < listing.version) else {
        return Ok(());
    };
    let message = format!(
        "the drafts have changed since version {base} and are at version {}; get them, and apply \
         your change to what they are now",
        listing.version
    );
    Err(Failure::new(ErrorKind::Conflict, message))
}

/// The current set with the given documents in place of those of the same kind and name.
#[must_use]
pub fn merge(current: &Documents, given: &Documents) -> Documents {
    Documents {
        services: merge_kind(&current.services, &given.services, |it| it.name.clone()),
        pools: merge_kind(&current.pools, &given.pools, |it| it.name.clone()),
        rules: merge_kind(&current.rules, &given.rules, |it| it.name.clone()),
    }
}

fn merge_kind<T: Clone, K: Eq + Hash>(current: &[T], given: &[T], name: fn(&T) -> K) -> Vec<T> {
    let named: HashMap<K, &T> = given.iter().map(|it| (name(it), it)).collect();
    let kept = current.iter().filter(|it| !named.contains_key(&name(it)));
    kept.chain(given).cloned().collect()
}

/// Addresses that no other service may use yet.
fn held(index: Option<&Index>, in_force: InForce<'_>) -> Vec<HeldAddress> {
    let reserved = index.into_iter().flat_map(|index| &index.reserved);
    let reserved = reserved
        .filter(|reserved| reserved.released_in > in_force.lowest_reported)
        .map(|reserved| reserved.held.clone());
    let services = in_force.revision.documents.services.iter();
    let addresses = services.flat_map(|service| {
        service.addresses.iter().map(|&address| HeldAddress {
            address,
            service: service.name.clone(),
        })
    });
    addresses.chain(reserved).collect()
}

fn applied_draft(applied: &drafts::Applied) -> AppliedDraft {
    let failure = match applied.outcome {
        Outcome::Unchanged | Outcome::Written { .. } | Outcome::Removed { .. } => None,
        Outcome::Conflict { .. } => Some(ErrorKind::Conflict),
        Outcome::NotRun => Some(ErrorKind::PlatformUnavailable),
        Outcome::Unknown => Some(ErrorKind::Timeout),
        Outcome::Refused => Some(ErrorKind::Invalid),
    };
    AppliedDraft {
        name: applied.name.clone(),
        outcome: applied.outcome.to_string(),
        failure,
        change: applied.change(),
    }
}

fn platform_failure(error: &PlatformError) -> Failure {
    Failure::new(error.kind(), error.to_string())
}

fn drafts_failure(error: DraftsError) -> Failure {
    match error {
        DraftsError::Names(errors) | DraftsError::Unparsable(errors) => refusal(&errors),
        DraftsError::Platform(error) => platform_failure(&error),
    }
}
