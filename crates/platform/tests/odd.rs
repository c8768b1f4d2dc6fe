//! Objects whose value cannot be parsed, next to those that can.
//!
//! Guards against a list, a watch or an object that cannot be read because of one odd value. Each
//! test runs its own server, which writes raw bytes.

use citronhollow_core::clock::Millis;
use citronhollow_platform::{Client, ClientConfig};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const WAIT: Millis = Millis(100);

/// Values that a parser refuses.
fn odd_values() -> Vec<Vec<u8>> {
    let deep = format!("{}1{}", "[".repeat(50_000), "]".repeat(50_000));
    vec![
        deep.into_bytes(),
        b"{\"slots\":1e999}".to_vec(),
        b"\"\\ud800\"".to_vec(),
    ]
}

/// A client of a server that answers every call with the body, in which `ODD` is replaced.
async fn client(body: &str, odd: &[u8]) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let parts: Vec<_> = body.split("ODD").map(str::as_bytes).collect();
    let body = parts.join(odd);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a request"));
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        }
    });
    Client::new(ClientConfig::new(address))
}

/// Names, versions and values; an odd value is null, so that its draft is refused by name.
fn expected() -> Vec<(String, u64, Value)> {
    vec![
        (String::from("a"), 1, Value::Null),
        (String::from("b"), 2, json!(7)),
        (String::from("c"), 3, Value::Null),
    ]
}

#[tokio::test]
async fn list_is_read_beside_odd_values() {
    let body = r#"{"version":9,"objects":[{"name":"a","version":1,"value":ODD},
        {"name":"b","version":2,"value":7},{"name":ODD,"version":8,"value":1},
        {"name":"c","version":3,"value":ODD},ODD]}"#;
    for odd in odd_values() {
        let client = client(body, &odd).await;
        let listing = client.list("draft", "").await.expect("a list");
        let objects = listing.objects.into_iter();
        let objects: Vec<_> = objects.map(|it| (it.name, it.version, it.value)).collect();
        assert_eq!((listing.version, objects), (9, expected()));
        assert_eq!(client.unusable().total(), 4);
    }
}

#[tokio::test]
async fn watch_is_followed_beside_odd_values() {
    let body = r#"{"version":9,"changes":[{"name":"a","version":1,"value":ODD},
        {"name":"b","version":2,"value":7},{"name":ODD,"version":8,"value":1},
        {"name":"c","version":3,"value":ODD},ODD,{"name":"d","version":4,"value":null}]}"#;
    for odd in odd_values() {
        let client = client(body, &odd).await;
        let changes = client.watch("draft", 0, WAIT).await.expect("changes");
        assert_eq!(changes.version, 9, "the next watch goes on from here");
        let mut changes: Vec<_> = changes.changes;
        let removed = changes.pop().expect("a removal");
        assert_eq!((removed.name.as_str(), removed.value), ("d", None));
        let changes = changes.into_iter();
        let changes = changes.map(|it| (it.name, it.version, it.value.expect("written")));
        assert_eq!(changes.collect::<Vec<_>>(), expected());
        assert_eq!(client.unusable().total(), 4);
    }
}

#[tokio::test]
async fn odd_object_has_a_version_and_can_be_replaced() {
    for odd in odd_values() {
        let client = client(r#"{"name":"a","version":1,"value":ODD}"#, &odd).await;
        let object = client.get("draft", "a").await.expect("an answer");
        let object = object.expect("an object");
        assert_eq!((object.version, object.value), (1, Value::Null));
    }
}
