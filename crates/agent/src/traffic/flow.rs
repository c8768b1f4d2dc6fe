//! One flow: the caller's endpoint, the target's connection, and the bytes between them.
//!
//! The target's connection is opened only when the caller has finished the handshake, because a
//! flow may move to another target until then and must not after. From then on a byte is read
//! from one side only when the other has buffer space for it, and the end of one direction is
//! passed on after its last byte. A flow that fails on one side is reset on the other at once.

use std::rc::Rc;

use bytes::Bytes;
use citronhollow_caller::endpoint::{Endpoint, Stage};
use citronhollow_caller::packet::Parsed;
use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::FlowId;
use citronhollow_core::flows::Packet;
use citronhollow_operator::metrics::Timer;
use citronhollow_operator::trace::{Hop, HopSpan};
use citronhollow_target::splice::TargetStream;

use super::agent::Agent;
use super::dispatch::parsed;
use super::mailbox::{Cancellation, Mailbox};
use super::pump::{Interest, Pump};

/// Starts the flow of an initial SYN.
pub(super) fn open(agent: &Rc<Agent>, packet: &Packet<Bytes>) {
    let side = CallerSide::open(agent, packet);
    let Some(isn) = side.endpoint.isn() else {
        let now = agent.clock.now();
        agent.flows.borrow_mut().on_closed(now, &packet.flow);
        return;
    };
    agent.flows.borrow_mut().on_isn(&packet.flow, isn);
    let mailbox = agent.tasks.borrow_mut().add(packet.flow);
    agent.stats.set_open(agent.tasks.borrow().len());
    let task = FlowTask {
        side,
        mailbox,
        trace: packet.trace,
        is_busy: false,
    };
    tokio::task::spawn_local(task.run());
}

/// The caller's endpoint, with the state that it needs to run.
pub(super) struct CallerSide {
    pub(super) agent: Rc<Agent>,
    pub(super) flow: FlowId,
    pub(super) endpoint: Box<Endpoint>,
    due: Option<Millis>,
}

impl CallerSide {
    /// Creates an endpoint and answers the initial SYN.
    pub(super) fn open(agent: &Rc<Agent>, packet: &Packet<Bytes>) -> Self {
        let now = agent.clock.now();
        let seed = agent.draw_seed();
        let endpoint = Endpoint::new(now, packet.flow, seed, agent.endpoint_settings);
        let mut side = Self {
            agent: Rc::clone(agent),
            flow: packet.flow,
            endpoint: Box::new(endpoint),
            due: None,
        };
        side.take_packet(&parsed(packet), &packet.bytes);
        side.poll();
        side
    }

    /// Passes the mailbox's packets to the endpoint.
    pub(super) fn take_packets(&mut self, mailbox: &Mailbox) {
        for delivery in mailbox.take() {
            let parsed = Parsed {
                flow: self.flow,
                segment: delivery.segment,
            };
            self.take_packet(&parsed, &delivery.bytes);
        }
    }

    /// Runs the endpoint's timers and sends its packets.
    pub(super) fn poll(&mut self) {
        let mut packets = self.agent.packets.take();
        let now = self.agent.clock.now();
        self.due = self.endpoint.poll(now, &mut packets);
        self.send(packets);
    }

