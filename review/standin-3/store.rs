//! The platform's store, as PROTOCOL.md has it: objects by kind and name, one revision counter,
//! lists, watches, and calls under a condition. Each answer takes 4 ms.

use std::collections::{BTreeMap, HashSet};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;

const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct Data {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object as it was then, deleted.
    history: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Data>, Condvar)>,
    /// Machines that the store rejects with 503 while it serves the others.
    pub turned_away: Arc<Mutex<HashSet<usize>>>,
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter();
    Json::Table(fields.map(|(n, v)| (String::from(n), v)).collect())
}

fn shown(name: &str, object: &Object) -> Json {
    table(vec![
        (
            "meta",
            table(vec![
                ("name", Json::Text(String::from(name))),
                ("rev", Json::Number(object.rev as f64)),
                ("created", Json::Number(object.created as f64)),
                ("finalizers", Json::List(Vec::new())),
                ("deleting", Json::Bool(false)),
            ]),
        ),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ])
}

impl Store {
    /// Answers the machine with this number, which has an address of its own at the store.
    pub fn start(&self, listener: TcpListener, machine: usize) {
        let store = self.clone();
        http::serve(listener, move |request| {
            let is_turned_away = store.turned_away.lock().unwrap().contains(&machine);
            let answer = if is_turned_away {
                (503, String::from("{}"))
            } else {
                store.answer(request)
            };
            std::thread::sleep(ANSWER_TIME);
            answer
        });
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let (data, changed) = &*self.inner;
        data.lock().unwrap().write(kind, name, spec);
        changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let mut parts = request.path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = String::from(parts.next().unwrap_or(""));
        let name = parts.next().map(String::from);
        let (data, changed) = &*self.inner;
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
        match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => self.watch(&kind, request),
            ("GET", None) => {
                let data = data.lock().unwrap();
                let after = request.query("after").unwrap_or("");
                let items = data.objects.iter().filter(|((k, n), _)| {
                    *k == kind && n.as_str() > after
                });
                let items: Vec<_> = items.map(|((_, n), object)| shown(n, object)).collect();
                let more = items.len() > 500;
                let items = items.into_iter().take(500).collect();
                let list = table(vec![
                    ("items", Json::List(items)),
                    ("more", Json::Bool(more)),
                    ("at", Json::Number(data.rev as f64)),
                ]);
                (200, list.write())
            }
            ("GET", Some(name)) => {
                let data = data.lock().unwrap();
                match data.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, shown(&name, object).write()),
                    None => (404, String::from("{}")),
                }
            }
            ("POST", None) | ("PUT", Some(_)) => {
                let Some(body) = body else {
                    return (400, String::from("{}"));
                };
                let meta = body.get("meta");
                let of_meta = meta.and_then(|meta| meta.get("name")?.text());
                let name = request.path.splitn(4, '/').nth(3).or(of_meta);
                let Some(name) = name.map(String::from) else {
                    return (400, String::from("{}"));
                };
                let rev = meta.and_then(|meta| meta.get("rev")?.number());
                let mut data = data.lock().unwrap();
                let found = data.objects.get(&(kind.clone(), name.clone())).cloned();
                let is_create = request.method == "POST";
                match found {
                    Some(object) if is_create || rev.is_some_and(|rev| rev != object.rev) => {
                        return (409, shown(&name, &object).write());
                    }
                    None if !is_create => return (404, String::from("{}")),
                    _ => {}
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let object = data.write(&kind, &name, spec);
                drop(data);
                changed.notify_all();
                (200, shown(&name, &object).write())
            }
            ("DELETE", Some(name)) => {
                let mut data = data.lock().unwrap();
                let key = (kind.clone(), name.clone());
                let Some(object) = data.objects.get(&key).cloned() else {
                    return (404, String::from("{}"));
                };
                let rev = request.query("rev").and_then(|rev| rev.parse::<u64>().ok());
                if rev.is_some_and(|rev| rev != object.rev) {
                    return (409, shown(&name, &object).write());
                }
                data.objects.remove(&key);
                data.rev += 1;
                let rev = data.rev;
                data.history.push((rev, kind, shown(&name, &object), true));
                drop(data);
                changed.notify_all();
                (200, String::from("{}"))
            }
            _ => (405, String::from("{}")),
        }
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name| request.query(name).and_then(|text: &str| text.parse::<u64>().ok());
        let (after, wait) = (number("watch").unwrap_or(0), number("waitMs").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (data, changed) = &*self.inner;
        let mut data = data.lock().unwrap();
        loop {
            let events = data.history.iter().filter(|(rev, k, _, _)| *rev > after && k == kind);
            let events: Vec<_> = events
                .map(|(_, _, object, deleted)| {
                    table(vec![("object", object.clone()), ("deleted", Json::Bool(*deleted))])
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let list = table(vec![
                    ("events", Json::List(events)),
                    ("at", Json::Number(data.rev as f64)),
                ]);
                return (200, list.write());
            }
            data = changed.wait_timeout(data, until - now).unwrap().0;
        }
    }
}

impl Data {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let key = (String::from(kind), String::from(name));
        let before = self.objects.get(&key).cloned();
        if let Some(before) = &before
            && before.spec == spec
        {
            return before.clone();
        }
        self.rev += 1;
        let object = Object {
            rev: self.rev,
            created: before.as_ref().map_or(self.rev, |before| before.created),
            spec,
            status: before.map_or(Json::Null, |before| before.status),
        };
        self.objects.insert(key, object.clone());
        let event = (self.rev, String::from(kind), shown(name, &object), false);
        self.history.push(event);
        object
    }
}
