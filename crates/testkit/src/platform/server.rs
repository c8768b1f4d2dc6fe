//! HTTP server of the stand-in.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use citronhollow_platform::protocol::{
    ListQuery, MAX_VALUE_BYTES, MAX_WAIT_MS, Mismatch, WatchQuery, Written,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo::net::incoming::DefaultIncoming;
use volo_http::context::ServerContext;
use volo_http::http::request::Parts;
use volo_http::http::{StatusCode, header};
use volo_http::response::Response;
use volo_http::server::extract::{FromContext, Json, Query};
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get};
use volo_http::server::{IntoResponse, Server};

use super::faults::{Faults, Reads, Service};
use super::store::Store;

/// Kind and name of an object.
type Key = (String, String);

/// Time that an unanswered request is held open, longer than any client's timeout.
const HOLD_OPEN: Duration = Duration::from_mins(2);

/// Received calls, by `"{method} {kind}"`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CallCounts(pub BTreeMap<String, u64>);

impl CallCounts {
    /// Number of calls of all methods and kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    stale: Store,
    faults: Faults,
    counts: CallCounts,
}

impl State {
    fn readable(&self) -> &Store {
        if self.faults.reads == Reads::Stale {
            &self.stale
        } else {
            &self.store
        }
    }

    fn set_faults(&mut self, faults: Faults) {
        let becomes_stale = faults.reads == Reads::Stale && self.faults.reads != Reads::Stale;
        if becomes_stale {
            self.stale = self.store.clone();
        }
        self.faults = faults;
    }
}

#[derive(Clone, Debug, Default)]
struct Shared {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
}

/// Handle of a running stand-in, which serves until its runtime ends.
#[derive(Clone, Debug)]
pub struct StandIn {
    address: SocketAddr,
    shared: Shared,
}

impl StandIn {
    /// Starts a stand-in on `listen`; port zero picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Shared::default();
        let server = Server::new(router(&shared));
        let incoming = DefaultIncoming::from(listener);
        tokio::spawn(async move {
            // It serves until the runtime ends; an error means that it could not start.
            let _ = server.run(incoming).await;
        });
        Ok(Self { address, shared })
    }

    /// Address on which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().set_faults(faults);
    }

    /// Calls received so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts.clone()
    }

    /// Copy of the stored objects, regardless of faults.
    #[must_use]
    pub fn store(&self) -> Store {
        self.shared.lock().store.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that affect every call.
    async fn admit(&self, call: &str, kind: &str) -> Result<(), Response> {
        let faults = {
            let mut state = self.lock();
            let count = state.counts.0.entry(format!("{call} {kind}")).or_default();
            *count += 1;
            if Faults::take(&mut state.faults.busy_calls) {
                return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
            }
            state.faults
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.service == Service::Outage {
            tokio::time::sleep(HOLD_OPEN).await;
        }
        if faults.service == Service::Busy {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        Ok(())
    }

    async fn get(self, kind: String, name: String) -> Result<Response, Response> {
        self.admit("get", &kind).await?;
        let state = self.lock();
        let Some(object) = state.readable().get(&kind, &name) else {
            return Err(StatusCode::NOT_FOUND.into_response());
        };
        Ok(read_answer(object, state.faults))
    }

    async fn list(self, kind: String, query: ListQuery) -> Result<Response, Response> {
        self.admit("list", &kind).await?;
        let state = self.lock();
        let listing = state.readable().list(&kind, &query.prefix);
        Ok(read_answer(&listing, state.faults))
    }

    async fn put(self, key: Key, if_version: u64, body: Vec<u8>) -> Result<Response, Response> {
        let (kind, name) = key;
        self.admit("put", &kind).await?;
        if body.len() > MAX_VALUE_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into_response());
        }
        let value: Value =
            serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST.into_response())?;
        self.write(if_version, |store| {
            store.put(&kind, &name, if_version, value)
        })
        .await
    }

    async fn delete(self, key: Key, if_version: u64) -> Result<Response, Response> {
        let (kind, name) = key;
        self.admit("delete", &kind).await?;
        self.write(if_version, |store| store.delete(&kind, &name, if_version))
            .await
    }

    async fn write(
        &self,
        if_version: u64,
        change: impl FnOnce(&mut Store) -> Result<Written, Mismatch>,
    ) -> Result<Response, Response> {
        let outcome = self.apply(if_version, change);
        self.changed.send_replace(());
        match outcome {
            Outcome::Answered(answer) => answer,
            Outcome::Unanswered => {
                tokio::time::sleep(HOLD_OPEN).await;
                Err(StatusCode::GATEWAY_TIMEOUT.into_response())
            }
        }
    }

    fn apply(
        &self,
        if_version: u64,
        change: impl FnOnce(&mut Store) -> Result<Written, Mismatch>,
    ) -> Outcome {
        let mut state = self.lock();
        if Faults::take(&mut state.faults.lost_requests) {
            return Outcome::Unanswered;
        }
        if Faults::take(&mut state.faults.conflicts) {
            return Outcome::Answered(Err(mismatch(Mismatch {
                version: if_version,
            })));
        }
        let outcome = change(&mut state.store);
        if Faults::take(&mut state.faults.lost_answers) {
            return Outcome::Unanswered;
        }
        Outcome::Answered(
            outcome
                .map(|written| Json(written).into_response())
                .map_err(mismatch),
        )
    }

    async fn watch(self, kind: String, query: WatchQuery) -> Result<Response, Response> {
        self.admit("watch", &kind).await?;
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let mut update = self.changed.subscribe();
        let has_change = async {
            while !self.has_change(&kind, query.after) {
                if update.changed().await.is_err() {
                    return;
                }
            }
        };
        // After the timeout the answer is an empty list of changes.
        let _ = tokio::time::timeout(wait, has_change).await;
        let state = self.lock();
        if state.faults.closed_watches || state.faults.service == Service::Outage {
            return Err(StatusCode::BAD_GATEWAY.into_response());
        }
        let Some(changes) = state.store.changes(&kind, query.after) else {
            return Err(StatusCode::GONE.into_response());
        };
        Ok(read_answer(&changes, state.faults))
    }

    fn has_change(&self, kind: &str, after: u64) -> bool {
        let state = self.lock();
        state.faults.closed_watches
            || state
                .store
                .changes(kind, after)
                .is_none_or(|changes| !changes.changes.is_empty())
    }
}

