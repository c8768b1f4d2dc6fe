//! Operator HTTP server and client with a fake control thread: routes, authorization, limits of
//! bodies, and errors when the control thread or the balancer does not answer.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;
use citronhollow_core::publisher::{DraftChange, DraftStatus};
use citronhollow_operator::client::Client;
use citronhollow_operator::control::{self, Request};
use citronhollow_operator::documents::{Applied, AppliedDraft, ApplyRequest, DraftState, Drafts};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::http;
use citronhollow_operator::status::{
    DrainStatus, FleetStatus, PublishStatus, Status, TrafficStatus, target_id,
};
use citronhollow_operator::token::Token;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

const TOKEN: &str = "token-of-the-test";

fn status(revision: u64) -> Status {
    Status {
        balancer: String::from("entry-a1"),
        domain: String::from("a"),
        version: String::from("0.1.0"),
        uptime_ms: Millis::from_secs(5),
        fleet: FleetStatus {
            revision,
            ..FleetStatus::default()
        },
        publish: PublishStatus::default(),
        traffic: TrafficStatus::default(),
    }
}

fn drained(target: &str, on: bool) -> DrainStatus {
    let state = if on {
        TargetState::Draining
    } else {
        TargetState::Ready
    };
    DrainStatus {
        target: String::from(target),
        state: Some(state),
        open: Some(3),
    }
}

fn drafts() -> Drafts {
    let pool = Pool {
        name: String::from("desk"),
        groups: vec![String::from("desk")],
        flows_per_target: None,
    };
    Drafts {
        version: 9,
        documents: Documents {
            pools: vec![pool],
            ..Documents::default()
        },
        states: vec![DraftState {
            name: String::from("pool.desk"),
            version: 9,
            writer: None,
            status: DraftStatus::Published(4),
        }],
    }
}

fn change() -> DraftChange {
    DraftChange {
        name: String::from("pool.desk"),
        version: 9,
        is_removal: false,
    }
}

/// Control thread with one target and this revision in force.
async fn fake_control(mut requests: mpsc::Receiver<Request>, revision: u64) {
    while let Some(request) = requests.recv().await {
        match request {
            Request::Status(reply) => {
                let _ = reply.send(Ok(status(revision)));
            }
            Request::Drain { target, on, reply } => {
                let outcome = if target == "desk-1" {
                    Ok(drained(&target, on))
                } else {
                    Err(Failure::from(ErrorKind::NotFound))
                };
                let _ = reply.send(outcome);
            }
            Request::Drafts(reply) => {
                let _ = reply.send(Ok(drafts()));
            }
            Request::Apply { request, reply } => {
                let name = request.documents.pools[0].name.clone();
                let outcome = AppliedDraft {
                    name,
                    outcome: request.operator,
                    failure: request.prune.then_some(ErrorKind::Conflict),
                    change: Some(change()),
                };
                let _ = reply.send(Ok(Applied {
                    changes: Vec::new(),
                    drafts: vec![outcome],
                }));
            }
            Request::States { changes, reply } => {
                let states = changes
                    .iter()
                    .map(|change| DraftStatus::Published(change.version));
                let _ = reply.send(Ok(states.collect()));
            }
        }
    }
}

async fn start(revision: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (handle, requests) = control::channel();
    tokio::spawn(fake_control(requests, revision));
    tokio::spawn(http::serve(
        listener,
        Token::from(String::from(TOKEN)),
        handle,
    ));
    addr
}

fn client(addr: SocketAddr) -> Client {
    Client::new(addr, Some(Token::from(String::from(TOKEN))))
}

/// Sends the text of a request unchanged and returns status and body.
async fn raw(addr: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("an answer");
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.expect("a status"), String::from(body))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n{body}")
}

fn failure(body: &str) -> Failure {
    serde_json::from_str(body).expect("a failure in JSON")
}

#[test]
fn target_is_named_by_name_or_identity() {
    let id = TargetId::of("desk-1");
    assert_eq!(target_id("desk-1"), id);
    assert_eq!(target_id(&id.to_string()), id);
    assert_eq!(
        target_id("beef"),
        TargetId::of("beef"),
        "too short for an identity"
    );
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body })*
    };
}

macro_rules! refused {
    ($($name:ident: $request:expr => $kind:ident;)*) => {
        $(#[tokio::test] async fn $name() {
            let addr = start(1).await;
            let (status, body) = raw(addr, &$request).await;
            let failure = failure(&body);
            assert_eq!(failure.kind, ErrorKind::$kind, "{failure}");
            assert_eq!(status, ErrorKind::$kind.answer().status);
            assert!(!body.contains(TOKEN));
        })*
    };
}

