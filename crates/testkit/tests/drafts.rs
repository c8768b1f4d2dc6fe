//! Operators' drafts against the platform stand-in.
//!
//! Guards against drafts that are inconsistent between two writes, changes that overwrite another
//! operator's change, and writes that are repeated or lost when an answer or a request is lost.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Rule, Service, check};
use citronhollow_core::publisher::{Document, DraftStatus, Kind};
use citronhollow_platform::drafts::{self, Applied, DraftsError, Outcome};
use citronhollow_platform::{Client, ClientConfig};
use citronhollow_testkit::platform::{self, Faults, Reads, StandIn};
use serde_json::json;

/// Ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
const CALL_TIMEOUT: Millis = Millis(500);

async fn start() -> (StandIn, Client) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = StandIn::start(listen).await.expect("a stand-in");
    let client = Client::new(ClientConfig {
        timeout: CALL_TIMEOUT,
        ..ClientConfig::new(platform.address())
    });
    (platform, client)
}

fn documents(percent: u8) -> Documents {
    Documents {
        services: vec![Service {
            name: String::from("match-desk"),
            addresses: vec![SocketAddr::from(([10, 1, 0, 1], 443))],
            pool: String::from("desk"),
            refusal: Refusal::Reset,
            new_flows_per_s: None,
            new_flows_per_s_per_caller: None,
            spill: citronhollow_core::config::Spill::Normal,
            requests: citronhollow_core::config::RequestClass::default(),
        }],
        pools: vec![Pool {
            name: String::from("desk"),
            groups: vec![String::from("desk")],
            flows_per_target: None,
        }],
        rules: vec![Rule {
            name: String::from("canary"),
            service: String::from("match-desk"),
            pool: String::from("desk"),
            percent,
        }],
    }
}

/// Returns the documents of `set` whose drafts have these names.
fn only(set: &Documents, names: &[String]) -> Documents {
    let mut only = Documents::default();
    Document::all_of(set)
        .filter(|document| names.contains(&document.draft_name()))
        .for_each(|document| document.add_to(&mut only));
    only
}

async fn apply(client: &Client, documents: &Documents, writer: &str) -> Vec<Applied> {
    let applied = drafts::apply(client, documents, writer, false).await;
    applied.expect("the platform answers")
}

fn outcome<'a>(applied: &'a [Applied], name: &str) -> &'a Outcome {
    let one = applied.iter().find(|one| one.name == name);
    &one.expect("a draft of this name").outcome
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() {
            tokio::time::timeout(TEST_TIMEOUT, async { $body }).await.expect("the test hangs");
        })*
    };
}

