//! The platform client against the stand-in.
//!
//! Guards against lost updates, writes that are repeated although they may have taken effect,
//! missed changes of a watch, and retries beyond the budget, under an outage, overload and lost
//! messages.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_platform::protocol::MAX_VALUE_BYTES;
use citronhollow_platform::{CallKind, Client, ClientConfig, PlatformError};
use citronhollow_testkit::platform::{CallCounts, Faults, Reads, Service, StandIn};
use serde_json::{Value, json};

/// Ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
const CALL_TIMEOUT: Millis = Millis(500);

async fn start() -> (StandIn, Client) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = StandIn::start(listen).await.expect("a stand-in");
    let client = client(platform.address());
    (platform, client)
}

fn client(address: SocketAddr) -> Client {
    Client::new(ClientConfig {
        timeout: CALL_TIMEOUT,
        ..ClientConfig::new(address)
    })
}

async fn put(client: &Client, name: &str, if_version: u64, value: u64) -> u64 {
    let written = client.put("draft", name, if_version, &json!(value)).await;
    written.expect("written").version
}

async fn value(client: &Client, name: &str) -> Option<Value> {
    let object = client.get("draft", name).await.expect("an answer");
    object.map(|object| object.value)
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() {
            tokio::time::timeout(TEST_TIMEOUT, async { $body }).await.expect("the test hangs");
        })*
    };
}

