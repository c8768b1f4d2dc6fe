//! Metrics as received on a UDP socket.

use std::collections::HashSet;
use std::net::UdpSocket;
use std::time::Duration;

use citronhollow_core::clock::Millis;
use citronhollow_operator::metrics::{Counter, Gauge, Metrics, Timer, Totals};

/// Limit that ends a hanging test. No assertion depends on it.
const HANG_GUARD: Duration = Duration::from_mins(1);

struct Collector {
    socket: UdpSocket,
}

impl Collector {
    fn start() -> (Self, Metrics) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(HANG_GUARD)).expect("a limit");
        let addr = socket.local_addr().expect("an address");
        let metrics = Metrics::new("entry-a1.gujarat", Some(addr)).expect("a socket");
        (Self { socket }, metrics)
    }

    fn next(&self) -> String {
        let mut buf = [0; 512];
        let len = self.socket.recv(&mut buf).expect("a metric");
        String::from_utf8(buf[..len].to_vec()).expect("text")
    }
}

fn names() -> Vec<&'static str> {
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    counters.chain(gauges).chain(timers).collect()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    each_kind_arrives_with_its_full_name => {
        let (collector, metrics) = Collector::start();
        metrics.count(Counter::PacketsTaken, 3);
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.packets.taken:3|c");
        metrics.gauge(Gauge::FlowsOpen, 0);
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.flows.open:0|g");
        metrics.time(Timer::TargetConnect, Millis(12));
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.target.connect:12|ms");
    };

    count_of_zero_is_not_sent => {
        let (collector, metrics) = Collector::start();
        metrics.count(Counter::PacketsTaken, 0);
        metrics.count(Counter::PacketsForwarded, 1);
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.packets.forwarded:1|c");
    };

    nothing_is_sent_without_an_address => {
        let metrics = Metrics::new("entry-a1", None).expect("no socket is needed");
        metrics.count(Counter::PacketsTaken, 1);
        metrics.gauge(Gauge::FlowsOpen, 1);
        metrics.time(Timer::TargetConnect, Millis(1));
    };

    absent_collector_causes_no_error => {
        let (collector, metrics) = Collector::start();
        // If the port were released, another test case could get it and read these packets. A
        // socket connected elsewhere keeps the port, and the system refuses packets of other peers.
        collector.socket.connect("127.0.0.1:9").expect("connected");
        for _ in 0..100 {
            metrics.count(Counter::PacketsTaken, 1);
        }
    };

    total_is_reported_by_its_increase => {
        let (collector, metrics) = Collector::start();
        let mut totals = Totals::new(metrics);
        totals.report(Counter::FlowsOpened, 5);
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.flows.opened:5|c");
        totals.report(Counter::FlowsOpened, 5);
        totals.report(Counter::FlowsOpened, 7);
        assert_eq!(collector.next(), "citronhollow.entry-a1_gujarat.flows.opened:2|c");
    };

    names_differ => {
        let names = names();
        assert_eq!(names.iter().collect::<HashSet<_>>().len(), names.len());
    };

    every_metric_is_in_the_operations_page => {
        let page = include_str!("../../../docs/OPERATIONS.md");
        for name in names() {
            assert!(page.contains(&format!("`{name}`")), "{name} is not documented");
        }
    };
}
