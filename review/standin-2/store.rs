//! The platform's store: objects by kind and name, lists, watches, conditional writes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, J};

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), J>,
    history: Vec<(u64, String, J)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves calls at `at`.
    pub fn serve(&self, at: SocketAddr) {
        let listener = TcpListener::bind(at).expect("the store's address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.on_call(stream));
            }
        });
    }

    /// Writes an object as the operator. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: J) -> Instant {
        self.write(kind, name, spec);
        Instant::now()
    }

    /// Number of flows in all stored lists.
    pub fn listed_flows(&self) -> usize {
        let state = self.shared.0.lock().unwrap();
        let lists = state.objects.iter().filter(|(key, _)| key.0 == "citronhollow-flows");
        let counts = lists.map(|(_, object)| match object.get("spec").get("flows") {
            J::Arr(flows) => flows.len(),
            _ => 0,
        });
        counts.sum()
    }

    fn write(&self, kind: &str, name: &str, spec: J) -> J {
        let mut state = self.shared.0.lock().unwrap();
        let key = (String::from(kind), String::from(name));
        if let Some(old) = state.objects.get(&key)
            && *old.get("spec") == spec
        {
            return old.clone();
        }
        state.rev += 1;
        let rev = state.rev;
        let meta = J::Obj(vec![
            (String::from("name"), J::Str(String::from(name))),
            (String::from("rev"), J::Num(rev.to_string())),
            (String::from("created"), J::Num(rev.to_string())),
            (String::from("finalizers"), J::Arr(Vec::new())),
            (String::from("deleting"), J::Bool(false)),
        ]);
        let object = J::Obj(vec![
            (String::from("meta"), meta),
            (String::from("spec"), spec),
            (String::from("status"), J::Null),
        ]);
        state.history.push((rev, key.0.clone(), event(&object, false)));
        state.objects.insert(key, object.clone());
        drop(state);
        self.shared.1.notify_all();
        object
    }

    fn on_call(&self, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
        let Some((method, target, body)) = read_request(&mut stream) else {
            return;
        };
        std::thread::sleep(Duration::from_millis(4));
        let (status, body) = self.answer(&method, &target, &body);
        respond(&mut stream, status, &body);
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let (kind, name) = match parts[..] {
            ["objects", kind] => (kind, None),
            ["objects", kind, name] => (kind, Some(name)),
            _ => return (404, String::from("{}")),
        };
        let body = json::parse(body).unwrap_or(J::Null);
        match (method, name) {
            ("GET", None) if query.contains_key("watch") => {
                let after = query["watch"].parse().unwrap_or(0);
                let wait = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                self.watch(kind, after, Duration::from_millis(wait))
            }
            ("GET", None) => self.list(kind, query.get("after").copied().unwrap_or("")),
            ("GET", Some(name)) => match self.find(kind, name) {
                Some(object) => (200, object.to_string()),
                None => (404, String::from("{}")),
            },
            ("POST", None) => {
                let Some(name) = body.get("meta").get("name").str() else {
                    return (400, String::from("{}"));
                };
                match self.find(kind, name) {
                    Some(object) => (409, object.to_string()),
                    None => (200, self.write(kind, name, body.get("spec").clone()).to_string()),
                }
            }
            ("PUT" | "DELETE", Some(name)) => {
                let Some(object) = self.find(kind, name) else {
                    return (404, String::from("{}"));
                };
                let asked = body.get("meta").get("rev").u64();
                let asked = asked.or(query.get("rev").and_then(|rev| rev.parse().ok()));
                if asked.is_some() && asked != object.get("meta").get("rev").u64() {
                    return (409, object.to_string());
                }
                if method == "PUT" {
                    return (200, self.write(kind, name, body.get("spec").clone()).to_string());
                }
                self.remove(kind, name, &object);
                (200, object.to_string())
            }
            _ => (405, String::from("{}")),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<J> {
        let state = self.shared.0.lock().unwrap();
        state.objects.get(&(String::from(kind), String::from(name))).cloned()
    }

    fn remove(&self, kind: &str, name: &str, object: &J) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.history.push((rev, String::from(kind), event(object, true)));
        state.objects.remove(&(String::from(kind), String::from(name)));
        drop(state);
        self.shared.1.notify_all();
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found = state.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<J> = found.map(|(_, object)| object.clone()).collect();
        let more = items.len() > 500;
        let items = J::Arr(items.into_iter().take(500).collect());
        (200, format!("{{\"items\":{items},\"more\":{more},\"at\":{}}}", state.rev))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.history.iter().filter(|(rev, of, _)| *rev > after && of == kind);
            let events: Vec<J> = events.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = J::Arr(events);
                return (200, format!("{{\"events\":{events},\"at\":{}}}", state.rev));
            }
            let step = left.min(Duration::from_millis(50));
            state = self.shared.1.wait_timeout(state, step).unwrap().0;
        }
    }
}

fn event(object: &J, deleted: bool) -> J {
    J::Obj(vec![
        (String::from("object"), object.clone()),
        (String::from("deleted"), J::Bool(deleted)),
    ])
}

/// Reads one HTTP request with a Content-Length body.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, String, String)> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        let n = stream.read(&mut buf).ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..n]);
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut first = text.lines().next()?.split(' ');
    let (method, target) = (first.next()?.to_string(), first.next()?.to_string());
    let header = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string()).next()
    };
    if header("transfer-encoding").is_some() {
        return None;
    }
    let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = bytes[head + 4..].to_vec();
    while body.len() < length {
        let n = stream.read(&mut buf).ok()?;
        if n == 0 {
            return None;
        }
        body.extend_from_slice(&buf[..n]);
    }
    Some((method, target, String::from_utf8_lossy(&body).into_owned()))
}

pub fn respond(stream: &mut TcpStream, status: u16, body: &str) {
    let _ = write!(
        stream,
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
}

/// Makes one HTTP call. `None` if no whole answer arrived within a second.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    write!(
        stream,
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .ok()?;
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => text.extend_from_slice(&buf[..n]),
        }
        if text.len() > 8192 {
            break;
        }
        if text.windows(4).any(|w| w == b"\r\n\r\n") && !body.is_empty() {
            break;
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}
