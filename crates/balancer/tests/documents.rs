//! Documents from the command line to a revision in force, with the stand-in of the platform.
//!
//! Guards against drafts that are written although the resulting set is inconsistent, against
//! overwriting newer drafts, and against commands that hang or hide a platform failure.

use std::net::SocketAddr;
use std::process::{Output, Stdio};
use std::time::Duration;

use citronhollow_balancer::operator_http::{self, Identity, Sources};
use citronhollow_balancer::publish::{self, FleetView, PublishSettings};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_operator::control;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::http;
use citronhollow_operator::status::{FleetStatus, TrafficStatus};
use citronhollow_operator::token::Token;
use citronhollow_platform::{Client, ClientConfig};
use citronhollow_testkit::platform::{Faults, Service, StandIn};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::sync::watch;

const TOKEN: &str = "token-of-the-test";

const SET: &str = r#"{
  "services": [{"name": "desk", "addresses": ["10.1.0.1:443"], "pool": "desk"}],
  "pools": [{"name": "desk", "groups": ["desk"]}]
}"#;

const OTHER_POOL: &str = r#"{"pools": [{"name": "desk", "groups": ["desk", "spare"]}]}"#;

const DANGLING: &str = r#"{"rules": [
  {"name": "trial", "service": "desk", "pool": "nowhere", "percent": 5}
]}"#;

/// Operator HTTP of a balancer with its platform, without traffic threads.
struct Balancer {
    addr: SocketAddr,
    platform: StandIn,
    revisions: RevisionStore,
    _stop: watch::Sender<bool>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Balancer {
    /// Starts with or without a publisher.
    async fn start(has_publisher: bool) -> Self {
        let platform = StandIn::start(loopback()).await.expect("a stand-in");
        let client = Client::new(ClientConfig {
            timeout: Millis(500),
            ..ClientConfig::new(platform.address())
        });
        let revisions = RevisionStore::default();
        let (stop, stopped) = watch::channel(false);
        if has_publisher {
            let cfg = PublishSettings::new(String::from("entry-a1"));
            let view = || FleetView::default();
            let run = publish::run(cfg, client.clone(), revisions.clone(), view, stopped);
            tokio::spawn(run);
        }
        let listener = TcpListener::bind(loopback()).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (handle, requests) = control::channel();
        let token = Token::from(String::from(TOKEN));
        tokio::spawn(http::serve(listener, token, handle));
        let identity = Identity {
            name: String::from("entry-a1"),
            domain: String::from("a"),
            writer: String::from("entry-a1"),
        };
        let known = revisions.clone();
        let sources = Sources {
            fleet: async move || Ok(fleet(&known)),
            drain: async |_, _| Err(Failure::from(ErrorKind::NotFound)),
            traffic: TrafficStatus::default,
        };
        let requests = operator_http::run(requests, identity, client, revisions.clone(), sources);
        tokio::spawn(requests);
        Self {
            addr,
            platform,
            revisions,
            _stop: stop,
        }
    }

    /// Runs the program with `stdin` as its standard input.
    async fn run(&self, args: &[&str], stdin: &str) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_citronhollow"));
        command.args(args);
        command.env("CITRONHOLLOW_BALANCER", self.addr.to_string());
        command.env("CITRONHOLLOW_TOKEN", TOKEN);
        command.env("USER", "asha");
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program runs");
        let mut input = child.stdin.take().expect("its standard input");
        // Writing fails if the program has ended without reading its input.
        let _ = input.write_all(stdin.as_bytes()).await;
        drop(input);
        child.wait_with_output().await.expect("it ends")
    }

    async fn apply(&self, set: &str) {
        let output = self.run(&["apply", "-", "--wait", "60"], set).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
    }
}

fn fleet(revisions: &RevisionStore) -> FleetStatus {
    let revision = revisions.latest().number;
    FleetStatus {
        revision,
        lowest_reported: revision,
        ..FleetStatus::default()
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn stdout(output: &Output) -> &str {
    str::from_utf8(&output.stdout).expect("text")
}

fn stderr(output: &Output) -> &str {
    str::from_utf8(&output.stderr).expect("text")
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body })*
    };
}

