//! Runs the program `citronhollow` against a fake balancer and checks exit codes and output.
//!
//! Scripts rely on both: a wrong exit code, or an error on standard output, would make them take a
//! failure for success.

use std::net::SocketAddr;
use std::process::Output;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::TargetState;
use citronhollow_operator::control::{self, Request};
use citronhollow_operator::failure::Failure;
use citronhollow_operator::http;
use citronhollow_operator::status::{
    DrainStatus, FleetStatus, PublishStatus, Status, TrafficStatus,
};
use citronhollow_operator::token::Token;
use tokio::net::{TcpListener, TcpSocket};
use tokio::process::Command;
use tokio::sync::mpsc;

const TOKEN: &str = "token-of-the-test";

/// Fake balancer with one target, whose open flows decrease by one with each drain request.
struct FakeBalancer {
    addr: SocketAddr,
}

impl FakeBalancer {
    async fn start(flows: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (handle, requests) = control::channel();
        tokio::spawn(answer(requests, flows));
        let token = Token::from(String::from(TOKEN));
        tokio::spawn(http::serve(listener, token, handle));
        Self { addr }
    }

    async fn run(&self, args: &[&str], token: &str) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_citronhollow"));
        command.args(args);
        command.env("CITRONHOLLOW_BALANCER", self.addr.to_string());
        command.env("CITRONHOLLOW_TOKEN", token);
        command.output().await.expect("the program runs")
    }
}

async fn answer(mut requests: mpsc::Receiver<Request>, mut flows: u32) {
    while let Some(request) = requests.recv().await {
        match request {
            Request::Status(reply) => {
                let _ = reply.send(Ok(status()));
            }
            Request::Drain { target, on, reply } => {
                flows = flows.saturating_sub(1);
                let outcome = if target == "desk-1" {
                    Ok(drained(target, on, flows))
                } else {
                    Err(Failure::from(ErrorKind::NotFound))
                };
                let _ = reply.send(outcome);
            }
            Request::Drafts(_) | Request::Apply { .. } | Request::States { .. } => {}
        }
    }
}

fn status() -> Status {
    Status {
        balancer: String::from("entry-a1"),
        domain: String::from("a"),
        version: String::from("0.1.0"),
        uptime_ms: Millis::from_secs(5),
        fleet: FleetStatus::default(),
        publish: PublishStatus::default(),
        traffic: TrafficStatus::default(),
    }
}

fn drained(target: String, on: bool, flows: u32) -> DrainStatus {
    let state = if on {
        TargetState::Draining
    } else {
        TargetState::Ready
    };
    DrainStatus {
        target,
        state: Some(state),
        open: Some(flows),
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

macro_rules! example {
    ($path:literal) => {
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/", $path)
    };
}

const SETTINGS: &str = example!("settings/balancer.json");
const GREENRINK: &str = example!("documents/greenrink.json");
const CORTE_PRECISO: &str = example!("documents/corte-preciso.json");

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body })*
    };
}

/// Each case: arguments, exit code, and text contained in standard output and standard error.
macro_rules! calls {
    ($($name:ident: $args:expr => $code:literal, out $out:literal, err $err:literal;)*) => {
        $(#[tokio::test] async fn $name() {
            let output = FakeBalancer::start(1).await.run(&$args, TOKEN).await;
            let (out, err) = (stdout(&output), stderr(&output));
            assert_eq!(code(&output), $code, "{out}{err}");
            assert!(out.contains($out), "{out}");
            assert!(err.contains($err), "{err}");
            assert_eq!(out.is_empty(), $code != 0, "answers go to standard output: {out}");
            assert_eq!(err.is_empty(), $code == 0, "errors go to standard error: {err}");
        })*
    };
}

calls! {
    help: ["--help"] => 0, out "Exit codes:", err "";
    no_command_prints_help: [] => 0, out "Commands:", err "";
    help_of_a_command: ["drain", "--help"] => 0, out "--wait SECONDS", err "";
    version: ["--version"] => 0, out "citronhollow 0.", err "";
    unknown_command: ["juggle"] => 2, out "", err "juggle";
    unknown_option: ["status", "--loud"] => 2, out "", err "--loud";
    settings_are_required: ["balancer"] => 2, out "", err "--settings";
    absent_settings: ["balancer", "-s", "absent.json"] => 4, out "", err "absent.json";
    status_as_text: ["status"] => 0, out "balancer   entry-a1", err "";
    status_as_json: ["status", "--json"] => 0, out "\"balancer\": \"entry-a1\"", err "";
    check_of_the_examples: ["check", GREENRINK, CORTE_PRECISO]
        => 0, out "the set is consistent (services: 4, pools: 5, rules: 1)", err "";
    check_as_json: ["check", GREENRINK, "--json"] => 0, out "\"services\": 2", err "";
    check_finds_one_set_given_twice: ["check", GREENRINK, GREENRINK]
        => 2, out "", err "service match-desk: name: ";
    check_of_settings_as_documents: ["check", SETTINGS] => 2, out "", err "unknown field";
    check_without_files: ["check"] => 2, out "", err "missing required free argument";
    unknown_kind: ["get", "target"] => 2, out "", err "use service, pool or rule";
    drain: ["drain", "desk-1"] => 0, out "desk-1: draining, 0 flows left", err "";
    undrain: ["undrain", "desk-1", "--wait", "60"] => 0, out "desk-1: ready", err "";
    drain_of_an_unknown_target: ["drain", "desk-9"] => 4, out "", err "no such object";
    error_as_json: ["drain", "desk-9", "--json"] => 4, out "", err "\"kind\": \"not_found\"";
    absent_token_file: ["drain", "desk-1", "-t", "absent"] => 4, out "", err "absent";
}

cases! {
    wrong_token_has_its_own_exit_code => {
        let output = FakeBalancer::start(1).await.run(&["drain", "desk-1"], "wrong").await;
        assert_eq!(code(&output), 7, "{}", stderr(&output));
    };

    drain_waits_until_no_flow_is_left => {
        let balancer = FakeBalancer::start(3).await;
        let output = balancer.run(&["drain", "desk-1", "--wait", "60"], TOKEN).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
        assert_eq!(stdout(&output), "desk-1: draining, 0 flows left\n");
        let progress = "desk-1: draining, 2 flows left\ndesk-1: draining, 1 flows left\n";
        assert_eq!(stderr(&output), progress);
    };

    drain_that_times_out_reports_the_flows_left => {
        let balancer = FakeBalancer::start(1_000).await;
        let output = balancer.run(&["drain", "desk-1", "--wait", "0"], TOKEN).await;
        assert_eq!(code(&output), 8);
        assert!(stderr(&output).contains("999 flows"), "{}", stderr(&output));
    };

    unresponsive_balancer_has_the_timeout_exit_code => {
        let mut balancer = FakeBalancer::start(1).await;
        // The bound socket reserves the port but does not listen.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        balancer.addr = socket.local_addr().expect("an address");
        let output = balancer.run(&["status"], TOKEN).await;
        assert_eq!(code(&output), 8, "{}", stderr(&output));
    };

    example_settings_pass_the_check => {
        let args = ["balancer", "--settings", SETTINGS, "--check-settings"];
        let output = FakeBalancer::start(1).await.run(&args, TOKEN).await;
        assert_eq!(code(&output), 0, "{}", stderr(&output));
    };
}
