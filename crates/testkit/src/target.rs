//! Target stand-in: answers the line protocol, records the requests it ran and announces itself.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::protocol::{Answer, Request};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Request line for a target's [`Report`].
pub const REPORT: &str = "REPORT";

/// Requests that a target ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How often each nonce ran.
    pub ran: BTreeMap<u64, u64>,
    /// Number of connections that carried at least one request.
    pub connections: u64,
}

/// Settings of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Name of the target.
    pub name: String,
    /// Name of the service that it serves, which its answers contain.
    pub service: String,
    /// Group that it announces.
    pub group: String,
    /// TCP address on which it listens.
    pub listen: SocketAddr,
    /// Number of requests that it announces it can process concurrently.
    pub slots: u16,
    /// Duration of a request, in milliseconds.
    pub work_ms: u64,
    /// Address on which its agent accepts announcements.
    pub announce_to: SocketAddr,
}

/// Serves until the process ends.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn run(settings: TargetSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let report = Arc::new(Mutex::new(Report::default()));
    let settings = Arc::new(settings);
    tokio::task::spawn_local(announce(Arc::clone(&settings)));
    loop {
        let (stream, _) = listener.accept().await?;
        let settings = Arc::clone(&settings);
        let report = Arc::clone(&report);
        tokio::task::spawn_local(async move {
            // Callers may disconnect at any time, so errors of a connection are ignored.
            let _ = serve(stream, &settings, &report).await;
        });
    }
}

async fn serve(
    stream: TcpStream,
    settings: &TargetSettings,
    report: &Mutex<Report>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (rx, mut tx) = stream.into_split();
    let mut lines = BufReader::new(rx).lines();
    let mut is_counted = false;
    while let Some(line) = lines.next_line().await? {
        if line == REPORT {
            let json = snapshot(report)?;
            tx.write_all(json.as_bytes()).await?;
            tx.write_all(b"\n").await?;
            continue;
        }
        let Some(req) = Request::parse(&line) else {
            return Err(io::Error::other(
                "received a line that is not a request: expected DO nonce bytes",
            ));
        };
        record(report, req.nonce, !is_counted);
        is_counted = true;
        tokio::time::sleep(Duration::from_millis(settings.work_ms)).await;
        let answer = Answer {
            nonce: req.nonce,
            target: settings.name.clone(),
            service: settings.service.clone(),
            bytes: req.bytes,
        };
        tx.write_all(answer.to_string().as_bytes()).await?;
    }
    tx.shutdown().await
}

fn record(report: &Mutex<Report>, nonce: u64, is_first: bool) {
    let mut report = report.lock().expect("no holder of the report panics");
    *report.ran.entry(nonce).or_default() += 1;
    report.connections += u64::from(is_first);
}

fn snapshot(report: &Mutex<Report>) -> io::Result<String> {
    let report = report.lock().expect("no holder of the report panics");
    serde_json::to_string(&*report).map_err(io::Error::other)
}

#[derive(Serialize)]
struct Announcement<'a> {
    group: &'a str,
    address: SocketAddr,
    slots: u16,
    state: &'a str,
}

async fn announce(settings: Arc<TargetSettings>) {
    let client = volo_http::client::ClientBuilder::new().build();
    let Ok(client) = client else {
        return;
    };
    let uri = format!("http://{}/v1/target", settings.announce_to);
    loop {
        let body = Announcement {
            group: &settings.group,
            address: settings.listen,
            slots: settings.slots,
            state: "ready",
        };
        // Errors are ignored: the agent may start after the target, and the next announcement
        // reaches it.
        let _ = client.put(&uri).json(&body).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Fetches a target's report.
///
/// # Errors
///
/// Returns the error of the connection, or an error if the report does not parse.
pub async fn fetch_report(target: SocketAddr) -> io::Result<Report> {
    let stream = TcpStream::connect(target).await?;
    let (rx, mut tx) = stream.into_split();
    tx.write_all(format!("{REPORT}\n").as_bytes()).await?;
    let line = BufReader::new(rx).lines().next_line().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    serde_json::from_str(&line).map_err(io::Error::other)
}
