//! Decision log: one JSON line for each decision that affects a flow or changes the state of the
//! process.
//!
//! Lines are written to standard output, separate from the log of [`crate::logging`], so that a
//! program can join the lines of several processes: see `citronhollow explain`. A dedicated thread
//! writes them. The deciding threads put lines into a bounded queue and never block: if the reader
//! is slow or gone, lines are lost, not packets. The number of lines per second is limited, and the
//! first line after lines were left out has their number. Every decision is counted in the metrics,
//! whether it is written or not.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use derive_more::Display;
use prometheus::{IntCounterVec, Opts, Registry};
use serde::{Deserialize, Serialize};

/// Largest number of lines queued for the writer.
const QUEUE_CAPACITY: usize = 1_024;

/// Largest number of lines that a thread writes per second. A busy process produces about ten.
pub const LINES_PER_S: u64 = 200;

/// Kind of a decision or observation. Lines have no other values in the field `event`.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process has started.
    #[display("process_started")]
    ProcessStarted,
    /// The process received a signal to stop.
    #[display("process_stopping")]
    ProcessStopping,
    /// The settings file changed.
    #[display("settings_changed")]
    SettingsChanged,
    /// A revision of the configuration came into force.
    #[display("revision_in_force")]
    RevisionInForce,
    /// The platform's store is unavailable.
    #[display("store_lost")]
    #[serde(rename = "store_lost")]
    StoreUnavailable,
    /// The platform's store is available again.
    #[display("store_back")]
    #[serde(rename = "store_back")]
    StoreAvailable,
    /// The platform's store was restored from a backup. Writes since that backup are lost.
    #[display("store_restored")]
    StoreRestored,
    /// The target's state changed.
    #[display("target_state")]
    TargetState,
    /// The target stopped answering many of its requests, or answers again.
    #[display("target_health")]
    TargetHealth,
    /// A balancer offered a new flow to an agent.
    #[display("flow_offered")]
    FlowOffered,
    /// An agent rejected a packet of a flow.
    #[display("flow_given_back")]
    #[serde(rename = "flow_given_back")]
    FlowRejected,
    /// A balancer asked agents whether they hold a flow.
    #[display("flow_asked")]
    FlowAsked,
    /// An agent answered whether it holds a flow.
    #[display("flow_answered")]
    FlowAnswered,
    /// A balancer probed targets with a packet of an unknown flow.
    #[display("flow_tried")]
    #[serde(rename = "flow_tried")]
    FlowProbed,
    /// The caller was reset.
    #[display("flow_reset")]
    FlowReset,
    /// A packet was dropped.
    #[display("packet_dropped")]
    PacketDropped,
}

/// Line of the decision log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Unix time, in ms.
    pub at_ms: u64,
    /// Name of the process.
    pub process: String,
    /// Kind of the decision.
    pub event: Event,
    /// Address of the flow's caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<SocketAddr>,
    /// Address of the flow's service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SocketAddr>,
    /// Address of the other process involved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Reason or result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Number of the revision of the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Number of lines left out before this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_out: Option<u64>,
}

/// Decision to be logged: the fields of a line without time and process.
#[derive(Clone, Debug)]
pub struct Decision {
    event: Event,
    flow: Option<FlowId>,
    peer: Option<SocketAddr>,
    reason: Option<String>,
    revision: Option<u64>,
}

impl Decision {
    /// Creates a decision without details.
    #[must_use]
    pub const fn new(event: Event) -> Self {
        Self {
            event,
            flow: None,
            peer: None,
            reason: None,
            revision: None,
        }
    }

    /// Sets the flow.
    #[must_use]
    pub const fn flow(mut self, flow: FlowId) -> Self {
        self.flow = Some(flow);
        self
    }

    /// Sets the address of the other process.
    #[must_use]
    pub const fn peer(mut self, peer: SocketAddr) -> Self {
        self.peer = Some(peer);
        self
    }

    /// Sets the reason or result.
    #[must_use]
    pub fn reason(mut self, reason: &impl ToString) -> Self {
        self.reason = Some(reason.to_string());
        self
    }

    /// Kind and flow, which identify the decision: a question to many agents is a single decision.
    #[must_use]
    pub const fn subject(&self) -> (Event, Option<FlowId>) {
        (self.event, self.flow)
    }

    /// Sets the number of the configuration revision.
    #[must_use]
    pub const fn revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}

/// Handle of one thread to the decision log. Each clone has its own limit of lines per second.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    process: String,
    lines: SyncSender<Line>,
    counts: IntCounterVec,
    /// Unix time of the current second, in seconds.
    second: u64,
    written: u64,
    left_out: u64,
}

impl DecisionLog {
    /// Starts the thread that writes the log to `out`, and registers the counters in `registry`.
    ///
    /// # Panics
    ///
    /// If the counters are already registered.
    #[must_use]
    pub fn start(process: &str, registry: &Registry, out: impl Write + Send + 'static) -> Self {
        let opts = Opts::new("citronhollow_decisions_total", "Decisions, by event");
        let counts = IntCounterVec::new(opts, &["event"]).expect("a valid name");
        registry
            .register(Box::new(counts.clone()))
            .expect("one log in a process");
        let (lines, received) = sync_channel(QUEUE_CAPACITY);
        let writer = thread::Builder::new().name(String::from("decisions"));
        if let Err(err) = writer.spawn(move || write_lines(&received, out)) {
            log::warn!("decisions: no thread to write them: {err}");
        }
        Self {
            process: String::from(process),
            lines,
            counts,
            second: 0,
            written: 0,
            left_out: 0,
        }
    }

    /// Counts a decision, and writes it unless the limit is reached or the queue is full.
    pub fn write(&mut self, decision: Decision) {
        self.write_at(unix_time(), decision);
    }

    /// Like [`Self::write`], at the given Unix time.
    pub fn write_at(&mut self, now: Millis, decision: Decision) {
        let event = decision.event;
        self.counts.with_label_values(&[&event.to_string()]).inc();
        let second = now.0 / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= LINES_PER_S {
            self.left_out += 1;
            return;
        }
        let line = Line {
            at_ms: now.0,
            process: self.process.clone(),
            event,
            caller: decision.flow.map(|flow| flow.caller),
            service: decision.flow.map(|flow| flow.service),
            peer: decision.peer,
            reason: decision.reason,
            revision: decision.revision,
            left_out: (self.left_out > 0).then_some(self.left_out),
        };
        if self.lines.try_send(line).is_ok() {
            self.written += 1;
            self.left_out = 0;
        } else {
            self.left_out += 1;
        }
    }
}

/// Writes lines until the process ends or the reader is gone.
fn write_lines(lines: &Receiver<Line>, mut out: impl Write) {
    for line in lines {
        let Ok(mut text) = serde_json::to_vec(&line) else {
            continue;
        };
        text.push(b'\n');
        if let Err(err) = out.write_all(&text).and_then(|()| out.flush()) {
            log::warn!("decisions: lines are no longer written: {err}");
            return;
        }
    }
}

fn unix_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(Millis::ZERO, Millis::from)
}