cases! {
    applied_set_is_in_force_when_the_command_ends => {
        let balancer = Balancer::start(true).await;
        let output = balancer.run(&["apply", "-", "--wait", "60"], SET).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
        assert!(stdout(&output).contains("service desk: add"), "{}", stdout(&output));
        assert!(stdout(&output).contains("revision 1 is in force"), "{}", stdout(&output));
        assert_eq!(balancer.revisions.latest().documents.services[0].name, "desk");
    };

    dry_run_shows_changes_and_writes_nothing => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let output = balancer.run(&["apply", "-", "--dry-run"], OTHER_POOL).await;
        assert_eq!(stdout(&output), "pool desk: change groups\nnothing was written\n");
        let output = balancer.run(&["apply", "-", "--dry-run"], SET).await;
        assert_eq!(stdout(&output), "nothing differs from the drafts\n");
    };

    set_that_would_be_inconsistent_is_refused_before_it_is_written => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let output = balancer.run(&["apply", "-"], DANGLING).await;
        assert_eq!(code(&output), 2);
        assert!(stderr(&output).contains("rule trial: pool: "), "{}", stderr(&output));
        let output = balancer.run(&["get", "rule", "trial"], "").await;
        assert_eq!(code(&output), 4, "{}", stdout(&output));
    };

    prune_removes_what_the_file_does_not_have => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let args = ["apply", "-", "--prune", "--wait", "60"];
        let output = balancer.run(&args, OTHER_POOL).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
        assert!(stdout(&output).contains("service desk: remove"), "{}", stdout(&output));
        assert!(balancer.revisions.latest().documents.services.is_empty());
    };

    stale_base_version_is_a_conflict => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let output = balancer.run(&["apply", "-", "--base", "1"], OTHER_POOL).await;
        assert_eq!(code(&output), 3, "{}", stderr(&output));
        let drafts = balancer.run(&["get", "--json"], "").await;
        let drafts: serde_json::Value = serde_json::from_slice(&drafts.stdout).expect("JSON");
        let base = drafts["version"].to_string();
        let output = balancer.run(&["apply", "-", "--base", &base], OTHER_POOL).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
    };

    export_is_a_file_that_apply_takes => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let export = balancer.run(&["get", "--export"], "").await;
        let output = balancer.run(&["apply", "-", "--prune"], stdout(&export)).await;
        assert_eq!(stdout(&output), "nothing differs from the drafts\n");
    };

    get_shows_state_and_writer => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let output = balancer.run(&["get", "service", "desk"], "").await;
        let text = stdout(&output);
        assert!(text.starts_with("service.desk  version "), "{text}");
        assert!(text.contains("by asha/"), "{text}");
        assert!(text.contains("in force in revision 1"), "{text}");
        assert!(!text.contains("pool.desk"), "{text}");
    };

    without_a_publisher_the_wait_times_out_with_the_reason => {
        let balancer = Balancer::start(false).await;
        let output = balancer.run(&["apply", "-", "--wait", "0"], SET).await;
        assert_eq!(code(&output), 8);
        assert!(stderr(&output).contains("no publisher"), "{}", stderr(&output));
    };

    unavailable_platform_has_its_own_exit_code => {
        let balancer = Balancer::start(false).await;
        balancer.platform.set_faults(Faults {
            service: Service::Busy,
            ..Faults::default()
        });
        let output = balancer.run(&["apply", "-"], SET).await;
        assert_eq!(code(&output), 6, "{}", stderr(&output));
        let output = balancer.run(&["status"], "").await;
        assert_eq!(code(&output), 0, "a status needs no platform: {}", stderr(&output));
        assert!(stdout(&output).contains("platform   DOWN"), "{}", stdout(&output));
    };

    status_names_the_publisher => {
        let balancer = Balancer::start(true).await;
        balancer.apply(SET).await;
        let output = balancer.run(&["status"], "").await;
        assert!(stdout(&output).contains("publisher  entry-a1/"), "{}", stdout(&output));
        assert!(stdout(&output).contains("1 in force here, 1 published"), "{}", stdout(&output));
    };
}

/// A status must not wait for a platform that does not answer. The timeout only ends a hang.
#[tokio::test]
async fn unresponsive_platform_does_not_block_a_status() {
    let balancer = Balancer::start(false).await;
    balancer.platform.set_faults(Faults {
        service: Service::Outage,
        ..Faults::default()
    });
    let status = balancer.run(&["status", "--json"], "");
    let output = tokio::time::timeout(Duration::from_mins(1), status).await;
    let output = output.expect("it ends");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(
        stdout(&output).contains("\"reachable\": false"),
        "{}",
        stdout(&output)
    );
}
