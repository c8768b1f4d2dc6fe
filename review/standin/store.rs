//! The platform's store: objects by kind and name, watches, and a history.
//!
//! Objects are kept as JSON text, since the standard library has no JSON parser: a `spec` is cut
//! out of a body by counting brackets.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::record::Record;

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    record: Record,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, event.
    history: Vec<(u64, String, String)>,
    /// Number of times that all open connections went silent.
    silenced: u64,
    /// Path of a DELETE whose answer is lost, and how much later it is done.
    lost_delete: Option<(String, Duration)>,
    watches: Vec<Instant>,
}

#[derive(Clone)]
struct Object {
    name: String,
    rev: u64,
    spec: String,
}

impl Object {
    fn text(&self) -> String {
        let Self { name, rev, spec } = self;
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":{rev},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }
}

impl Store {
    pub fn start(addr: SocketAddr, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind(addr).map_err(|err| err.to_string())?;
        let store = Self {
            shared: Arc::default(),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the operator's configuration. Its return is the acknowledgement.
    pub fn write_config(&self, spec: &str) {
        self.write("config", "main", spec);
    }

    /// From now on, connections that are open stay silent for good, without a reset.
    pub fn silence_open_connections(&self) {
        self.shared.state.lock().expect("the lock").silenced += 1;
    }

    /// Loses the answer of the next DELETE of `path`, which is done `later`.
    pub fn lose_delete(&self, path: &str, later: Duration) {
        let lost = Some((path.to_string(), later));
        self.shared.state.lock().expect("the lock").lost_delete = lost;
    }

    pub fn has(&self, kind: &str, name: &str) -> bool {
        let key = (kind.to_string(), name.to_string());
        let state = self.shared.state.lock().expect("the lock");
        state.objects.contains_key(&key)
    }

    /// Number of watches that began at `time` or later.
    pub fn watches_since(&self, time: Instant) -> usize {
        let state = self.shared.state.lock().expect("the lock");
        state.watches.iter().filter(|at| **at >= time).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        let silenced = || self.shared.state.lock().expect("the lock").silenced;
        let opened_in = silenced();
        let Some(request) = http::read(&mut stream) else {
            return;
        };
        if silenced() == opened_in && self.is_lost(&request) {
            // The connection returns nothing further.
            thread::sleep(Duration::from_secs(30));
            return;
        }
        let (status, body) = if silenced() == opened_in {
            self.answer(&request)
        } else {
            (0, String::new())
        };
        if silenced() == opened_in {
            http::answer(&mut stream, status, &body);
        } else {
            // Held open in silence for longer than any case lasts.
            thread::sleep(Duration::from_secs(150));
        }
    }

    /// Whether the answer is lost. The call is done later then.
    fn is_lost(&self, request: &Request) -> bool {
        let mut state = self.shared.state.lock().expect("the lock");
        let lost = state.lost_delete.take();
        match lost {
            Some((path, later)) if request.method == "DELETE" && request.path == path => {
                let (store, path) = (self.clone(), path.clone());
                let ms = later.as_millis();
                self.record.note(&format!(
                    "store: DELETE {path} gets no answer and is done {ms} ms later"
                ));
                thread::spawn(move || {
                    thread::sleep(later);
                    let (status, _) = store.remove(&path);
                    store.record.note(&format!("store: late DELETE {path} is done: {status}"));
                });
                true
            }
            other => {
                state.lost_delete = other;
                false
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let rest = request.path.strip_prefix("/objects/").unwrap_or_default();
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let answer = match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => self.watch(kind, request),
            ("GET", None) => self.list(kind, request),
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.create(kind, &request.body),
            ("PUT", Some(name)) => self.replace(kind, name, &request.body),
            ("DELETE", Some(_)) => self.remove(&request.path),
            _ => (404, String::from("{}")),
        };
        if request.method != "GET" {
            let (method, path, status) = (&request.method, &request.path, answer.0);
            self.record.note(&format!("store: {method} {path}: {status}"));
        }
        answer
    }

    fn write(&self, kind: &str, name: &str, spec: &str) -> (u16, String) {
        let mut state = self.shared.state.lock().expect("the lock");
        state.rev += 1;
        let object = Object {
            name: name.to_string(),
            rev: state.rev,
            spec: spec.to_string(),
        };
        let text = object.text();
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        let rev = state.rev;
        state.history.push((rev, kind.to_string(), event));
        let key = (kind.to_string(), name.to_string());
        state.objects.insert(key, object);
        self.shared.changed.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, request: &Request) -> (u16, String) {
        let after = request.query("after").unwrap_or_default();
        let state = self.shared.state.lock().expect("the lock");
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<_> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object.text())
            .collect();
        let (items, at) = (items.join(","), state.rev);
        (200, format!("{{\"items\":[{items}],\"more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |key| request.query(key).and_then(|text| text.parse::<u64>().ok());
        let after = number("watch").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.shared.state.lock().expect("the lock");
        state.watches.push(Instant::now());
        loop {
            let newer = state.history.iter().filter(|(rev, of, _)| *rev > after && of == kind);
            let events: Vec<_> = newer.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.rev);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.expect("the lock").0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let key = (kind.to_string(), name.to_string());
        let state = self.shared.state.lock().expect("the lock");
        match state.objects.get(&key) {
            Some(object) => (200, object.text()),
            None => (404, String::from("{}")),
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let Some(name) = value(body, "name").map(|text| text.trim_matches('"').to_string()) else {
            return (400, String::from("{}"));
        };
        let (status, text) = self.get(kind, &name);
        if status == 200 {
            return (409, text);
        }
        self.write(kind, &name, &value(body, "spec").unwrap_or(String::from("null")))
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        if !self.has(kind, name) {
            return (404, String::from("{}"));
        }
        self.write(kind, name, &value(body, "spec").unwrap_or(String::from("null")))
    }

    fn remove(&self, path: &str) -> (u16, String) {
        let rest = path.strip_prefix("/objects/").unwrap_or_default();
        let Some((kind, name)) = rest.split_once('/') else {
            return (404, String::from("{}"));
        };
        let mut state = self.shared.state.lock().expect("the lock");
        let key = (kind.to_string(), name.to_string());
        let Some(object) = state.objects.remove(&key) else {
            return (404, String::from("{}"));
        };
        state.rev += 1;
        let (rev, text) = (state.rev, object.text());
        let event = format!("{{\"object\":{text},\"deleted\":true}}");
        state.history.push((rev, kind.to_string(), event));
        self.shared.changed.notify_all();
        (200, text)
    }
}

/// Text of the first value under `key` in a JSON text without escaped quotes.
fn value(json: &str, key: &str) -> Option<String> {
    let mark = format!("\"{key}\":");
    let from = json.find(&mark)? + mark.len();
    let rest = json[from..].trim_start();
    let (mut depth, mut in_text) = (0_u32, false);
    for (at, sign) in rest.char_indices() {
        match sign {
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' if !in_text && depth == 0 => return Some(rest[..at].to_string()),
            '}' | ']' if !in_text => depth -= 1,
            ',' if !in_text && depth == 0 => return Some(rest[..at].to_string()),
            _ => {}
        }
        let is_closed = matches!(sign, '}' | ']') || (sign == '"' && !in_text);
        if !in_text && depth == 0 && is_closed {
            return Some(rest[..at + 1].to_string());
        }
    }
    None
}
