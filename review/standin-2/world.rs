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
                broken: Vec::new(),
                datagrams: 0,
                lost: 0,
            })),
        }
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn log(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.record, "{at:9.4} {line}");
    }

    pub fn broke(&self, line: &str) {
        self.log(&format!("BROKEN {line}"));
        self.state.lock().unwrap().broken.push(String::from(line));
    }
}
