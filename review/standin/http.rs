//! Small HTTP/1.1 calls and requests, one per connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for an answer: the time in which a heartbeat has to be acknowledged.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        let found = self.query.iter().find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }
}

/// Makes one call. Returns the status, none without an answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let len = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while !answer.windows(2).any(|two| two == b"\r\n") {
        match stream.read(&mut buf).ok()? {
            0 => return None,
            len => answer.extend(&buf[..len]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

/// Reads one request with a body of a stated length.
pub fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut all = Vec::new();
    let mut buf = [0; 16_384];
    let head_end = loop {
        if let Some(at) = all.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buf).ok()? {
            0 => return None,
            len => all.extend(&buf[..len]),
        }
    };
    let head = String::from_utf8_lossy(&all[..head_end]).into_owned();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_string(), first.next()?.to_string());
    let length = lines
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0);
    let mut body = all.split_off(head_end + 4);
    while body.len() < length {
        match stream.read(&mut buf).ok()? {
            0 => return None,
            len => body.extend(&buf[..len]),
        }
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_string(),
        query: query.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Writes an answer and closes the connection.
pub fn answer(stream: &mut TcpStream, status: u16, body: &str) {
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\
         Connection: close\r\n\r\n"
    );
    let _ = stream.write_all((head + body).as_bytes());
}
