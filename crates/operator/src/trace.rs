//! Traces: a span for each hop of a sampled flow, written as one JSON object per line.
//!
//! A balancer assigns a trace identity to each sampled flow, which is sent along in messages. Every
//! process that handles the flow writes its spans with that identity, so that a collector can join
//! the lines of all processes by the field `trace`. Lines have wall-clock times for readers; no
//! decision uses them.
//!
//! The writer is a layer on the registry of `tracing-subscriber`. It records only the spans of this
//! module, because the libraries in use emit spans too.

use std::fmt;
use std::io::{self, Write};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use derive_more::Display;
use serde_json::{Map, Value};
use tracing::field::{Empty, Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Metadata, Span, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::{LookupSpan, Registry};

use crate::failure::Failure;
use crate::metrics::udp_socket_for;

const TARGET: &str = "citronhollow::hop";

/// Component that handled the flow.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Hop {
    /// Balancer that chose an agent.
    #[display("balancer")]
    Balancer,
    /// Agent that accepted or refused the flow.
    #[display("agent")]
    Agent,
    /// Agent that redirected or passed the flow to a peer.
    #[display("redirect")]
    Redirect,
    /// Connect of the agent to its target.
    #[display("target")]
    Target,
}

/// Span of one hop. It ends when it is dropped.
#[derive(Clone, Debug)]
pub struct HopSpan {
    span: Span,
}

impl HopSpan {
    /// Begins a span with a trace identity. Records nothing if the identity is zero.
    #[must_use]
    pub fn begin(hop: Hop, trace: u64) -> Self {
        if trace == 0 {
            return Self { span: Span::none() };
        }
        let trace = trace_text(trace);
        let span = tracing::info_span!(
            target: TARGET,
            "hop",
            %hop,
            trace,
            service = Empty,
            peer = Empty,
            outcome = Empty,
        );
        Self { span }
    }

    /// Records the address of the service.
    pub fn service(&self, address: SocketAddr) {
        self.span
            .record("service", tracing::field::display(address));
    }

    /// Records the target to which the flow is sent.
    pub fn peer(&self, target: TargetId) {
        self.span.record("peer", tracing::field::display(target));
    }

    /// Records the outcome.
    pub fn outcome(&self, outcome: &str) {
        self.span.record("outcome", outcome);
    }

    /// Records a refusal as the outcome.
    pub fn refused(&self, kind: ErrorKind) {
        self.span.record("outcome", tracing::field::display(kind));
    }
}

fn trace_text(trace: u64) -> String {
    format!("{trace:016x}")
}

/// Starts writing the spans of this process to a UDP address, or to standard error without one.
///
/// # Errors
///
/// [`Failure`] if the socket cannot be set up, or if tracing is already set up.
pub fn init(process: &str, address: Option<SocketAddr>) -> Result<(), Failure> {
    let write = writer(address).map_err(|error| {
        let message = format!("traces: no UDP socket: {error}; check the settings field traces");
        Failure::new(ErrorKind::Invalid, message)
    })?;
    tracing::subscriber::set_global_default(subscriber(process, write)).map_err(|_| {
        let message = "traces are set up already; set them up once in a process";
        Failure::new(ErrorKind::Invalid, message)
    })
}

/// Returns a function that sends a line. A line that cannot be sent is lost, so that traces never
/// block traffic.
fn writer(address: Option<SocketAddr>) -> io::Result<impl Fn(&[u8]) + Send + Sync> {
    let socket = address.map(connected_socket).transpose()?;
    Ok(move |line: &[u8]| {
        let _ = match &socket {
            Some(socket) => socket.send(line).map(drop),
            None => io::stderr().write_all(line),
        };
    })
}

fn connected_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = udp_socket_for(address)?;
    socket.connect(address)?;
    Ok(socket)
}

/// Returns a subscriber that writes each hop as one line.
pub fn subscriber(
    process: &str,
    write: impl Fn(&[u8]) + Send + Sync + 'static,
) -> impl Subscriber + Send + Sync {
    let process = String::from(process);
    Registry::default().with(JsonLines { process, write })
}

/// Layer that writes a span as one JSON line when it ends.
struct JsonLines<W> {
    process: String,
    write: W,
}

/// Data of a span that has not ended.
struct SpanData {
    started: Instant,
    fields: Fields,
}

impl<S, W> Layer<S> for JsonLines<W>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    W: Fn(&[u8]) + Send + Sync + 'static,
{
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        metadata.target() == TARGET
    }

    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, cx: Context<'_, S>) {
        let Some(span) = cx.span(id) else { return };
        let mut fields = Fields::default();
        fields.insert("process", self.process.as_str());
        fields.insert("start_ms", wall_clock_ms());
        attrs.record(&mut fields);
        let started = Instant::now();
        span.extensions_mut().insert(SpanData { started, fields });
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, cx: Context<'_, S>) {
        let Some(span) = cx.span(id) else { return };
        if let Some(data) = span.extensions_mut().get_mut::<SpanData>() {
            values.record(&mut data.fields);
        }
    }

    fn on_close(&self, id: Id, cx: Context<'_, S>) {
        let Some(span) = cx.span(&id) else { return };
        let Some(SpanData {
            started,
            mut fields,
        }) = span.extensions_mut().remove()
        else {
            return;
        };
        let span_us = u64::try_from(started.elapsed().as_micros());
        fields.insert("span_us", span_us.unwrap_or(u64::MAX));
        (self.write)(&fields.line());
    }
}

fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from(now.unwrap_or_default()).0
}

/// JSON fields of a line.
#[derive(Debug, Default)]
struct Fields(Map<String, Value>);

impl Fields {
    fn insert(&mut self, name: &str, value: impl Into<Value>) {
        self.0.insert(String::from(name), value.into());
    }

    fn line(self) -> Vec<u8> {
        let mut line = Value::Object(self.0).to_string().into_bytes();
        line.push(b'\n');
        line
    }
}

impl Visit for Fields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.insert(field.name(), value);
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.insert(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.insert(field.name(), format!("{value:?}"));
    }
}
