//! What clients, servers and the platform have seen, for the record and the checks.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A flow as its server sees it: the client's end and the service's address.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

#[derive(Clone, Debug)]
pub struct Held {
    pub server: String,
    pub opened: Instant,
    pub is_closed: bool,
}

pub struct State {
    record: File,
    /// Flows by the server that has the end of their handshake.
    pub held: HashMap<FlowKey, Held>,
    /// Servers that run, with the time of their last disruption, none if there was none.
    pub alive: HashMap<String, Option<Instant>>,
    /// Requests that servers began to work on, by id.
    pub runs: HashMap<u64, Vec<String>>,
    /// Packets of open flows that reached other servers, since the last one that reached their own.
    pub astray: HashMap<FlowKey, Vec<(Instant, String)>>,
    pub broken: Vec<String>,
    pub datagrams: u64,
    pub lost: u64,
}

#[derive(Clone)]
pub struct World {
    pub started: Instant,
    pub state: Arc<Mutex<State>>,
}

impl World {
    pub fn new(record: &str) -> Self {
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State {
                record: File::create(record).expect("the record can be written"),
                held: HashMap::new(),
                alive: HashMap::new(),
                runs: HashMap::new(),
                astray: HashMap::new(),
                broken: Vec::new(),
                datagrams: 0,
                lost: 0,
            })),
        }
    }

    pub fn log(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.record, "{at:9.4} {line}");
    }

    /// FLOW (b): for 2 s three or more packets of an open flow reach other servers and none its own.
    pub fn on_flow_packet(&self, key: FlowKey, server: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(held) = state.held.get(&key).filter(|held| !held.is_closed).cloned() else {
            return;
        };
        if held.server == server || !state.alive.contains_key(&held.server) {
            let before = state.astray.remove(&key).unwrap_or_default();
            drop(state);
            if let Some(first) = before.first() {
                let age = first.0.elapsed();
                let line = format!("{}: {} packets reached others than {} in {age:?}, none its own", key.0, before.len(), held.server);
                if before.len() >= 3 && age.as_millis() >= 2_000 {
                    self.broke(&format!("FLOW-B {line}"));
                } else {
                    self.log(&format!("back: {line}"));
                }
            }
            return;
        }
        let astray = state.astray.entry(key).or_default();
        if astray.last().is_some_and(|last| last.0.elapsed().as_millis() > 2_000) {
            astray.clear();
        }
        astray.push((Instant::now(), String::from(server)));
        let (count, age) = (astray.len(), astray[0].0.elapsed());
        drop(state);
        if count >= 3 && age.as_millis() >= 2_000 {
            let line = format!("FLOW-B {}: {count} packets reached others than {} in {age:?}, none its own", key.0, held.server);
            self.broke(&line);
            self.state.lock().unwrap().astray.remove(&key);
        } else {
            let line = format!("astray: a packet of {} reaches {server}, its own is {}", key.0, held.server);
            self.log(&line);
        }
    }

    pub fn broke(&self, line: &str) {
        self.log(&format!("BROKEN {line}"));
        self.state.lock().unwrap().broken.push(String::from(line));
    }
}
