//! Metrics over UDP in the statsd format.
//!
//! The tables below define all metrics of both programs. The full name on the wire is
//! `citronhollow.<process>.<metric>`, where dots in the name of the process become underscores.
//! Without an address nothing is sent. A metric that cannot be sent is lost, so that metrics never
//! block traffic.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted, Gauged, StatsdClient, Timed, UdpMetricSink};
use citronhollow_core::clock::Millis;

const PREFIX: &str = "citronhollow";

/// Interval of the reports of a process.
pub const REPORT_EVERY: Duration = Duration::from_secs(1);

macro_rules! metrics {
    (
        $(#[$doc:meta])* $set:ident
        $($(#[$metric_doc:meta])* $metric:ident = $name:literal in $unit:literal: $about:literal;)*
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $set {
            $(#[doc = $about] $metric,)*
        }

        impl $set {
            /// All metrics of the set.
            pub const ALL: &[Self] = &[$(Self::$metric,)*];

            /// Name on the wire, after the name of the process.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$metric => $name,)*
                }
            }

            /// Unit of the value.
            #[must_use]
            pub const fn unit(self) -> &'static str {
                match self {
                    $(Self::$metric => $unit,)*
                }
            }

            /// Description.
            #[must_use]
            pub const fn about(self) -> &'static str {
                match self {
                    $(Self::$metric => $about,)*
                }
            }
        }
    };
}

metrics! {
    /// Counts since the last report.
    Counter
    PacketsTaken = "packets.taken" in "packets": "Balancer: packets taken from the fabric.";
    PacketsForwarded = "packets.forwarded" in "packets": "Balancer: packets sent to an agent.";
    PacketsMalformed = "packets.malformed" in "packets": "Balancer: packets that cannot be forwarded as they are.";
    PacketsRefused = "packets.refused" in "packets": "Balancer: packets of unknown services or without a target.";
    PacketsUnsent = "packets.unsent" in "packets": "Balancer: packets that the socket did not take.";
    PlatformCalls = "platform.calls" in "calls": "Balancer: calls on the platform, watches included.";
    PlatformRetries = "platform.retries" in "calls": "Balancer: calls on the platform that were repeated.";
    FlowsOpened = "flows.opened" in "flows": "Agent: flows accepted.";
    FlowsRedirected = "flows.redirected" in "flows": "Agent: new flows redirected to a peer.";
    FlowsRefused = "flows.refused" in "flows": "Agent: flows refused before anything ran.";
    PacketsPassed = "packets.passed" in "packets": "Agent: packets passed to the peer that may hold their flow.";
    FlowsAsked = "flows.asked" in "questions": "Agent: questions to peers about an unknown flow.";
    PacketsDropped = "packets.dropped" in "packets": "Agent: packets dropped.";
    FramesMalformed = "frames.malformed" in "frames": "Agent: frames that are not authentic or make no sense.";
    FramesUnsent = "frames.unsent" in "frames": "Agent: frames and packets that could not be sent.";
}

metrics! {
    /// Values at the time of the report.
    Gauge
    Revision = "revision" in "number": "Balancer: revision in force in the process.";
    LowestRevision = "revision.lowest" in "number": "Balancer: revision of the slowest process of the fleet.";
    Balancers = "members.balancers" in "balancers": "Balancer: balancers known to be alive, itself included.";
    TargetsReady = "members.targets" in "targets": "Balancer: targets known that take new flows.";
    FlowsOpen = "flows.open" in "flows": "Agent: flows held.";
}

metrics! {
    /// Durations.
    Timer
    TargetConnect = "target.connect" in "ms": "Agent: from the connect to the target to its answer.";
}

/// Client that reports the metrics of a process. Clones share the socket.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates a client that reports to `address`, or discards metrics if there is none.
    ///
    /// # Errors
    ///
    /// I/O error if the socket cannot be set up.
    pub fn new(process: &str, address: Option<SocketAddr>) -> io::Result<Self> {
        let client = address.map(|address| connect(process, address));
        Ok(Self {
            client: client.transpose()?.map(Arc::new),
        })
    }

    /// Adds to a counter. Zero is not sent.
    pub fn count(&self, counter: Counter, n: u64) {
        if let Some(client) = self.client.as_ref().filter(|_| n > 0) {
            let _ = client.count(counter.name(), n);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(gauge.name(), value);
        }
    }

    /// Reports a duration.
    pub fn time(&self, timer: Timer, span: Millis) {
        if let Some(client) = &self.client {
            let _ = client.time(timer.name(), span.0);
        }
    }
}

/// Reports counters from totals that only grow, by their increase since the last report.
#[derive(Clone, Debug)]
pub struct Totals {
    metrics: Metrics,
    reported: [u64; Counter::ALL.len()],
}

impl Totals {
    /// Creates totals of zero.
    #[must_use]
    pub const fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            reported: [0; Counter::ALL.len()],
        }
    }

    /// Adds the increase of a total since its last report to the counter.
    pub fn report(&mut self, counter: Counter, total: u64) {
        let reported = &mut self.reported[counter as usize];
        let growth = total.saturating_sub(*reported);
        *reported = total;
        self.metrics.count(counter, growth);
    }
}

fn connect(process: &str, address: SocketAddr) -> io::Result<StatsdClient> {
    let socket = udp_socket_for(address)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let prefix = format!("{PREFIX}.{}", process.replace('.', "_"));
    Ok(StatsdClient::from_sink(&prefix, sink))
}

/// Binds a non-blocking socket that can send to `address`.
pub(crate) fn udp_socket_for(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = match address {
        SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
