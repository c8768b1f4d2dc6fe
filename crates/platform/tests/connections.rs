//! Servers that violate HTTP on a persistent connection.
//!
//! A duplicate response on a reused connection must not be taken for the response to the next
//! request, and a truncated body must not be taken for an answer. Each test runs its own server,
//! which writes raw bytes.

use std::net::SocketAddr;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_platform::client::{Client, ClientConfig};
use citronhollow_platform::{CallKind, PlatformError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Delay between the duplicate of the previous response and the current response.
const LATE: Duration = Duration::from_millis(30);

fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Path of the next request, `None` at the end of the connection.
async fn next_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    head.split(' ').nth(1).map(String::from)
}

/// Answers each request with its path, after a duplicate of the response to the previous request.
async fn serve_duplicates(mut stream: TcpStream) {
    let mut last: Option<String> = None;
    while let Some(path) = next_path(&mut stream).await {
        if let Some(last) = last.replace(path.clone()) {
            let _ = stream.write_all(answer(&last).as_bytes()).await;
            sleep(LATE).await;
        }
        let _ = stream.write_all(answer(&path).as_bytes()).await;
    }
}

/// Sends about half of the announced content length, and closes the connection.
async fn serve_truncated(mut stream: TcpStream) {
    while next_path(&mut stream).await.is_some() {
        let half = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"items\":[]";
        let _ = stream.write_all(half.as_bytes()).await;
        let _ = stream.shutdown().await;
    }
}

async fn start<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    addr
}

fn client(addr: SocketAddr) -> Client {
    Client::new(ClientConfig {
        timeout: Millis(500),
        ..ClientConfig::new(addr)
    })
}

#[tokio::test]
async fn late_duplicate_is_not_taken_for_the_next_answer() {
    let client = client(start(serve_duplicates).await);
    for number in 0..20 {
        let path = format!("/objects/{number}");
        let reply = client.read(CallKind::Get, path.clone()).await;
        let reply = reply.expect("an answer");
        assert_eq!(String::from_utf8(reply.body).expect("text"), path);
    }
}

#[tokio::test]
async fn truncated_answer_is_a_lost_answer() {
    let client = client(start(serve_truncated).await);
    let reply = client
        .write::<()>(CallKind::Put, String::from("/objects/1"), None)
        .await;
    let err = reply.expect_err("half an answer");
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
}
