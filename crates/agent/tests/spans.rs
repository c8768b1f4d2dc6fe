//! The span that an agent adds to a sampled packet's trace.

mod support;

use std::fmt::Debug;
use std::sync::mpsc::{Receiver, Sender, channel};

use tracing::field::{Field, Visit};
use tracing::span::Attributes;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

use support::client::Client;
use support::{Agent, Fabric, HANG, caller, echo, settings, target};

const TRACE: u64 = 0x7ace;

/// Sends the trace of every new span of an agent.
struct Traces(Sender<u64>);

struct TraceOf(Option<u64>);

impl Visit for TraceOf {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "trace" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn Debug) {}
}

impl<S: tracing::Subscriber> Layer<S> for Traces {
    fn on_new_span(&self, attrs: &Attributes<'_>, _: &tracing::span::Id, _: Context<'_, S>) {
        let mut trace = TraceOf(None);
        attrs.record(&mut trace);
        if let Some(trace) = trace.0.filter(|_| attrs.metadata().name() == "agent") {
            let _ = self.0.send(trace);
        }
    }
}

fn traces() -> Receiver<u64> {
    let (tx, rx) = channel();
    let subscriber = tracing_subscriber::registry().with(Traces(tx));
    tracing::subscriber::set_global_default(subscriber).unwrap();
    rx
}

fn establish(fabric: &Fabric, agent: &Agent, port: u16) -> Client {
    let mut client = caller(port);
    fabric.run(&mut client, agent.addr, |client| client.socket().may_send());
    client
}

#[test]
fn only_a_sampled_packet_opens_a_span() {
    let traces = traces();
    let mut fabric = Fabric::new();
    let agent = Agent::start(&settings("rink-1", fabric.addr()));
    agent.serve(target(echo));
    establish(&fabric, &agent, 40_000);
    fabric.trace = TRACE;
    establish(&fabric, &agent, 40_001);
    assert_eq!(traces.recv_timeout(HANG), Ok(TRACE));
    agent.stop();
}