    /// Waits until the endpoint's next timer is due.
    pub(super) async fn due(&self) {
        match self.due {
            Some(at) => self.agent.clock.sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    fn take_packet(&mut self, parsed: &Parsed, packet: &[u8]) {
        let mut packets = self.agent.packets.take();
        let now = self.agent.clock.now();
        self.endpoint.on_packet(now, parsed, packet, &mut packets);
        self.send(packets);
    }

    fn send(&self, mut packets: Vec<Vec<u8>>) {
        for packet in packets.drain(..) {
            self.agent.send_to_caller(&self.flow, &packet);
        }
        // Return the buffer, so that the next packet of any flow reuses its memory.
        self.agent.packets.replace(packets);
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// Both directions ended normally.
    Finished,
    /// The target could not be connected to, so no request was processed.
    ConnectFailed,
    /// Reset by either side, or timed out.
    Reset,
    /// Removed by the flow table.
    Cancelled,
}

struct FlowTask {
    side: CallerSide,
    mailbox: Rc<Mailbox>,
    /// Trace identity, zero if the flow is not sampled.
    trace: u64,
    is_busy: bool,
}

impl FlowTask {
    async fn run(mut self) {
        let end = self.run_to_end().await;
        self.end(end);
    }

    async fn run_to_end(&mut self) -> End {
        if let Err(end) = self.handshake().await {
            return end;
        }
        match self.connect().await {
            Ok(target) => self.splice(target).await,
            Err(end) => end,
        }
    }

    async fn handshake(&mut self) -> Result<(), End> {
        loop {
            self.step()?;
            if self.side.endpoint.stage() != Stage::HalfOpen {
                break;
            }
            tokio::select! {
                () = self.mailbox.wait() => {}
                () = self.side.due() => {}
            }
        }
        let now = self.now();
        let flow = self.side.flow;
        let agent = &self.side.agent;
        agent.flows.borrow_mut().on_established(now, &flow);
        Ok(())
    }

    async fn connect(&mut self) -> Result<TargetStream, End> {
        let agent = Rc::clone(&self.side.agent);
        let Some(target) = agent.target.get() else {
            return Err(End::ConnectFailed);
        };
        let span = HopSpan::begin(Hop::Target, self.trace);
        span.service(self.side.flow.service);
        let started = agent.clock.now();
        let connect = TargetStream::connect(target, agent.target_settings);
        let mut connect = Box::pin(connect);
        let connected = loop {
            self.step()?;
            tokio::select! {
                connected = &mut connect => break connected,
                () = self.mailbox.wait() => {}
                () = self.side.due() => {}
            }
        };
        agent.set_target_reachable(connected.is_ok());
        let waited = agent.clock.now().since(started);
        agent.metrics.time(Timer::TargetConnect, waited);
        connected
            .inspect(|_| span.outcome("connected"))
            .map_err(|err| {
                span.refused(ErrorKind::TargetUnreachable);
                log::warn!("traffic: {err}");
                End::ConnectFailed
            })
    }

    async fn splice(&mut self, target: TargetStream) -> End {
        let mut pump = Pump::default();
        loop {
            let interest = match self.pass(&mut pump, &target) {
                Ok(interest) => interest,
                Err(end) => {
                    target.abort();
                    return end;
                }
            };
            if pump.is_done() && self.is_caller_done() {
                return End::Finished;
            }
            tokio::select! {
                () = self.mailbox.wait() => {}
                () = target.ready(interest.read, interest.write) => {}
                () = self.side.due() => {}
            }
        }
    }

    /// Moves packets and bytes until both sides would block.
    fn pass(&mut self, pump: &mut Pump, target: &TargetStream) -> Result<Interest, End> {
        self.step()?;
        let interest = pump.pass(&mut self.side.endpoint, target);
        self.set_busy(pump.is_waiting());
        if pump.is_broken(&self.side.endpoint) {
            return Err(End::Reset);
        }
        self.side.poll();
        self.check()?;
        Ok(interest)
    }

    /// Processes received packets and due timers.
    fn step(&mut self) -> Result<(), End> {
        if self.mailbox.cancellation().is_some() {
            return Err(End::Cancelled);
        }
        self.side.take_packets(&self.mailbox);
        self.side.poll();
        self.check()
    }

    fn check(&self) -> Result<(), End> {
        match self.side.endpoint.stage() {
            Stage::Reset => Err(End::Reset),
            _ => Ok(()),
        }
    }

    fn is_caller_done(&self) -> bool {
        matches!(self.side.endpoint.stage(), Stage::Lingering | Stage::Closed)
    }

    fn set_busy(&mut self, is_busy: bool) {
        if self.is_busy == is_busy {
            return;
        }
        self.is_busy = is_busy;
        let flow = self.side.flow;
        self.side.agent.flows.borrow_mut().on_busy(&flow, is_busy);
    }

    /// Ends the flow towards the caller and in the flow table.
    fn end(mut self, end: End) {
        let now = self.now();
        let flow = self.side.flow;
        let agent = Rc::clone(&self.side.agent);
        let is_silent = self.mailbox.cancellation() == Some(Cancellation::Silent);
        if end != End::Finished && !is_silent {
            self.side.endpoint.abort();
            self.side.poll();
        }
        if end == End::Finished && self.side.endpoint.stage() == Stage::Lingering {
            agent.lingering.borrow_mut().add(now, flow);
        }
        if agent.tasks.borrow_mut().remove_exact(&flow, &self.mailbox) {
            let mut flows = agent.flows.borrow_mut();
            match end {
                End::ConnectFailed => flows.on_connect_failed(now, &flow),
                _ => flows.on_closed(now, &flow),
            }
        }
        agent.stats.set_open(agent.tasks.borrow().len());
    }

    fn now(&self) -> Millis {
        self.side.agent.clock.now()
    }
}
