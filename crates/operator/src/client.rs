//! HTTP client of a balancer's operator interface, for the operator commands.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::client::Client as HttpClient;
use volo_http::http::{Method, StatusCode, header};

use crate::documents::{Applied, ApplyRequest, Drafts};
use crate::failure::Failure;
use crate::http::DrainRequest;
use crate::status::{DrainStatus, Status};
use crate::token::Token;

/// Timeout of a call. The timeouts inside a balancer are shorter, so that their errors arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(35);

/// Client of one balancer.
#[derive(Clone)]
pub struct Client {
    balancer: SocketAddr,
    token: Option<Token>,
    http: HttpClient,
}

impl Client {
    /// Creates a client of the balancer at this address. Without a token only reads succeed.
    #[must_use]
    pub fn new(balancer: SocketAddr, token: Option<Token>) -> Self {
        Self {
            balancer,
            token,
            http: HttpClient::default(),
        }
    }

    /// Reads the balancer's status.
    ///
    /// # Errors
    ///
    /// Error that the balancer returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn status(&self) -> Result<Status, Failure> {
        self.call(Method::GET, "/status", Vec::new()).await
    }

    /// Drains a target, or ends its drain. Idempotent.
    ///
    /// # Errors
    ///
    /// Error that the balancer returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn drain(&self, target: &str, on: bool) -> Result<DrainStatus, Failure> {
        let path = if on { "/drain" } else { "/undrain" };
        let target = String::from(target);
        self.post(path, &DrainRequest { target }).await
    }

    /// Reads the drafts and their states.
    ///
    /// # Errors
    ///
    /// Error that the balancer returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn drafts(&self) -> Result<Drafts, Failure> {
        self.call(Method::GET, "/documents", Vec::new()).await
    }

    /// Applies documents. Applying the same documents again is safe.
    ///
    /// # Errors
    ///
    /// Error that the balancer returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<Applied, Failure> {
        self.post("/apply", request).await
    }

    /// Reads the states of changes, in the order given.
    ///
    /// # Errors
    ///
    /// Error that the balancer returns, or [`ErrorKind::Timeout`] if it does not answer.
    pub async fn states(&self, changes: &[DraftChange]) -> Result<Vec<DraftStatus>, Failure> {
        self.post("/states", &changes).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body).map_err(|error| {
            let message = format!("{path}: the request cannot be serialized: {error}");
            Failure::new(ErrorKind::Invalid, message)
        })?;
        self.call(Method::POST, path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Failure> {
        let exchange = self.exchange(method, path, body);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        let Ok(Some((status, body))) = answered else {
            return Err(self.no_answer());
        };
        if status == StatusCode::OK {
            return serde_json::from_slice(&body).map_err(|_| self.unreadable(path, status));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| self.unreadable(path, status)))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let uri = format!("http://{}{path}", self.balancer);
        let mut req = self.http.request(method, uri);
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, token.header());
        }
        let response = req.data(body).send().await.ok()?;
        let status = response.status();
        let body = response.into_body().into_vec().await.ok()?;
        Some((status, body))
    }

    fn no_answer(&self) -> Failure {
        let message = format!(
            "the balancer at {} does not answer; check the address, or ask another balancer",
            self.balancer
        );
        Failure::new(ErrorKind::Timeout, message)
    }

    fn unreadable(&self, path: &str, status: StatusCode) -> Failure {
        let message = format!(
            "{} answers {path} with {status} and an unknown body; check that it is the \
             operator address of a balancer of this version",
            self.balancer
        );
        Failure::new(ErrorKind::Invalid, message)
    }
}
