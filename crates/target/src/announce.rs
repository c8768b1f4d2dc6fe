//! HTTP server for the target's announcements, on loopback.
//!
//! With `PUT /v1/target` a target announces its group, its address, the number of requests it can
//! process concurrently, and its state. It repeats the announcement every few seconds, because an
//! announcement is a lease of [`LEASE`]. When the lease expires the target is treated as draining,
//! because it may still finish its open flows; after another [`DEAD_AFTER_LAPSE`] it is treated as
//! dead. The answer to an invalid announcement names the field, and the previous announcement
//! stays in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::watch;
use volo::net::incoming::MakeIncoming;
use volo_http::http::StatusCode;
use volo_http::server::route::{MethodRouter, get};
use volo_http::server::{Router, Server};

/// Time for which an announcement is valid without being repeated.
pub const LEASE: Millis = Millis::from_secs(10);

/// Time from the expiry of the lease until the target is treated as dead.
pub const DEAD_AFTER_LAPSE: Millis = Millis::from_secs(30);

/// Longest announcement, in bytes.
const BODY_MAX: usize = 4_096;

/// Body of a target's announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Label by which pools select targets.
    pub group: String,
    /// TCP address on which the target listens.
    pub address: SocketAddr,
    /// Number of requests that it can process concurrently.
    pub slots: u16,
    /// State of the target.
    pub state: AnnouncedState,
}

/// States that a target can announce.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// Not ready for flows.
    Starting,
    /// Accepts new flows.
    Ready,
    /// Finishes its open flows and accepts no new ones.
    Draining,
}

impl From<AnnouncedState> for TargetState {
    fn from(state: AnnouncedState) -> Self {
        match state {
            AnnouncedState::Starting => Self::Starting,
            AnnouncedState::Ready => Self::Ready,
            AnnouncedState::Draining => Self::Draining,
        }
    }
}

/// Reason why an announcement is rejected.
#[derive(Debug, Error)]
pub enum AnnounceError {
    /// Too long.
    #[error("announcement of {0} bytes is longer than {BODY_MAX}")]
    Length(usize),
    /// Not JSON, or a field is missing, unknown or of the wrong type.
    #[error("announcement does not parse: {0}")]
    Json(#[from] serde_json::Error),
    /// The group name is empty.
    #[error("field group: must not be empty")]
    Group,
    /// The address is not one to connect to.
    #[error("field address: {0} has no IP number or no port to connect to")]
    Address(SocketAddr),
    /// A target without slots could never serve a request.
    #[error("field slots: must be at least 1")]
    Slots,
}

/// The announcement in force and its time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announced {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Time at which it was received.
    pub at: Instant,
}

impl Announced {
    /// Target state that follows from the announcement and the age of its lease.
    #[must_use]
    pub fn state_at(&self, now: Instant) -> TargetState {
        let age = Millis::from(now.saturating_duration_since(self.at));
        if age < LEASE {
            TargetState::from(self.announcement.state)
        } else if age < LEASE.after(DEAD_AFTER_LAPSE) {
            TargetState::Draining
        } else {
            TargetState::Dead
        }
    }
}

/// Latest announcement, or `None` before the first.
pub type Latest = Option<Arc<Announced>>;

/// Parses and validates the body of an announcement.
///
/// # Errors
///
/// [`AnnounceError`] names the field that is invalid.
pub fn parse(body: &[u8]) -> Result<Announcement, AnnounceError> {
    if body.len() > BODY_MAX {
        return Err(AnnounceError::Length(body.len()));
    }
    let announcement: Announcement = serde_json::from_slice(body)?;
    let address = announcement.address;
    if announcement.group.is_empty() {
        return Err(AnnounceError::Group);
    }
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(AnnounceError::Address(address));
    }
    if announcement.slots == 0 {
        return Err(AnnounceError::Slots);
    }
    Ok(announcement)
}

/// Serves announcements until the process receives a signal.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve(
    incoming: impl MakeIncoming,
    latest: watch::Sender<Latest>,
) -> Result<(), volo_http::error::BoxError> {
    Server::new(router(latest)).run(incoming).await
}

fn router(latest: watch::Sender<Latest>) -> Router {
    let reader = latest.subscribe();
    let put = move |body: Vec<u8>| {
        let latest = latest.clone();
        async move { take(&body, &latest) }
    };
    let show = move || {
        let reader = reader.clone();
        async move { show(&reader) }
    };
    let target: MethodRouter = get(show).put(put);
    Router::new()
        .route("/v1/target", target)
        .route("/health", get(async || "ok\n"))
}

fn take(body: &[u8], latest: &watch::Sender<Latest>) -> (StatusCode, String) {
    match parse(body) {
        Ok(announcement) => {
            let at = Instant::now();
            latest.send_replace(Some(Arc::new(Announced { announcement, at })));
            (StatusCode::OK, String::from("ok\n"))
        }
        Err(error) => (StatusCode::UNPROCESSABLE_ENTITY, format!("{error}\n")),
    }
}

fn show(latest: &watch::Receiver<Latest>) -> (StatusCode, String) {
    let announced = latest.borrow().clone();
    let Some(announced) = announced else {
        return (StatusCode::NOT_FOUND, String::from("no announcement yet\n"));
    };
    match serde_json::to_string(&announced.announcement) {
        Ok(json) => (StatusCode::OK, json),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
