//! HTTP server of a process in pass-through delivery.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use citronhollow_operator::{exposition, probe};
use prometheus::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn get(addr: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[tokio::test]
async fn probe_follows_readiness_and_metrics_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let registry = Registry::new();
    exposition::gauge(&registry, "citronhollow_flows", "Flows").set(42);
    let is_ready = Arc::new(AtomicBool::new(false));
    let ready = Arc::clone(&is_ready);
    let is_ready = move || is_ready.load(Ordering::Relaxed);
    tokio::spawn(probe::serve(listener, "/ready", is_ready, registry));
    assert!(get(addr, "/ready").await.starts_with("HTTP/1.1 503"));
    ready.store(true, Ordering::Relaxed);
    assert!(get(addr, "/ready").await.starts_with("HTTP/1.1 200"));
    let metrics = get(addr, probe::METRICS_PATH).await;
    assert!(metrics.contains("citronhollow_flows 42"), "{metrics}");
}
