//! Calls on the object service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{Listing, Object};
use log::{debug, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use volo_http::body::BodyConversion;
use volo_http::client::Client as HttpClient;
use volo_http::http::{HeaderMap, Method, StatusCode, header};

use crate::counters::{CallCounters, CallKind};
use crate::era::{Era, Eras};
use crate::error::PlatformError;
use crate::protocol::{Changes, MAX_VALUE_BYTES, Mismatch, WatchQuery, Written};
use crate::retry::{self, RetryBudget};

/// Where the service is, and how long a call may take.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Address of the service.
    pub address: SocketAddr,
    /// Time limit of one request other than a watch.
    pub deadline: Millis,
    /// Time that a watch gets on top of its waiting time.
    pub watch_margin: Millis,
    /// Header by which the service names the era of its data, none if it has none.
    pub era_header: Option<&'static str>,
}

impl ClientConfig {
    /// The usual limits for the service at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            deadline: Millis::from_secs(2),
            watch_margin: Millis::from_secs(1),
            era_header: None,
        }
    }
}

/// A client. Clones share connections, counters and retry budget.
#[derive(Clone)]
pub struct Client {
    cfg: ClientConfig,
    http: HttpClient,
    counters: Arc<CallCounters>,
    budget: Arc<RetryBudget>,
    eras: Arc<Eras>,
    /// The log has a line on an answer without an era that can be read.
    has_warned: Arc<AtomicBool>,
}

const OK: u16 = StatusCode::OK.as_u16();
const NOT_FOUND: u16 = StatusCode::NOT_FOUND.as_u16();
const GONE: u16 = StatusCode::GONE.as_u16();
const PRECONDITION_FAILED: u16 = StatusCode::PRECONDITION_FAILED.as_u16();
const PAYLOAD_TOO_LARGE: u16 = StatusCode::PAYLOAD_TOO_LARGE.as_u16();
const TOO_MANY_REQUESTS: u16 = StatusCode::TOO_MANY_REQUESTS.as_u16();
const SERVICE_UNAVAILABLE: u16 = StatusCode::SERVICE_UNAVAILABLE.as_u16();

struct Request<'a> {
    kind: CallKind,
    path: String,
    if_version: Option<u64>,
    body: Option<&'a [u8]>,
    deadline: Duration,
}

/// An answer of the service, whatever its status says.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Era of the service's data, none if it names none.
    pub era: Option<Era>,
}