cases! {
    object_is_written_read_and_removed => {
        let (_platform, client) = start().await;
        assert_eq!(value(&client, "a").await, None);
        let first = put(&client, "a", 0, 1).await;
        let second = put(&client, "a", first, 2).await;
        assert!(second > first);
        assert_eq!(value(&client, "a").await, Some(json!(2)));
        let removed = client.delete("draft", "a", second).await.expect("removed");
        assert!(removed.version > second);
        assert_eq!(value(&client, "a").await, None);
        let again = put(&client, "a", 0, 3).await;
        assert!(again > removed.version, "a version is never repeated");
    };

    write_on_another_version_is_a_conflict => {
        let (_platform, client) = start().await;
        let first = put(&client, "a", 0, 1).await;
        for if_version in [0, first + 7] {
            let err = client.put("draft", "a", if_version, &json!(2)).await.expect_err("a conflict");
            assert!(matches!(err, PlatformError::Conflict { version, .. } if version == first), "{err}");
            assert_eq!(err.kind(), ErrorKind::Conflict);
        }
        let err = client.delete("draft", "b", 3).await.expect_err("a conflict");
        assert!(matches!(err, PlatformError::Conflict { version: 0, .. }), "{err}");
        assert_eq!(value(&client, "a").await, Some(json!(1)));
    };

    listing_has_the_version_of_its_kind => {
        let (_platform, client) = start().await;
        let first = put(&client, "a.x", 0, 1).await;
        let second = put(&client, "b.x", 0, 2).await;
        client.put("lease", "other", 0, &json!({})).await.expect("written");
        let listing = client.list("draft", "").await.expect("a listing");
        assert_eq!(listing.version, second);
        assert_eq!(listing.objects.len(), 2);
        let listing = client.list("draft", "a.").await.expect("a listing");
        assert_eq!(listing.objects[0].version, first);
        assert_eq!(listing.objects.len(), 1);
    };

    watch_answers_with_the_next_change => {
        let (_platform, client) = start().await;
        let first = put(&client, "a", 0, 1).await;
        let watching = {
            let client = client.clone();
            tokio::spawn(async move { client.watch("draft", first, Millis::from_secs(20)).await })
        };
        client.put("lease", "other", 0, &json!({})).await.expect("written");
        let second = put(&client, "a", first, 2).await;
        let changes = watching.await.expect("no panic").expect("changes");
        assert_eq!(changes.version, second);
        assert_eq!(changes.changes.len(), 1);
        assert_eq!(changes.changes[0].value, Some(json!(2)));
    };

    watch_without_a_change_answers_empty => {
        let (_platform, client) = start().await;
        let first = put(&client, "a", 0, 1).await;
        let changes = client.watch("draft", first, Millis(50)).await.expect("changes");
        assert_eq!((changes.version, changes.changes.len()), (first, 0));
    };

    watch_returns_the_latest_change_of_each_object => {
        let (_platform, client) = start().await;
        let first = put(&client, "a", 0, 1).await;
        let second = put(&client, "a", first, 2).await;
        let third = put(&client, "b", 0, 3).await;
        client.delete("draft", "a", second).await.expect("removed");
        let changes = client.watch("draft", 0, Millis(50)).await.expect("changes").changes;
        assert_eq!(changes.len(), 2);
        assert_eq!((changes[0].version, &changes[1].value), (third, &None));
    };

    watch_from_too_far_back_asks_to_list => {
        let (_platform, client) = start().await;
        let mut version = 0;
        for number in 0..1_100 {
            version = put(&client, "a", version, number).await;
        }
        let err = client.watch("draft", 1, Millis(50)).await.expect_err("too old");
        assert!(matches!(err, PlatformError::TooOld { .. }), "{err}");
        let changes = client.watch("draft", version - 1, Millis(50)).await.expect("changes");
        assert_eq!(changes.version, version);
    };

    write_with_a_lost_answer_is_not_retried => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        let err = client.put("draft", "a", 0, &json!(1)).await.expect_err("lost");
        assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
        assert_eq!(client.counters().sent(CallKind::Put), 1);
        assert_eq!(value(&client, "a").await, Some(json!(1)), "it took effect");
    };

    lost_request_looks_the_same_and_has_no_effect => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { lost_requests: 1, ..Faults::default() });
        let err = client.put("draft", "a", 0, &json!(1)).await.expect_err("lost");
        assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
        assert_eq!(value(&client, "a").await, None);
    };

    busy_platform_gets_retries_within_the_budget => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { service: Service::Busy, ..Faults::default() });
        let first_attempts = 60;
        for _ in 0..first_attempts {
            let err = client.get("draft", "a").await.expect_err("busy");
            assert!(matches!(err, PlatformError::NotRun { .. }), "{err}");
        }
        let retries = client.counters().retries();
        assert!((10..=22).contains(&retries), "{retries}: 10 at first and one in 5 calls");
        assert_eq!(client.counters().total(), first_attempts + retries);
    };

    write_that_was_not_run_is_retried => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { busy_calls: 2, ..Faults::default() });
        put(&client, "a", 0, 1).await;
        assert_eq!(client.counters().sent(CallKind::Put), 3);
    };

    call_during_an_outage_ends_at_the_timeout => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { service: Service::Outage, ..Faults::default() });
        let err = client.put("draft", "a", 0, &json!(1)).await.expect_err("no answer");
        assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
        assert!(platform.store().get("draft", "a").is_none());
    };

    garbled_answer_is_refused => {
        let (platform, client) = start().await;
        put(&client, "a", 0, 1).await;
        platform.set_faults(Faults { reads: Reads::Garbled, ..Faults::default() });
        let err = client.get("draft", "a").await.expect_err("cut");
        assert!(matches!(err, PlatformError::Unparsable { .. }), "{err}");
        assert!(err.to_string().contains("GET /v1/objects/draft/a"), "{err}");
    };

    stale_reads_show_the_past => {
        let (platform, client) = start().await;
        let first = put(&client, "a", 0, 1).await;
        platform.set_faults(Faults { reads: Reads::Stale, ..Faults::default() });
        put(&client, "a", first, 2).await;
        assert_eq!(value(&client, "a").await, Some(json!(1)));
        platform.set_faults(Faults::default());
        assert_eq!(value(&client, "a").await, Some(json!(2)));
    };

    value_over_the_limit_is_refused => {
        let (platform, client) = start().await;
        let err = client.put("draft", "a", 0, &"x".repeat(MAX_VALUE_BYTES)).await.expect_err("too large");
        assert!(matches!(err, PlatformError::TooLarge { .. }), "{err}");
        assert_eq!(platform.counts().total(), 0, "it is not even sent");
        let fits = client.put("draft", "a", 0, &"x".repeat(MAX_VALUE_BYTES - 2)).await;
        fits.expect("it fits exactly");
    };

    both_sides_count_the_same_calls => {
        let (platform, client) = start().await;
        let version = put(&client, "a", 0, 1).await;
        client.list("draft", "").await.expect("a listing");
        client.watch("draft", version, Millis(10)).await.expect("changes");
        client.delete("draft", "a", version).await.expect("removed");
        value(&client, "a").await;
        let CallCounts(counts) = platform.counts();
        // This protocol creates an object by a write with expected version zero.
        assert_eq!(client.counters().sent(CallKind::Create), 0);
        for kind in CallKind::ALL.into_iter().filter(|kind| *kind != CallKind::Create) {
            assert_eq!(client.counters().sent(kind), 1, "{kind}");
            assert_eq!(counts[&format!("{kind} draft")], 1, "{kind}");
        }
    };

    standin_runs_as_a_process => {
        let (mut process, address) = start_process();
        let client = client(address);
        put(&client, "a", 0, 1).await;
        let faults = serde_json::to_vec(&json!({"service": "busy"})).expect("JSON");
        set_faults(address, faults).await;
        let err = client.get("draft", "a").await.expect_err("busy");
        assert!(matches!(err, PlatformError::NotRun { .. }), "{err}");
        process.kill().expect("it runs");
        process.wait().expect("it ends");
    };
}

fn start_process() -> (Child, SocketAddr) {
    let mut process = Command::new(env!("CARGO_BIN_EXE_standin_platform"))
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let stdout = process.stdout.take().expect("its output");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("its address");
    let address = line.trim().trim_start_matches("listening on ");
    (process, address.parse().expect("an address"))
}

async fn set_faults(address: SocketAddr, faults: Vec<u8>) {
    let client = volo_http::client::Client::default();
    let answer = client
        .put(format!("http://{address}/admin/faults"))
        .header("content-type", "application/json")
        .data(faults)
        .send::<volo_http::body::Body>()
        .await
        .expect("an answer");
    assert!(answer.status().is_success(), "{}", answer.status());
}
