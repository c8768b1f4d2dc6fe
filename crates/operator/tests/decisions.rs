//! Decision log: contents of a line, limits, and that logging never blocks the deciding thread.
//!
//! Traffic threads write decisions. A reader that stops reading, or closes the pipe, must cost
//! lines and not delay packets.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use citronhollow_operator::decisions::{Decision, DecisionLog, Event, LINES_PER_S, Line};
use citronhollow_operator::exposition;
use prometheus::Registry;

const NOW: Millis = Millis(1_700_000_000_000);
const WITHIN: Duration = Duration::from_secs(5);

/// Output that passes each line to a channel.
struct Pipe(Sender<Vec<u8>>);

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let gone = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        self.0.send(buf.to_vec()).map_err(gone)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that blocks forever, like a pipe whose reader does not read.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        // Blocks: the sender is alive until the end of the test and sends nothing.
        let _ = self.0.recv();
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn flow() -> FlowId {
    FlowId {
        caller: "100.64.0.7:40001".parse().expect("an address"),
        service: "198.18.0.1:443".parse().expect("an address"),
    }
}

fn start() -> (DecisionLog, Receiver<Vec<u8>>, Registry) {
    let registry = Registry::new();
    let (tx, rx) = channel();
    (
        DecisionLog::start("entry-a1", &registry, Pipe(tx)),
        rx,
        registry,
    )
}

fn next(lines: &Receiver<Vec<u8>>) -> Line {
    let text = lines.recv_timeout(WITHIN).expect("a line");
    serde_json::from_slice(&text).expect("a line of JSON")
}

#[test]
fn line_has_the_fields_of_the_decision() {
    let (mut log, lines, _registry) = start();
    let decision = Decision::new(Event::FlowReset).flow(flow()).revision(7);
    log.write_at(NOW, decision.reason(&"no target holds the flow"));
    let line = next(&lines);
    assert_eq!(line.process, "entry-a1");
    assert_eq!(line.event, Event::FlowReset);
    assert_eq!(line.caller, Some(flow().caller));
    assert_eq!(line.service, Some(flow().service));
    assert_eq!(line.reason.as_deref(), Some("no target holds the flow"));
    assert_eq!(line.revision, Some(7));
    assert_eq!(line.at_ms, NOW.0);
}

#[test]
fn lines_over_the_limit_are_counted() {
    let (mut log, lines, _registry) = start();
    for _ in 0..LINES_PER_S + 5 {
        log.write_at(NOW, Decision::new(Event::PacketDropped));
    }
    log.write_at(NOW.after(Millis(1_000)), Decision::new(Event::FlowReset));
    for _ in 0..LINES_PER_S {
        assert_eq!(next(&lines).event, Event::PacketDropped);
    }
    let line = next(&lines);
    assert_eq!((line.event, line.left_out), (Event::FlowReset, Some(5)));
}

#[test]
fn stuck_reader_does_not_block() {
    let registry = Registry::new();
    let (_never, rx) = channel();
    let mut log = DecisionLog::start("entry-a1", &registry, Stuck(rx));
    let before = Instant::now();
    for second in 0..100 {
        for _ in 0..LINES_PER_S {
            let now = NOW.after(Millis(second * 1_000));
            log.write_at(now, Decision::new(Event::FlowOffered));
        }
    }
    assert!(
        before.elapsed() < WITHIN,
        "20,000 lines must not wait for a reader"
    );
}

#[test]
fn closed_reader_does_not_block() {
    let (mut log, lines, _registry) = start();
    drop(lines);
    for _ in 0..10 {
        log.write(Decision::new(Event::FlowOffered));
    }
}

#[test]
fn metrics_count_lines_left_out() {
    let (mut log, _lines, registry) = start();
    for _ in 0..LINES_PER_S + 5 {
        log.write_at(NOW, Decision::new(Event::PacketDropped));
    }
    let text = exposition::render(&registry);
    let expected = format!(
        "citronhollow_decisions_total{{event=\"packet_dropped\"}} {}",
        LINES_PER_S + 5
    );
    assert!(text.contains(&expected), "{text}");
}
