//! Traces: a span for each hop of a sampled flow, one JSON object a line.
//!
//! A balancer gives each sampled flow a trace identity, which travels in the envelope. Every process that handles the flow writes its spans under that identity, so a
//! collector joins the lines of all processes by the field `trace`. Times in a line are wall-clock
//! times, for people to read; no decision uses them.
//!
//! The writer is a small layer on the registry of `tracing-subscriber`. It takes the spans of this
//! module and no others, since the libraries beneath trace too.

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

/// Which part handled the flow.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Hop {
    /// A balancer chose an agent.
    #[display("balancer")]
    Balancer,
    /// An agent accepted or refused the flow.
    #[display("agent")]
    Agent,
    /// An agent redirected or passed the flow to a peer.
    #[display("redirect")]
    Redirect,
    /// The agent connected to its target.
    #[display("target")]
    Target,
}

/// The span of one hop. It ends when it is dropped.
#[derive(Clone, Debug)]
pub struct HopSpan {
    span: Span,
}

impl HopSpan {
    /// Begins a span under a trace identity, none if it is zero.
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

    /// Names the service's address.
    pub fn service(&self, address: SocketAddr) {
        self.span
            .record("service", tracing::field::display(address));
    }

    /// Names the target that the flow goes to.
    pub fn peer(&self, target: TargetId) {
        self.span.record("peer", tracing::field::display(target));
    }

    /// Says what came of it.
    pub fn outcome(&self, outcome: &str) {
        self.span.record("outcome", outcome);
    }

    /// Says why it was refused.
    pub fn refused(&self, kind: ErrorKind) {
        self.span.record("outcome", tracing::field::display(kind));
    }
}

fn trace_text(trace: u64) -> String {
    format!("{trace:016x}")
}

/// Starts to write this process's spans to a UDP address, or to standard error without one.
///
/// # Errors
///
/// [`Failure`] if there is no socket, or if the process writes spans already.
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

/// A function that sends a line. A line that cannot be sent is lost: traces never hold up traffic.
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

/// A subscriber that writes each hop as one line.
pub fn subscriber(
    process: &str,
    write: impl Fn(&[u8]) + Send + Sync + 'static,
) -> impl Subscriber + Send + Sync {
    let process = String::from(process);
    Registry::default().with(JsonLines { process, write })
}

/// Writes a span as one JSON line when it ends.
struct JsonLines<W> {
    process: String,
    write: W,
}

/// What a span gathers until it ends.
struct Hopping {
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
        span.extensions_mut().insert(Hopping { started, fields });
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, cx: Context<'_, S>) {
        let Some(span) = cx.span(id) else { return };
        if let Some(hopping) = span.extensions_mut().get_mut::<Hopping>() {
            values.record(&mut hopping.fields);
        }
    }

    fn on_close(&self, id: Id, cx: Context<'_, S>) {
        let Some(span) = cx.span(&id) else { return };
        let Some(Hopping {
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

/// Fields of a line.
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