enum Outcome {
    Answered(Result<Response, Response>),
    Unanswered,
}

/// Version that a write expects, from the `If-Match` header.
#[derive(Clone, Copy, Debug)]
struct IfMatch(u64);

impl FromContext for IfMatch {
    type Rejection = StatusCode;

    async fn from_context(_: &mut ServerContext, parts: &mut Parts) -> Result<Self, StatusCode> {
        parts
            .headers
            .get(header::IF_MATCH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .map(Self)
            .ok_or(StatusCode::BAD_REQUEST)
    }
}

fn mismatch(mismatch: Mismatch) -> Response {
    (StatusCode::PRECONDITION_FAILED, Json(mismatch)).into_response()
}

fn read_answer<T: Serialize>(answer: &T, faults: Faults) -> Response {
    let mut body = serde_json::to_vec(answer).unwrap_or_default();
    if faults.reads == Reads::Garbled {
        body.truncate(body.len() / 2);
    }
    body.into_response()
}

async fn merge(answer: impl Future<Output = Result<Response, Response>>) -> Response {
    answer.await.unwrap_or_else(|rejection| rejection)
}

fn router(shared: &Shared) -> Router {
    let for_get = shared.clone();
    let for_put = shared.clone();
    let for_delete = shared.clone();
    let for_list = shared.clone();
    let for_watch = shared.clone();
    let for_counts = shared.clone();
    let for_faults = shared.clone();
    let object = get(move |PathParams((kind, name)): PathParams<Key>| {
        merge(for_get.clone().get(kind, name))
    })
    .put(
        move |PathParams(key): PathParams<Key>, IfMatch(version): IfMatch, body: Vec<u8>| {
            merge(for_put.clone().put(key, version, body))
        },
    )
    .delete(
        move |PathParams(key): PathParams<Key>, IfMatch(version): IfMatch| {
            merge(for_delete.clone().delete(key, version))
        },
    );
    let list = get(
        move |PathParams(kind): PathParams<String>, Query(query): Query<ListQuery>| {
            merge(for_list.clone().list(kind, query))
        },
    );
    let watch = get(
        move |PathParams(kind): PathParams<String>, Query(query): Query<WatchQuery>| {
            merge(for_watch.clone().watch(kind, query))
        },
    );
    let counts = get(move || std::future::ready(Json(for_counts.lock().counts.clone())));
    let faults = volo_http::server::route::put(move |Json(faults): Json<Faults>| {
        for_faults.lock().set_faults(faults);
        std::future::ready(StatusCode::OK)
    });
    Router::new()
        .route("/v1/objects/{kind}/{name}", object)
        .route("/v1/objects/{kind}", list)
        .route("/v1/watch/{kind}", watch)
        .route("/admin/counts", counts)
        .route("/admin/faults", faults)
}
