//! The decision log: one JSON line for each decision that touches a flow or changes what the
//! process believes.
//!
//! Lines go to standard output, apart from the sentences of [`crate::logging`], so that a program
//! can join them over processes: see `citronhollow explain`. A thread of its own writes them. The
//! threads that decide only hand a line over, and never wait: a reader that is slow, full or gone
//! costs lines and not packets. A budget bounds the lines of a second, and the first line after an
//! overrun says how many were left out. Every decision is counted in the metrics, written or not.

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

/// Lines that wait for the writer at most.
const QUEUE: usize = 1_024;

/// Lines of one thread in a second. A busy process makes some ten a second.
pub const LINES_PER_S: u64 = 200;

/// What was decided or learnt. Closed: a line has no other name.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process is at work.
    #[display("process_started")]
    ProcessStarted,
    /// The process got the signal to stop.
    #[display("process_stopping")]
    ProcessStopping,
    /// The settings file changed.
    #[display("settings_changed")]
    SettingsChanged,
    /// A revision of the configuration is in force.
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
    /// The target began to leave many requests without an answer, or answers again.
    #[display("target_health")]
    TargetHealth,
    /// A balancer offered a new flow to an agent.
    #[display("flow_offered")]
    FlowOffered,
    /// An agent rejected a packet of a flow.
    #[display("flow_given_back")]
    #[serde(rename = "flow_given_back")]
    FlowRejected,
    /// A balancer asked agents for a flow.
    #[display("flow_asked")]
    FlowAsked,
    /// An agent said what it knows of a flow.
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

/// One line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Time of day, in ms.
    pub at_ms: u64,
    /// The process.
    pub process: String,
    /// What was decided.
    pub event: Event,
    /// The caller's end of the flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<SocketAddr>,
    /// The service's end of the flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SocketAddr>,
    /// The other process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Why, or with what result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Number of the revision of the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Lines that were left out before this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_out: Option<u64>,
}

/// What a line says besides the time and the process.
#[derive(Clone, Debug)]
pub struct Decision {
    event: Event,
    flow: Option<FlowId>,
    peer: Option<SocketAddr>,
    reason: Option<String>,
    revision: Option<u64>,
}

impl Decision {
    /// A decision without particulars.
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

    /// About this flow.
    #[must_use]
    pub const fn flow(mut self, flow: FlowId) -> Self {
        self.flow = Some(flow);
        self
    }

    /// With this other process.
    #[must_use]
    pub const fn peer(mut self, peer: SocketAddr) -> Self {
        self.peer = Some(peer);
        self
    }

    /// For this reason, or with this result.
    #[must_use]
    pub fn reason(mut self, reason: &impl ToString) -> Self {
        self.reason = Some(reason.to_string());
        self
    }

    /// What it is about. A question to many agents is one decision with one subject.
    #[must_use]
    pub const fn subject(&self) -> (Event, Option<FlowId>) {
        (self.event, self.flow)
    }

    /// By this revision of the configuration.
    #[must_use]
    pub const fn revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}

/// A thread's end of the log. Each clone has its own budget.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    process: String,
    lines: SyncSender<Line>,
    counts: IntCounterVec,
    /// The second that the budget is of, as the time of day.
    second: u64,
    written: u64,
    left_out: u64,
}

impl DecisionLog {
    /// A log of this process that a thread writes to `out`, counted in `registry`.
    ///
    /// # Panics
    ///
    /// If the registry has a log already.
    #[must_use]
    pub fn start(process: &str, registry: &Registry, out: impl Write + Send + 'static) -> Self {
        let opts = Opts::new("citronhollow_decisions_total", "Decisions, by event");
        let counts = IntCounterVec::new(opts, &["event"]).expect("a valid name");
        registry
            .register(Box::new(counts.clone()))
            .expect("one log in a process");
        let (lines, received) = sync_channel(QUEUE);
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

    /// Counts a decision, and writes it if the budget and the writer allow.
    pub fn write(&mut self, decision: Decision) {
        self.write_at(time_of_day(), decision);
    }

    /// The same at a given time of day.
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

/// Writes until the process ends or nobody reads any more.
fn write_lines(lines: &Receiver<Line>, mut out: impl Write) {
    for line in lines {
        let Ok(mut text) = serde_json::to_vec(&line) else {
            continue;
        };
        text.push(b'\n');
        if let Err(err) = out.write_all(&text).and_then(|()| out.flush()) {
            log::warn!("decisions: not written any more: {err}");
            return;
        }
    }
}

fn time_of_day() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(Millis::ZERO, Millis::from)
}
