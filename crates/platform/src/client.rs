//! HTTP client of the object service.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::publisher::{Listing, Object};
use citronhollow_core::unusable::UnusableInputs;
use log::{debug, warn};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use volo_http::body::BodyConversion;
use volo_http::client::Client as HttpClient;
use volo_http::http::{HeaderMap, Method, StatusCode, header};

use crate::counters::{CallCounters, CallKind};
use crate::elements::{Element, parse_body};
use crate::era::{Era, Eras};
use crate::error::PlatformError;
use crate::protocol::{Change, Changes, MAX_VALUE_BYTES, Mismatch, WatchQuery, Written};
use crate::retry::{self, RetryBudget};

/// Address of the service and timeouts of the calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of one request other than a watch.
    pub timeout: Millis,
    /// Added to a watch's waiting time to give the timeout of its request.
    pub watch_margin: Millis,
    /// Response header that carries the era of the service's data, `None` if it sends none.
    pub era_header: Option<&'static str>,
}

impl ClientConfig {
    /// Default timeouts for the service at `address`, without an era header.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: Millis::from_secs(2),
            watch_margin: Millis::from_secs(1),
            era_header: None,
        }
    }
}

/// Client of the object service. Clones share counters, retry budget and eras.
#[derive(Clone)]
pub struct Client {
    cfg: ClientConfig,
    http: HttpClient,
    counters: Arc<CallCounters>,
    budget: Arc<RetryBudget>,
    eras: Arc<Eras>,
    unusable: Arc<UnusableInputs>,
    /// Whether the warning about a missing or unreadable era has been logged.
    has_warned: Arc<AtomicBool>,
}

const OK: u16 = StatusCode::OK.as_u16();
const NOT_FOUND: u16 = StatusCode::NOT_FOUND.as_u16();
const GONE: u16 = StatusCode::GONE.as_u16();
const PRECONDITION_FAILED: u16 = StatusCode::PRECONDITION_FAILED.as_u16();
const PAYLOAD_TOO_LARGE: u16 = StatusCode::PAYLOAD_TOO_LARGE.as_u16();
const TOO_MANY_REQUESTS: u16 = StatusCode::TOO_MANY_REQUESTS.as_u16();
const SERVICE_UNAVAILABLE: u16 = StatusCode::SERVICE_UNAVAILABLE.as_u16();

/// An object whose value is not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawObject {
    name: String,
    version: u64,
    value: Element,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListing {
    version: u64,
    objects: Vec<Element>,
}

/// A change whose value is not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChange {
    name: String,
    version: u64,
    value: Option<Element>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChanges {
    version: u64,
    changes: Vec<Element>,
}

struct Request<'a> {
    kind: CallKind,
    path: String,
    if_version: Option<u64>,
    body: Option<&'a [u8]>,
    timeout: Duration,
}

/// Response of the service with any status other than 429 or 5xx.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Era of the service's data, `None` if the response has none.
    pub era: Option<Era>,
}