impl Client {
    /// A client of the service. It connects with the first call.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        Self {
            cfg,
            http: HttpClient::default(),
            counters: Arc::default(),
            budget: Arc::default(),
            eras: Arc::default(),
            has_warned: Arc::default(),
        }
    }

    /// Counts of the calls that this client and its clones sent.
    #[must_use]
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Eras that this client and its clones have seen.
    #[must_use]
    pub fn eras(&self) -> &Eras {
        &self.eras
    }

    /// Reads one object, none if it does not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer came in spite of repetitions.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let req = self.request(CallKind::Get, object_path(kind, name));
        let reply = self.send_read(&req).await?;
        match reply.status {
            OK => parse(&req, &reply).map(Some),
            NOT_FOUND => Ok(None),
            _ => Err(refused(&req, &reply)),
        }
    }

    /// Reads all objects of a kind whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer came in spite of repetitions.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/v1/objects/{kind}?prefix={prefix}");
        let req = self.request(CallKind::List, path);
        let reply = self.send_read(&req).await?;
        expect_ok(&req, &reply)
    }

    /// Writes an object if it has version `if_version`, zero for one that does not exist yet.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] if the write may have taken effect, otherwise it has not.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_version: u64,
        value: &T,
    ) -> Result<Written, PlatformError> {
        let mut req = self.request(CallKind::Put, object_path(kind, name));
        let body = serde_json::to_vec(value).map_err(|err| unparsable(&req, &err.to_string()))?;
        if body.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge { call: req.name() });
        }
        req.if_version = Some(if_version);
        req.body = Some(&body);
        let reply = self.send_write(&req).await?;
        expect_ok(&req, &reply)
    }

    /// Removes an object if it has version `if_version`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] if the removal may have taken effect, otherwise it has not.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: u64,
    ) -> Result<Written, PlatformError> {
        let mut req = self.request(CallKind::Delete, object_path(kind, name));
        req.if_version = Some(if_version);
        let reply = self.send_write(&req).await?;
        expect_ok(&req, &reply)
    }

    /// Waits up to `wait` for changes of a kind after version `after`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::TooOld`] if the caller has to list again, and others if no usable answer
    /// came. A watch is not repeated here, because its caller watches again anyway.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Millis,
    ) -> Result<Changes, PlatformError> {
        let query = WatchQuery {
            after,
            wait_ms: wait.0,
        };
        let path = format!(
            "/v1/watch/{kind}?after={}&wait_ms={}",
            query.after, query.wait_ms
        );
        let mut req = self.request(CallKind::Watch, path);
        req.deadline = Duration::from(wait) + Duration::from(self.cfg.watch_margin);
        let reply = self.send(&req).await?;
        expect_ok(&req, &reply)
    }

    /// Reads a path of a service with other shapes than this package's own.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no answer came in spite of repetitions.
    pub async fn read(&self, kind: CallKind, path: String) -> Result<Reply, PlatformError> {
        self.send_read(&self.request(kind, path)).await
    }

    /// Writes to a path of a service with other shapes than this package's own.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] if the write may have taken effect, otherwise it has not.
    pub async fn write<T: Serialize>(
        &self,
        kind: CallKind,
        path: String,
        value: Option<&T>,
    ) -> Result<Reply, PlatformError> {
        let mut req = self.request(kind, path);
        let body = value.map(serde_json::to_vec).transpose();
        let body = body.map_err(|err| unparsable(&req, &err.to_string()))?;
        req.body = body.as_deref();
        self.send_write(&req).await
    }

    /// Reads a path that answers with the next change, or without one after `wait`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no answer came. It is not repeated here, as in [`Self::watch`].
    pub async fn wait(&self, path: String, wait: Millis) -> Result<Reply, PlatformError> {
        let mut req = self.request(CallKind::Watch, path);
        req.deadline = Duration::from(wait) + Duration::from(self.cfg.watch_margin);
        self.send(&req).await
    }

    fn request(&self, kind: CallKind, path: String) -> Request<'static> {
        Request {
            kind,
            path,
            if_version: None,
            body: None,
            deadline: self.cfg.deadline.into(),
        }
    }

    async fn send_read(&self, req: &Request<'_>) -> Result<Reply, PlatformError> {
        self.send_repeatedly(req, PlatformError::is_transient).await
    }

    /// A write whose answer was lost is never repeated here: only its writer can recognise it.
    async fn send_write(&self, req: &Request<'_>) -> Result<Reply, PlatformError> {
        let was_not_run = |err: &PlatformError| matches!(err, PlatformError::NotRun { .. });
        self.send_repeatedly(req, was_not_run).await
    }

    async fn send_repeatedly(
        &self,
        req: &Request<'_>,
        may_repeat: impl Fn(&PlatformError) -> bool,
    ) -> Result<Reply, PlatformError> {
        self.budget.deposit();
        let mut attempt = 1;
        loop {
            let err = match self.send(req).await {
                Ok(reply) => return Ok(reply),
                Err(err) => err,
            };
            let has_attempts = attempt < retry::MAX_ATTEMPTS;
            if !may_repeat(&err) || !has_attempts || !self.budget.withdraw() {
                return Err(err);
            }
            debug!("platform: attempt {attempt} failed: {err}");
            self.counters.count_retry();
            tokio::time::sleep(retry::backoff(attempt)).await;
            attempt += 1;
        }
    }

    async fn send(&self, req: &Request<'_>) -> Result<Reply, PlatformError> {
        self.counters.count(req.kind);
        let lost = || PlatformError::Lost { call: req.name() };
        let reply = tokio::time::timeout(req.deadline, self.exchange(req))
            .await
            .map_err(|_| lost())?
            .ok_or_else(lost)?;
        if !self.eras.on_answer(reply.era) {
            debug!("platform: an answer of an earlier era is dropped");
            return Err(lost());
        }
        match reply.status {
            TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE => {
                Err(PlatformError::NotRun { call: req.name() })
            }
            500..=599 => Err(lost()),
            _ => Ok(reply),
        }
    }

    async fn exchange(&self, req: &Request<'_>) -> Option<Reply> {
        let uri = format!("http://{}{}", self.cfg.address, req.path);
        // On a connection that is used again, a late copy of an earlier answer would be taken for the
        // answer to this call. Calls are few, and a connection is cheap beside one.
        let http = self.http.request(req.method(), uri);
        let mut http = http.header(header::CONNECTION, "close");
        if let Some(version) = req.if_version {
            http = http.header(header::IF_MATCH, version.to_string());
        }
        if req.body.is_some() {
            http = http.header(header::CONTENT_TYPE, "application/json");
        }
        let body = req.body.map(<[u8]>::to_vec).unwrap_or_default();
        let response = http.data(body).send().await.ok()?;
        let status = response.status().as_u16();
        let era = self.era_of(response.headers());
        let body = response.into_body().into_vec().await.ok()?;
        Some(Reply { status, body, era })
    }

    /// The era that an answer names. One without it is taken as it was before there were eras.
    fn era_of(&self, headers: &HeaderMap) -> Option<Era> {
        let name = self.cfg.era_header?;
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        let era = value.and_then(|text| text.trim().parse().ok()).map(Era);
        if era.is_none() && !self.has_warned.swap(true, Ordering::Relaxed) {
            warn!(
                "platform: answers have no {name} that can be read, a return from a copy is not seen"
            );
        }
        era
    }
}

