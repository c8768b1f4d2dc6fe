//! Metrics over UDP in the statsd format.
//!
//! Every metric of both programs is in the tables below and nowhere else. The full name on the
//! wire is `citronhollow.<process>.<metric>`, where dots in the name of the process become
//! underscores. Without an address nothing is sent. A metric that cannot be sent is lost: metrics
//! never hold up traffic.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{Counted, Gauged, StatsdClient, Timed, UdpMetricSink};
use citronhollow_core::clock::Millis;

const PREFIX: &str = "citronhollow";

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
            /// Every one of them.
            pub const ALL: &[Self] = &[$(Self::$metric,)*];

            /// Name on the wire, after the process.
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

            /// What it tells.
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
    PacketsTaken = "packets.taken" in "packets": "Packets taken from the fabric.";
    PacketsForwarded = "packets.forwarded" in "packets": "Packets sent to an agent.";
    PacketsMalformed = "packets.malformed" in "packets": "Packets that do not parse.";
    PacketsRefused = "packets.refused" in "packets": "Packets refused by a balancer.";
    FlowsOpened = "flows.opened" in "flows": "Flows that an agent accepted.";
    FlowsHanded = "flows.handed" in "flows": "Flows that an agent handed to a peer.";
    FlowsRefused = "flows.refused" in "flows": "Flows that an agent refused before anything ran.";
    FlowsReset = "flows.reset" in "flows": "Packets of unknown flows that were answered by a reset.";
    FlowsSearched = "flows.searched" in "flows": "Flows that an agent asked its peers for.";
    ConnectFailures = "target.connect_failures" in "connects": "Connects to the target that failed.";
    PlatformCalls = "platform.calls" in "calls": "Calls on the platform, watches included.";
    PlatformFailures = "platform.failures" in "calls": "Calls on the platform that failed.";
}

metrics! {
    /// Values at the time of the report.
    Gauge
    Revision = "revision" in "number": "Revision in force in the process.";
    Balancers = "members.balancers" in "balancers": "Balancers known to be alive.";
    Targets = "members.targets" in "targets": "Targets known that take new flows.";
    FlowsOpen = "flows.open" in "flows": "Flows that the agent holds.";
    FlowsQueued = "flows.queued" in "flows": "Flows that wait for room at the target.";
    PlatformReachable = "platform.reachable" in "0 or 1": "Whether the platform answered the latest call.";
}

metrics! {
    /// Spans of time.
    Timer
    PublishLag = "publish.lag" in "ms": "From a publication to its coming into force here.";
    TargetConnect = "target.connect" in "ms": "From the connect to the target to its answer.";
    QueueWait = "flows.queue_wait" in "ms": "From an opening packet to its acceptance or refusal.";
}

/// Where a process reports its metrics. Clones share the socket.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Reports to `address`, or nowhere if there is none.
    ///
    /// # Errors
    ///
    /// The error of the socket.
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

    /// Reports a span.
    pub fn time(&self, timer: Timer, span: Millis) {
        if let Some(client) = &self.client {
            let _ = client.time(timer.name(), span.0);
        }
    }
}

fn connect(process: &str, address: SocketAddr) -> io::Result<StatsdClient> {
    let socket = udp_socket_for(address)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let prefix = format!("{PREFIX}.{}", process.replace('.', "_"));
    Ok(StatsdClient::from_sink(&prefix, sink))
}

/// A socket that can send to `address` and never waits.
pub(crate) fn udp_socket_for(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = match address {
        SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
