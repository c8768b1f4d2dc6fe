//! `citronhollow drain` and `citronhollow undrain`.
//!
//! The request is idempotent, so a command that waits repeats it until the target's agent reports
//! that the drain is complete. Each request also makes the balancer query the agent directly, so
//! that it need not be one to which the agent sends heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::error::ErrorKind;
use citronhollow_core::members::TargetState;
use citronhollow_operator::cli;
use citronhollow_operator::client::Client;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::status::DrainStatus;
use gumdrop::Options;
use tokio::time::Instant;

use super::remote::{self, Remote};

/// Interval of requests of a command that waits.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Takes a target out of service: it gets no new flow and finishes those that it has.
#[derive(Debug, Options)]
pub struct DrainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the target, or its identity")]
    target: String,
    #[options(help = "address of the balancer's operator HTTP", meta = "ADDRESS")]
    balancer: Option<SocketAddr>,
    #[options(help = "file with the operator's token", meta = "FILE")]
    token_file: Option<String>,
    #[options(help = "wait until no flow is left", meta = "SECONDS")]
    wait: Option<u64>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Puts a target back into service: it gets new flows again.
#[derive(Debug, Options)]
pub struct UndrainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the target, or its identity")]
    target: String,
    #[options(help = "address of the balancer's operator HTTP", meta = "ADDRESS")]
    balancer: Option<SocketAddr>,
    #[options(help = "file with the operator's token", meta = "FILE")]
    token_file: Option<String>,
    #[options(help = "wait until the target takes new flows", meta = "SECONDS")]
    wait: Option<u64>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Parameters common to both commands.
#[derive(Debug)]
pub struct Drain {
    target: String,
    on: bool,
    balancer: Option<SocketAddr>,
    token_file: Option<String>,
    wait: Option<u64>,
    json: bool,
}

impl From<DrainOptions> for Drain {
    fn from(options: DrainOptions) -> Self {
        Self {
            target: options.target,
            on: true,
            balancer: options.balancer,
            token_file: options.token_file,
            wait: options.wait,
            json: options.json,
        }
    }
}

impl From<UndrainOptions> for Drain {
    fn from(options: UndrainOptions) -> Self {
        Self {
            target: options.target,
            on: false,
            balancer: options.balancer,
            token_file: options.token_file,
            wait: options.wait,
            json: options.json,
        }
    }
}

/// Requests the start or end of a drain from a balancer and, with `--wait`, waits until it is done.
pub fn run(drain: &Drain) -> Result<String, Failure> {
    let remote = Remote {
        balancer: drain.balancer,
        token_file: drain.token_file.as_deref(),
    };
    let client = remote.client()?;
    let status = remote::block_on(drain.request(&client))?;
    if drain.json {
        return Ok(cli::to_json(&status));
    }
    Ok(format!("{status}\n"))
}

impl Drain {
    async fn request(&self, client: &Client) -> Result<DrainStatus, Failure> {
        let limit_s = self.wait.unwrap_or(0);
        let deadline = Instant::now() + Duration::from_secs(limit_s);
        let mut last_shown = String::new();
        loop {
            let outcome = client.drain(&self.target, self.on).await;
            let is_last = Instant::now() >= deadline;
            let update = match outcome {
                Ok(status) if self.wait.is_none() || self.is_done(&status) => return Ok(status),
                Ok(status) if is_last => return Err(timed_out(limit_s, &status)),
                Ok(status) => status.to_string(),
                Err(failure) if is_last || failure.kind != ErrorKind::Timeout => {
                    return Err(failure);
                }
                Err(failure) => format!("{}: {failure}", self.target),
            };
            if update != last_shown {
                eprintln!("{update}");
                last_shown = update;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_done(&self, status: &DrainStatus) -> bool {
        let is_gone = matches!(status.state, None | Some(TargetState::Dead));
        let takes_new = status.state.is_some_and(TargetState::takes_new);
        if self.on {
            is_gone || (!takes_new && status.open == Some(0))
        } else {
            takes_new
        }
    }
}

fn timed_out(limit_s: u64, status: &DrainStatus) -> Failure {
    let message = format!(
        "{status} after {limit_s} s; the request stays in force, wait longer or check its flows"
    );
    Failure::new(ErrorKind::Timeout, message)
}