impl Request<'_> {
    fn method(&self) -> Method {
        match self.kind {
            CallKind::Get | CallKind::List | CallKind::Watch => Method::GET,
            CallKind::Create => Method::POST,
            CallKind::Put => Method::PUT,
            CallKind::Delete => Method::DELETE,
        }
    }

    fn name(&self) -> String {
        format!("{} {}", self.method(), self.path)
    }
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

fn expect_ok<T: DeserializeOwned>(req: &Request, reply: &Reply) -> Result<T, PlatformError> {
    match reply.status {
        OK => parse(req, reply),
        _ => Err(refused(req, reply)),
    }
}

fn parse<T: DeserializeOwned>(req: &Request, reply: &Reply) -> Result<T, PlatformError> {
    serde_json::from_slice(&reply.body).map_err(|err| unparsable(req, &err.to_string()))
}

fn refused(req: &Request, reply: &Reply) -> PlatformError {
    let call = req.name();
    match reply.status {
        PRECONDITION_FAILED => match parse::<Mismatch>(req, reply) {
            Ok(mismatch) => PlatformError::Conflict {
                call,
                version: mismatch.version,
            },
            Err(err) => err,
        },
        GONE => PlatformError::TooOld { call },
        PAYLOAD_TOO_LARGE => PlatformError::TooLarge { call },
        status => unparsable(req, &format!("unexpected status {status}")),
    }
}

fn unparsable(req: &Request, reason: &str) -> PlatformError {
    PlatformError::Unparsable {
        call: req.name(),
        reason: String::from(reason),
    }
}

/// Takes a value out of an object.
///
/// # Errors
///
/// [`PlatformError::Unparsable`] if the value is not what it should be.
pub fn decode<T: DeserializeOwned>(
    kind: &str,
    name: &str,
    value: Value,
) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|err| PlatformError::Unparsable {
        call: format!("value of {kind}/{name}"),
        reason: err.to_string(),
    })
}