impl Client {
    /// Creates a client. Every call opens a connection of its own.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        Self {
            cfg,
            http: HttpClient::default(),
            counters: Arc::default(),
            budget: Arc::default(),
            eras: Arc::default(),
            unusable: Arc::default(),
            has_warned: Arc::default(),
        }
    }

    /// Counts objects that cannot be read in `unusable`.
    #[must_use]
    pub fn counting_unusable(mut self, unusable: Arc<UnusableInputs>) -> Self {
        self.unusable = unusable;
        self
    }

    /// Counter of the objects that this client and its clones could not read.
    #[must_use]
    pub fn unusable(&self) -> &UnusableInputs {
        &self.unusable
    }

    /// Counts an object that cannot be read, and logs the first of each subject.
    pub fn on_unusable(&self, subject: &str, reason: &dyn Display) {
        if self.unusable.count(&subject) {
            warn!("platform: {subject} is left out: {reason}");
        }
    }

    /// Counters of the calls sent by this client and its clones.
    #[must_use]
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Eras seen by this client and its clones.
    #[must_use]
    pub fn eras(&self) -> &Eras {
        &self.eras
    }

    /// Reads one object, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer arrived within the retries.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let req = self.request(CallKind::Get, object_path(kind, name));
        let reply = self.send_read(&req).await?;
        match reply.status {
            OK => {
                let object: RawObject = parse(&req, &reply)?;
                Ok(Some(self.object(kind, object)))
            }
            NOT_FOUND => Ok(None),
            _ => Err(refused(&req, &reply)),
        }
    }

    /// Reads all objects of a kind whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer arrived within the retries.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/v1/objects/{kind}?prefix={prefix}");
        let req = self.request(CallKind::List, path);
        let reply = self.send_read(&req).await?;
        let listing: RawListing = expect_ok(&req, &reply)?;
        let objects = listing.objects.iter();
        let objects = objects.filter_map(|object| self.element(kind, object));
        Ok(Listing {
            version: listing.version,
            objects: objects.map(|object| self.object(kind, object)).collect(),
        })
    }

    /// Writes an object if its current version is `if_version`, where zero means that it does not
    /// exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] or [`PlatformError::Unparsable`] if the write may have taken effect;
    /// after any other error it has not.
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

    /// Deletes an object if its current version is `if_version`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] or [`PlatformError::Unparsable`] if the deletion may have taken
    /// effect; after any other error it has not.
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

    /// Waits up to `wait` for changes to objects of a kind after version `after`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::TooOld`] if the caller has to list again, and others if no usable answer
    /// arrived. A watch is not retried here, because its caller watches again in a loop.
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
        req.timeout = Duration::from(wait) + Duration::from(self.cfg.watch_margin);
        let reply = self.send(&req).await?;
        let changes: RawChanges = expect_ok(&req, &reply)?;
        let written = changes.changes.iter();
        let written = written.filter_map(|change| self.element::<RawChange>(kind, change));
        let written = written.map(|change| Change {
            value: change
                .value
                .map(|value| self.value(kind, &change.name, &value)),
            name: change.name,
            version: change.version,
        });
        Ok(Changes {
            version: changes.version,
            changes: written.collect(),
        })
    }

    /// Parses an element of a list. One that cannot be read is left out.
    fn element<T: DeserializeOwned>(&self, kind: &str, element: &Element) -> Option<T> {
        let subject = || format!("an object of {kind}");
        let parsed = element.parse();
        parsed
            .map_err(|err| self.on_unusable(&subject(), &err))
            .ok()
    }

    fn object(&self, kind: &str, object: RawObject) -> Object {
        Object {
            value: self.value(kind, &object.name, &object.value),
            name: object.name,
            version: object.version,
        }
    }

    /// Parses a value. One that cannot be read becomes null, which is no valid value of any kind, so
    /// that the object is refused by its name.
    fn value(&self, kind: &str, name: &str, value: &Element) -> Value {
        let parsed = value.parse();
        parsed.unwrap_or_else(|err| {
            self.on_unusable(&format!("{kind}/{name}"), &err);
            Value::Null
        })
    }

    /// Reads a path of a service whose paths and bodies differ from this crate's own protocol.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no answer arrived within the retries.
    pub async fn read(&self, kind: CallKind, path: String) -> Result<Reply, PlatformError> {
        self.send_read(&self.request(kind, path)).await
    }

    /// Writes to a path of a service whose paths and bodies differ from this crate's own protocol.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] if the write may have taken effect; after other errors it has not.
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

    /// Long poll: reads a path that answers at the next change, or without one after `wait`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no answer arrived. It is not retried here, as in [`Self::watch`].
    pub async fn wait(&self, path: String, wait: Millis) -> Result<Reply, PlatformError> {
        let mut req = self.request(CallKind::Watch, path);
        req.timeout = Duration::from(wait) + Duration::from(self.cfg.watch_margin);
        self.send(&req).await
    }

    fn request(&self, kind: CallKind, path: String) -> Request<'static> {
        Request {
            kind,
            path,
            if_version: None,
            body: None,
            timeout: self.cfg.timeout.into(),
        }
    }

    async fn send_read(&self, req: &Request<'_>) -> Result<Reply, PlatformError> {
        self.send_repeatedly(req, PlatformError::is_transient).await
    }

    /// Retries a write only if it was not run. After a lost answer, only the writer can tell from
    /// the object's content whether the write took effect.
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
        let reply = tokio::time::timeout(req.timeout, self.exchange(req))
            .await
            .map_err(|_| lost())?
            .ok_or_else(lost)?;
        if !self.eras.on_answer(reply.era) {
            debug!("platform: dropped an answer from an earlier era");
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
        // On a reused connection, a late duplicate of an earlier response would be taken for the
        // response to this call. Calls are rare, and a connection costs little compared to one.
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

    /// Era in the response headers. A response without one is accepted, for services without eras.
    fn era_of(&self, headers: &HeaderMap) -> Option<Era> {
        let name = self.cfg.era_header?;
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        let era = value.and_then(|text| text.trim().parse().ok()).map(Era);
        if era.is_none() && !self.has_warned.swap(true, Ordering::Relaxed) {
            warn!(
                "platform: answers have no readable {name} header; a restore from a backup is not detected"
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
    parse_body(&reply.body).map_err(|err| unparsable(req, &err.to_string()))
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

/// Decodes the value of an object.
///
/// # Errors
///
/// [`PlatformError::Unparsable`] if the value does not deserialize as `T`.
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