refused! {
    unknown_path: get("/nothing") => NotFound;
    get_of_a_post_route: get("/drain") => NotFound;
    post_to_a_get_route: post("/status", "Content-Length: 0\r\n", "") => NotFound;
    no_token: post("/drain", "Content-Length: 2\r\n", "{}") => Unauthorized;
    apply_without_token: post("/apply", "Content-Length: 2\r\n", "{}") => Unauthorized;
    wrong_token: post("/drain", "Authorization: Bearer token-of-the-tesT\r\n", "") => Unauthorized;
    shorter_token: post("/drain", "Authorization: Bearer token\r\n", "") => Unauthorized;
    other_scheme: post("/undrain", "Authorization: Basic token-of-the-test\r\n", "") => Unauthorized;
    body_without_length:
        post("/drain", &format!("Authorization: Bearer {TOKEN}\r\n"), "") => Invalid;
    body_over_the_limit:
        post("/drain", &format!("Authorization: Bearer {TOKEN}\r\nContent-Length: 1048577\r\n"), "")
        => Invalid;
    body_of_another_shape:
        post("/drain", &format!("Authorization: Bearer {TOKEN}\r\nContent-Length: 2\r\n"), "{}")
        => Invalid;
}

cases! {
    health_needs_no_revision => {
        let addr = start(0).await;
        let (status, body) = raw(addr, &get("/health")).await;
        assert_eq!((status, body.contains("true")), (200, true));
    };

    ready_follows_the_revision => {
        let (status, body) = raw(start(0).await, &get("/ready")).await;
        assert_eq!((status, failure(&body).kind), (503, ErrorKind::NoTarget));
        let (status, _) = raw(start(1).await, &get("/ready")).await;
        assert_eq!(status, 200);
    };

    status_is_complete_and_needs_no_token => {
        let addr = start(7).await;
        let client = Client::new(addr, None);
        assert_eq!(client.status().await.expect("a status"), status(7));
    };

    drain_and_undrain_name_the_target => {
        let client = client(start(1).await);
        let status = client.drain("desk-1", true).await.expect("drained");
        assert_eq!(status, drained("desk-1", true));
        let status = client.drain("desk-1", false).await.expect("back");
        assert_eq!(status, drained("desk-1", false));
    };

    documents_are_read_and_applied => {
        let client = client(start(1).await);
        assert_eq!(client.drafts().await.expect("drafts"), drafts());
        let request = ApplyRequest {
            documents: drafts().documents,
            prune: true,
            operator: String::from("asha"),
            ..ApplyRequest::default()
        };
        let applied = client.apply(&request).await.expect("applied");
        assert_eq!(applied.drafts[0].name, "desk");
        assert_eq!(applied.drafts[0].outcome, "asha");
        assert_eq!(applied.drafts[0].failure, Some(ErrorKind::Conflict));
        let states = client.states(&[change()]).await.expect("states");
        assert_eq!(states, [DraftStatus::Published(9)]);
    };

    failure_of_the_control_thread_is_passed_on_unchanged => {
        let client = client(start(1).await);
        let failure = client.drain("desk-9", true).await.expect_err("unknown");
        assert_eq!(failure, Failure::from(ErrorKind::NotFound));
    };

    stopped_control_thread_is_reported => {
        let (handle, requests) = control::channel();
        drop(requests);
        let failure = handle.status().await.expect_err("no control thread");
        assert_eq!(failure.kind, ErrorKind::Timeout);
    };

    dropped_reply_is_reported => {
        let (handle, mut requests) = control::channel();
        tokio::spawn(async move { drop(requests.recv().await) });
        let failure = handle.status().await.expect_err("no reply");
        assert_eq!(failure.kind, ErrorKind::Timeout);
    };

    unreachable_balancer_is_named => {
        // The socket reserves the port, so that no other test case gets it, but does not listen.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let addr = socket.local_addr().expect("an address");
        let failure = client(addr).status().await.expect_err("no answer");
        assert_eq!(failure.kind, ErrorKind::Timeout);
        assert!(failure.message.contains(&addr.to_string()), "{failure}");
    };
}

#[tokio::test(start_paused = true)]
async fn request_to_a_busy_control_thread_times_out() {
    let (handle, _requests) = control::channel();
    let failure = handle.status().await.expect_err("no reply");
    assert_eq!(failure.kind, ErrorKind::Timeout);
}
