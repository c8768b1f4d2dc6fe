//! The balancer as a process: its reaction to signals.
//!
//! Guards against a signal that kills the process instead of making it leave, and against a process
//! that stops answering operators while it leaves.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use citronhollow_operator::client::Client;
use citronhollow_operator::status::Status;
use citronhollow_testkit::platform::StandIn;
use citronhollow_testkit::ports::free_addr;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Time limit that only ends a test that hangs.
const HANG_GUARD: Duration = Duration::from_mins(1);

struct Process {
    child: Child,
    client: Client,
    _platform: StandIn,
}

impl Process {
    /// Starts a balancer with the example settings on free ports, and waits until it answers.
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = StandIn::start(any).await.expect("a stand-in");
        let operator = free_addr().expect("a port");
        let example = include_str!("../../../examples/settings/balancer.json");
        let mut settings: Value = serde_json::from_str(example).expect("the example parses");
        settings["fabric_listen"] = json!(any);
        settings["control_listen"] = json!(any);
        settings["operator_listen"] = json!(operator);
        settings["seeds"] = json!([]);
        settings["platform"] = json!(platform.address());
        let mut child = Command::new(env!("CARGO_BIN_EXE_citronhollow"))
            .args(["balancer", "--settings", "-"])
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("the program runs");
        let mut input = child.stdin.take().expect("its standard input");
        let settings = settings.to_string();
        input.write_all(settings.as_bytes()).await.expect("written");
        drop(input);
        let client = Client::new(operator, None);
        let process = Self {
            child,
            client,
            _platform: platform,
        };
        process.status().await;
        process
    }

    /// Requests the status until the balancer answers.
    async fn status(&self) -> Status {
        let ask = async {
            loop {
                if let Ok(status) = self.client.status().await {
                    return status;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(HANG_GUARD, ask).await.expect("an answer")
    }

    async fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("it runs").to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(status.await.expect("kill runs").success());
    }

    async fn exit_code(&mut self) -> Option<i32> {
        let status = timeout(HANG_GUARD, self.child.wait()).await;
        status.expect("it ends").expect("a status").code()
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body })*
    };
}

cases! {
    hangup_changes_nothing => {
        let process = Process::start().await;
        process.signal("HUP").await;
        for _ in 0..5 {
            assert!(!process.status().await.fleet.is_leaving);
        }
    };

    terminate_leaves_and_answers_meanwhile => {
        let mut process = Process::start().await;
        process.signal("TERM").await;
        while !process.status().await.fleet.is_leaving {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(process.exit_code().await, Some(0));
    };

    interrupt_leaves_too => {
        let mut process = Process::start().await;
        process.signal("INT").await;
        assert_eq!(process.exit_code().await, Some(0));
    };
}
