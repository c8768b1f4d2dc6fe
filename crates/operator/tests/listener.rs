//! HTTP listener after signals that stop volo's server.
//!
//! A process must answer probes and operators while it drains, but volo's server stops accepting
//! on its own when the process receives SIGHUP, SIGINT or SIGTERM. The file has only this test,
//! because it sends signals to its own process.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use citronhollow_operator::listener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use volo_http::server::Server;
use volo_http::server::route::{Router, get};

/// Limit that ends a hanging test. No assertion depends on it.
const HANG_GUARD: Duration = Duration::from_mins(1);

/// Sends a request over a new connection and checks that it is answered.
async fn answers(addr: SocketAddr) {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        answer
    };
    let answer = timeout(HANG_GUARD, exchange).await;
    let answer = answer.expect("an answer in time");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

fn send_to_self(signal: &str) {
    let pid = std::process::id().to_string();
    let status = Command::new("kill").args(["-s", signal, &pid]).status();
    assert!(status.expect("kill runs").success());
}

#[tokio::test]
async fn requests_are_answered_after_every_signal() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(listener::serve(listener, |incoming| {
        let router: Router = Router::new().route("/", get(|| async { "ok" }));
        Server::new(router).run(incoming)
    }));
    answers(addr).await;
    for signal in ["HUP", "INT", "TERM", "TERM"] {
        send_to_self(signal);
        for _ in 0..5 {
            answers(addr).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
