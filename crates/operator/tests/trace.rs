//! Spans of one flow from several processes, joined by the trace identity.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_operator::trace::{self, Hop, HopSpan};
use serde_json::Value;
use tracing::subscriber::with_default;

/// Lines written by one process.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Runs `work` with a subscriber for the process of this name.
    fn in_process<T>(&self, name: &str, work: impl FnOnce() -> T) -> T {
        let lines = self.clone();
        let write = move |line: &[u8]| lines.0.lock().expect("lines").extend_from_slice(line);
        with_default(trace::subscriber(name, write), work)
    }

    fn spans(&self) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().expect("lines").clone()).expect("text");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a line is a JSON object"))
            .collect()
    }
}

fn service() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 443))
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    one_trace_joins_the_spans_of_three_processes => {
        let (balancer, first, second) = (Lines::default(), Lines::default(), Lines::default());
        let trace = 0x00c0_ffee;
        balancer.in_process("entry-a1", || {
            let span = HopSpan::begin(Hop::Balancer, trace);
            span.service(service());
            span.peer(TargetId(0xa1));
            span.outcome("forwarded");
        });
        first.in_process("desk-1", || {
            let span = HopSpan::begin(Hop::Redirect, trace);
            span.peer(TargetId(0xa2));
        });
        second.in_process("desk-2", || {
            let accepted = HopSpan::begin(Hop::Agent, trace);
            HopSpan::begin(Hop::Target, trace).refused(ErrorKind::TargetUnreachable);
            accepted.outcome("accepted");
        });
        let spans = [balancer.spans(), first.spans(), second.spans()].concat();
        let hops: Vec<_> = spans.iter().map(|span| span["hop"].as_str().expect("a hop")).collect();
        assert_eq!(hops, ["balancer", "redirect", "target", "agent"]);
        for span in &spans {
            assert_eq!(span["trace"], format!("{trace:016x}"), "{span}");
            assert!(span["start_ms"].is_u64() && span["span_us"].is_u64(), "{span}");
        }
        assert_eq!(spans[0]["process"], "entry-a1");
        assert_eq!(spans[0]["service"], "10.1.0.1:443");
        assert_eq!(spans[0]["peer"], "00000000000000a1");
        assert_eq!(spans[0]["outcome"], "forwarded");
        assert_eq!(spans[1]["process"], "desk-1");
        assert_eq!(spans[2]["outcome"], "the target cannot be reached");
    };

    flow_without_trace_writes_nothing => {
        let lines = Lines::default();
        lines.in_process("desk-1", || HopSpan::begin(Hop::Agent, 0).outcome("accepted"));
        assert_eq!(lines.spans(), Vec::<Value>::new());
    };

    spans_of_libraries_are_not_written => {
        let lines = Lines::default();
        lines.in_process("desk-1", || drop(tracing::error_span!("other").entered()));
        assert_eq!(lines.spans(), Vec::<Value>::new());
    };
}
