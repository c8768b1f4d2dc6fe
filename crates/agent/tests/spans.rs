//! The span that an agent adds to the trace of a sampled packet.

mod support;

use std::fmt::Debug;
use std::sync::mpsc::{Receiver, Sender, channel};

use tracing::field::{Field, Visit};
use tracing::span::Attributes;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

use support::client::Client;
use support::{Agent, Fabric, HANG, caller, echo, settings, target};

const TRACE: u64 = 0x7ace;

/// Layer that sends the trace identity of every new span of an agent's hop.
struct Traces(Sender<String>);

#[derive(Default)]
struct HopOf {
    hop: String,
    trace: String,
}

impl Visit for HopOf {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "trace" {
            value.clone_into(&mut self.trace);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "hop" {
            self.hop = format!("{value:?}");
        }
    }
}

impl<S: tracing::Subscriber> Layer<S> for Traces {
    fn on_new_span(&self, attrs: &Attributes<'_>, _: &tracing::span::Id, _: Context<'_, S>) {
        let mut found = HopOf::default();
        attrs.record(&mut found);
        if found.hop == "agent" {
            let _ = self.0.send(found.trace);
        }
    }
}

fn traces() -> Receiver<String> {
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
    assert_eq!(traces.recv_timeout(HANG), Ok(format!("{TRACE:016x}")));
    agent.stop();
}