cases! {
    drafts_are_consistent_after_every_single_write_and_removal => {
        let (_platform, client) = start().await;
        let set = documents(5);
        let names = |applied: &[Applied]| -> Vec<String> {
            applied.iter().map(|one| one.name.clone()).collect()
        };
        let written = names(&apply(&client, &set, "run-1").await);
        let removed = drafts::apply(&client, &Documents::default(), "run-2", true).await;
        let removed = names(&removed.expect("the platform answers"));
        assert_eq!((written.len(), removed.len()), (3, 3));
        for left in 0..=3 {
            assert_eq!(check(&only(&set, &written[..left]), &[]), []);
            assert_eq!(check(&only(&set, &removed[left..]), &[]), []);
        }
    };

    only_changed_documents_are_written => {
        let (_platform, client) = start().await;
        let applied = apply(&client, &documents(5), "run-1").await;
        assert!(applied.iter().all(|one| matches!(one.outcome, Outcome::Written { .. })));
        let applied = apply(&client, &documents(6), "run-2").await;
        assert_eq!(*outcome(&applied, "service.match-desk"), Outcome::Unchanged);
        assert!(matches!(outcome(&applied, "rule.canary"), Outcome::Written { .. }));
        assert_eq!(drafts::read_drafts(&client).await.expect("drafts"), documents(6));
    };

    prune_removes_what_the_set_does_not_have => {
        let (_platform, client) = start().await;
        apply(&client, &documents(5), "run-1").await;
        let mut fewer = documents(5);
        fewer.rules.clear();
        let applied = drafts::apply(&client, &fewer, "run-2", true).await.expect("applied");
        assert!(matches!(outcome(&applied, "rule.canary"), Outcome::Removed { version } if *version > 0));
        assert_eq!(drafts::read_drafts(&client).await.expect("drafts"), fewer);
    };

    bad_name_writes_nothing => {
        let (platform, client) = start().await;
        let mut documents = documents(5);
        documents.rules[0].name = String::from("../lease");
        let err = drafts::apply(&client, &documents, "run-1", false).await.expect_err("a bad name");
        let DraftsError::Names(errors) = err else {
            panic!("{err}");
        };
        assert_eq!(errors.len(), 1);
        assert_eq!(platform.counts().total(), 0);
    };

    change_since_the_listing_is_a_conflict => {
        let (_platform, client) = start().await;
        apply(&client, &documents(5), "run-1").await;
        let listing = drafts::list(&client).await.expect("drafts");
        apply(&client, &documents(6), "anna").await;
        let applied = drafts::apply_to(&client, &listing, &documents(7), "run-3", false).await;
        let applied = applied.expect("the platform answers");
        let Outcome::Conflict { writer, .. } = outcome(&applied, "rule.canary") else {
            panic!("{applied:?}");
        };
        assert_eq!(writer, "anna");
        assert_eq!(drafts::read_drafts(&client).await.expect("drafts"), documents(6));
    };

    lost_answers_are_recognised => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        let applied = apply(&client, &documents(5), "run-1").await;
        assert!(applied.iter().all(|one| matches!(one.outcome, Outcome::Written { .. })), "{applied:?}");
        assert_eq!(platform.counts().0["put draft"], 3, "the lost one is not written twice");
    };

    lost_requests_are_sent_again => {
        let (platform, client) = start().await;
        platform.set_faults(Faults { lost_requests: 1, ..Faults::default() });
        let applied = apply(&client, &documents(5), "run-1").await;
        assert!(applied.iter().all(|one| matches!(one.outcome, Outcome::Written { .. })), "{applied:?}");
        assert_eq!(platform.counts().0["put draft"], 4);
    };

    lost_answer_of_a_removal_is_reported => {
        let (platform, client) = start().await;
        apply(&client, &documents(5), "run-1").await;
        let mut fewer = documents(5);
        fewer.rules.clear();
        platform.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        let applied = drafts::apply(&client, &fewer, "run-2", true).await.expect("applied");
        assert_eq!(*outcome(&applied, "rule.canary"), Outcome::Removed { version: 0 });
    };

    slower_of_two_operators_gets_a_conflict_with_the_first_writer => {
        let (platform, client) = start().await;
        apply(&client, &documents(5), "run-1").await;
        // The second operator's listing is from before the first operator's change.
        platform.set_faults(Faults { reads: Reads::Stale, ..Faults::default() });
        apply(&client, &documents(6), "anna").await;
        let slower = tokio::spawn({
            let client = client.clone();
            async move { apply(&client, &documents(7), "berta").await }
        });
        while platform.counts().0["put draft"] < 5 {
            tokio::task::yield_now().await;
        }
        platform.set_faults(Faults::default());
        let applied = slower.await.expect("no panic");
        let Outcome::Conflict { writer, .. } = outcome(&applied, "rule.canary") else {
            panic!("{applied:?}");
        };
        assert_eq!(writer, "anna");
        assert_eq!(drafts::read_drafts(&client).await.expect("drafts"), documents(6));
    };

    draft_that_vanished_is_a_conflict => {
        let (platform, client) = start().await;
        let applied = apply(&client, &documents(5), "run-1").await;
        platform.set_faults(Faults { reads: Reads::Stale, ..Faults::default() });
        let change = applied.iter().find_map(|one| {
            one.change().filter(|change| change.name == "rule.canary")
        }).expect("it was written");
        client.delete(&Kind::Draft.to_string(), &change.name, change.version).await.expect("removed");
        let applied = apply(&client, &documents(7), "run-2").await;
        assert!(matches!(outcome(&applied, "rule.canary"), Outcome::Conflict { version: 0, .. }));
    };

    busy_platform_runs_nothing => {
        let (platform, client) = start().await;
        let faults = Faults { service: platform::Service::Busy, ..Faults::default() };
        platform.set_faults(faults);
        let err = drafts::apply(&client, &documents(5), "run-1", false).await.expect_err("busy");
        assert!(matches!(err, DraftsError::Platform(_)), "{err}");
        assert!(platform.store().list("draft", "").objects.is_empty());
    };

    drafts_are_pending_without_a_publisher => {
        let (_platform, client) = start().await;
        apply(&client, &documents(5), "run-1").await;
        let states = drafts::read_statuses(&client).await.expect("states");
        assert_eq!(states.len(), 3);
        assert!(states.iter().all(|state| state.status == DraftStatus::Pending));
        assert!(states.iter().all(|state| state.writer.as_deref() == Some("run-1")));
    };

    draft_that_does_not_parse_is_reported => {
        let (_platform, client) = start().await;
        client.put("draft", "rule.x", 0, &json!({"colour": 1})).await.expect("written");
        let err = drafts::read_drafts(&client).await.expect_err("it does not parse");
        let DraftsError::Unparsable(errors) = err else {
            panic!("{err}");
        };
        assert!(errors[0].to_string().starts_with("rule x, document: it does not parse"));
    };
}
