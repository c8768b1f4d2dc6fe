//! A target: it answers the line protocol, records what it ran and announces itself.

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
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// Line by which a run asks a target for its [`Report`].
pub const REPORT: &str = "REPORT";

/// What a target ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How often each nonce ran.
    pub ran: BTreeMap<u64, u64>,
    /// Connections that carried at least one byte.
    pub connections: u64,
}

/// What a target is told at its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Name of the target.
    pub name: String,
    /// Name of the service that it stands for, echoed in answers.
    pub service: String,
    /// Group that it announces.
    pub group: String,
    /// TCP address at which it listens.
    pub listen: SocketAddr,
    /// Requests it can work on at once.
    pub slots: u16,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Address at which its agent takes announcements.
    pub announce_to: SocketAddr,
}

/// Serves until the process ends.
///
/// # Errors
///
/// The error of the listening socket.
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
            // A caller may leave at any moment, so a failed connection is no event.
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
            return Err(io::Error::other("a line that is no request"));
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
        // The agent may start later than the target; the next announcement will do.
        let _ = client.put(&uri).json(&body).send().await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

/// Asks a target what it ran.
///
/// # Errors
///
/// The error of the connection, or of a report that does not parse.
pub async fn fetch_report(target: SocketAddr) -> io::Result<Report> {
    let stream = TcpStream::connect(target).await?;
    let (rx, mut tx) = stream.into_split();
    tx.write_all(format!("{REPORT}\n").as_bytes()).await?;
    let line = BufReader::new(rx).lines().next_line().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    serde_json::from_str(&line).map_err(io::Error::other)
}
