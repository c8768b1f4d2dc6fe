//! The target's announcements, over HTTP on loopback.
//!
//! A target says by `PUT /v1/target` which group it belongs to, where it listens, how many
//! requests it can work on at once and what state it is in. It repeats that every few seconds: an
//! announcement is a lease of [`LEASE`]. When the lease lapses the target drains, because it may
//! still finish what it has, and after [`DEAD_AFTER_LAPSE`] more it is dead. A refused
//! announcement names the field and changes nothing.

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

/// Time for which an announcement holds without being repeated.
pub const LEASE: Millis = Millis::from_secs(10);

/// Time after the lapse of the lease after which the target is dead.
pub const DEAD_AFTER_LAPSE: Millis = Millis::from_secs(30);

/// Longest announcement, in bytes.
const BODY_MAX: usize = 4_096;

/// What a target says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The label that pools select by.
    pub group: String,
    /// TCP address at which the target serves.
    pub address: SocketAddr,
    /// Requests it can work on at once.
    pub slots: u16,
    /// What it can take.
    pub state: AnnouncedState,
}

/// What a target can say of its state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// Not ready for flows.
    Starting,
    /// Takes new flows.
    Ready,
    /// Finishes the flows it has and takes no new ones.
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

/// An announcement that is refused.
#[derive(Debug, Error)]
pub enum AnnounceError {
    /// Too long.
    #[error("announcement of {0} bytes is longer than {BODY_MAX}")]
    Length(usize),
    /// Not JSON, or a field is missing, unknown or of the wrong type.
    #[error("announcement does not parse: {0}")]
    Json(#[from] serde_json::Error),
    /// The group has no name.
    #[error("field group: must not be empty")]
    Group,
    /// The address cannot be connected to.
    #[error("field address: {0} has no IP number or no port to connect to")]
    Address(SocketAddr),
    /// A target without slots could never work.
    #[error("field slots: must be at least 1")]
    Slots,
}

/// The announcement in force and when it was made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announced {
    /// What the target said last.
    pub announcement: Announcement,
    /// When it said so.
    pub at: Instant,
}

impl Announced {
    /// The state by the announcement and the age of its lease.
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

/// The latest announcement, none before the first.
pub type Latest = Option<Arc<Announced>>;

/// Checks the body of an announcement.
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

/// Serves announcements until the process gets a signal.
///
/// # Errors
///
/// The error of the listener.
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
