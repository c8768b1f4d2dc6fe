//! Operator HTTP server of a balancer.
//!
//! | request | response |
//! |---|---|
//! | `GET /health` | 200 while the process runs |
//! | `GET /ready` | 200 once a revision is in force on the balancer, else 503 |
//! | `GET /status` | [`crate::status::Status`] |
//! | `POST /drain`, `POST /undrain` with [`DrainRequest`] | [`crate::status::DrainStatus`] |
//! | `GET /documents` | [`crate::documents::Drafts`] |
//! | `POST /apply` with [`crate::documents::ApplyRequest`] | [`crate::documents::Applied`] |
//! | `POST /states` with a list of [`DraftChange`] | a list of [`DraftStatus`] |
//!
//! Every body is JSON. An error is a [`Failure`] with the HTTP status of its kind. POST requests
//! need the operator's token as a bearer token; without it they are refused before their body is
//! read.

use std::io;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use volo_http::body::BodyConversion;
use volo_http::http::{HeaderMap, StatusCode, header};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{MethodRouter, Router, get, post};
use volo_http::server::{IntoResponse, Server};

use crate::cli;
use crate::control::ControlHandle;
use crate::documents::{Applied, ApplyRequest, Drafts};
use crate::failure::Failure;
use crate::listener;
use crate::status::{DrainStatus, Status};
use crate::token::Token;

/// Largest body, in bytes: the largest value that the platform stores.
const BODY_MAX: usize = 1_024 * 1_024;

/// Body of `POST /drain` and `POST /undrain`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Name of the target, or its identity as 16 hexadecimal digits.
    pub target: String,
}

/// Body of `GET /health` and `GET /ready`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Always true: an error is returned as a [`Failure`] instead.
    pub ok: bool,
}

/// Serves operators until the process ends.
///
/// # Errors
///
/// I/O error if the signal handlers cannot be installed.
pub async fn serve(listener: TcpListener, token: Token, control: ControlHandle) -> io::Result<()> {
    let state = HandlerState { token, control };
    listener::serve(listener, |incoming| {
        Server::new(state.router()).run(incoming)
    })
    .await
}

/// State shared by the handlers.
#[derive(Clone)]
struct HandlerState {
    token: Token,
    control: ControlHandle,
}

impl HandlerState {
    fn router(&self) -> Router {
        Router::new()
            .route("/health", get(health).fallback(unknown_request))
            .route("/ready", self.get(Self::ready))
            .route("/status", self.get(Self::status))
            .route("/drain", self.post(Self::drain))
            .route("/undrain", self.post(Self::undrain))
            .route("/documents", self.get(Self::drafts))
            .route("/apply", self.post(Self::apply))
            .route("/states", self.post(Self::states))
            .fallback(unknown_request)
    }

    /// Route of a request that only reads.
    fn get<F, T>(&self, run: fn(Self) -> F) -> MethodRouter
    where
        F: Future<Output = Result<T, Failure>> + Send + 'static,
        T: Serialize + 'static,
    {
        let state = self.clone();
        get(move || async move { answer(run(state).await) }).fallback(unknown_request)
    }

    /// Route of a request that needs the token.
    fn post<B, F, T>(&self, run: fn(Self, B) -> F) -> MethodRouter
    where
        B: DeserializeOwned + Send + 'static,
        F: Future<Output = Result<T, Failure>> + Send + 'static,
        T: Serialize + 'static,
    {
        let state = self.clone();
        post(move |req: Request| async move {
            match state.authorized_body(req).await {
                Ok(body) => answer(run(state, body).await),
                Err(failure) => answer::<T>(Err(failure)),
            }
        })
        .fallback(unknown_request)
    }

    async fn ready(self) -> Result<Health, Failure> {
        let status = self.control.status().await?;
        if status.fleet.revision == 0 {
            let message = "no revision is in force here yet; it comes from the platform or a peer";
            return Err(Failure::new(ErrorKind::NoTarget, message));
        }
        Ok(Health { ok: true })
    }

    async fn status(self) -> Result<Status, Failure> {
        self.control.status().await
    }

    async fn drain(self, req: DrainRequest) -> Result<DrainStatus, Failure> {
        self.control.drain(req.target, true).await
    }

    async fn undrain(self, req: DrainRequest) -> Result<DrainStatus, Failure> {
        self.control.drain(req.target, false).await
    }

    async fn drafts(self) -> Result<Drafts, Failure> {
        self.control.drafts().await
    }

    async fn apply(self, req: ApplyRequest) -> Result<Applied, Failure> {
        self.control.apply(req).await
    }

    async fn states(self, changes: Vec<DraftChange>) -> Result<Vec<DraftStatus>, Failure> {
        self.control.states(changes).await
    }

    async fn authorized_body<B: DeserializeOwned>(&self, req: Request) -> Result<B, Failure> {
        let (parts, body) = req.into_parts();
        check_token(&parts.headers, &self.token)?;
        check_length(&parts.headers)?;
        let body = body.into_vec().await.map_err(|error| {
            let message = format!("the body cannot be read: {error}; send it again");
            Failure::new(ErrorKind::Invalid, message)
        })?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not what {} accepts: {error}", parts.uri.path());
            Failure::new(ErrorKind::Invalid, message)
        })
    }
}

fn check_token(headers: &HeaderMap, token: &Token) -> Result<(), Failure> {
    let given = headers.get(header::AUTHORIZATION);
    if given.is_some_and(|given| token.matches(given.as_bytes())) {
        return Ok(());
    }
    let message = "the operator's token is missing or wrong; give the balancer's operator_token";
    Err(Failure::new(ErrorKind::Unauthorized, message))
}

/// Refuses bodies that are too long, or whose length is unknown and therefore unbounded.
fn check_length(headers: &HeaderMap) -> Result<(), Failure> {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| length <= BODY_MAX) {
        return Ok(());
    }
    let message = format!("the body has no length or more than {BODY_MAX} bytes; send less");
    Err(Failure::new(ErrorKind::Invalid, message))
}

async fn health() -> Response {
    answer(Ok(Health { ok: true }))
}

async fn unknown_request(req: Request) -> Response {
    let (method, path) = (req.method(), req.uri().path());
    let message = format!("there is no {method} {path}; see the list of requests in the docs");
    answer::<()>(Err(Failure::new(ErrorKind::NotFound, message)))
}

fn answer<T: Serialize>(outcome: Result<T, Failure>) -> Response {
    match outcome {
        Ok(value) => json(StatusCode::OK, &value),
        Err(failure) => {
            let status = StatusCode::from_u16(failure.status());
            json(
                status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
                &failure,
            )
        }
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let headers = [(header::CONTENT_TYPE, "application/json")];
    (status, (headers, cli::to_json(value))).into_response()
}
