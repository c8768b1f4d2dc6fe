//! HTTP/1.1 for the stand-ins: one request for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head_and_body(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut data = Vec::new();
    let mut buf = [0; 16_384];
    loop {
        if let Some(end) = data.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&data[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse::<usize>().ok())?
            });
            let length = length.unwrap_or(0);
            while data.len() < end + 4 + length {
                let read = stream.read(&mut buf).ok()?;
                if read == 0 {
                    return None;
                }
                data.extend_from_slice(&buf[..read]);
            }
            return Some((head, data[end + 4..end + 4 + length].to_vec()));
        }
        let read = stream.read(&mut buf).ok()?;
        if read == 0 {
            return None;
        }
        data.extend_from_slice(&buf[..read]);
    }
}

/// Serves requests until the process ends. `answer` returns status and body.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
                let Some((head, body)) = read_head_and_body(&mut stream) else {
                    return;
                };
                let mut words = head.split(' ');
                let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                let (path, query) = target.split_once('?').unwrap_or((target, ""));
                let query = query.split('&').filter_map(|pair| {
                    let (name, value) = pair.split_once('=')?;
                    Some((unescape(name), unescape(value)))
                });
                let request = Request {
                    method: String::from(method),
                    path: unescape(path),
                    query: query.collect(),
                    body,
                };
                let (status, body) = answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(body.as_bytes());
            });
        }
    });
}

/// Sends a request and returns the status, if an answer arrives within `timeout`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_head_and_body(&mut stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
