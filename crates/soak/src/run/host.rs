//! A target with its socket and heartbeats, and the observed state of its agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use citronhollow_core::members::TargetState;
use citronhollow_standin::server::{self, Heartbeat};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

use crate::bounds::{AGENT_LOST_AFTER, DRAIN, HEARTBEAT_INTERVAL, STABILITY};
use crate::fleet::{Fleet, SERVICES, service_of};
use crate::target::{SLOTS, Target};

use super::Input;
use super::socket::send;

/// Time for which a draining target keeps running after the drain bound.
const LINGER: Millis = Millis(500);

/// Time between the exit of a drained target and its next start.
const TARGET_RESTART: Millis = Millis(300);

/// A target across its restarts.
pub(super) struct TargetHost {
    pub(super) socket: Arc<UdpSocket>,
    pub(super) agent: SocketAddr,
    pub(super) heartbeats: SocketAddr,
    pub(super) target: Option<Target>,
    pub(super) starts: u32,
    /// Each start has the same name. Otherwise each has its own.
    keeps_name: bool,
    pub(super) started_at: u64,
    /// How far the VM's clock is ahead, in ms.
    pub(super) clock_ahead: i64,
    /// Start time and number of the last heartbeat of the previous start.
    previous: Option<(u64, u64)>,
    pub(super) sequence: u64,
    pub(super) next_heartbeat: Millis,
    pub(super) announced: Option<Millis>,
    pub(super) acknowledged: Option<Millis>,
    pub(super) start_at: Option<Millis>,
    /// Earliest possible time of the agent's last report, if the agent is stopped or frozen.
    pub(super) agent_silent_since: Option<Millis>,
    /// Time at which an agent that balancers may have considered lost was running again.
    pub(super) agent_back_at: Option<Millis>,
    pub(super) is_overdue: bool,
}

impl TargetHost {
    pub(super) fn new(target: usize, socket: Arc<UdpSocket>, fleet: &Fleet) -> Self {
        Self {
            socket,
            agent: fleet.from_target(target),
            heartbeats: fleet.heartbeats(target),
            target: None,
            starts: 0,
            keeps_name: target % 2 == 1,
            started_at: 0,
            clock_ahead: 0,
            previous: None,
            sequence: 0,
            next_heartbeat: Millis::ZERO,
            announced: None,
            acknowledged: None,
            start_at: None,
            agent_silent_since: None,
            agent_back_at: None,
            is_overdue: false,
        }
    }

    pub(super) fn start(&mut self, now: Millis, seed: u32) {
        self.start_at = None;
        if self.target.is_some() {
            return;
        }
        self.target = Some(Target::new(seed));
        self.starts += 1;
        (self.announced, self.acknowledged, self.is_overdue) = (None, None, false);
        self.previous = Some((self.started_at, self.sequence));
        self.sequence = 0;
        self.next_heartbeat = now;
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = time_of_day.map_or(0, |time| time.as_millis());
        let started_at = u64::try_from(millis).unwrap_or(u64::MAX);
        let started_at = started_at.saturating_add_signed(self.clock_ahead);
        // Start times are distinct, as on the platform.
        let is_taken = self.started_at == started_at;
        self.started_at = started_at + u64::from(is_taken);
    }

    /// Sends the heartbeat that would have followed the last one of the previous start.
    pub(super) fn send_late_heartbeat(&mut self, number: usize) {
        let Some((started_at, sequence)) = &mut self.previous else {
            return;
        };
        *sequence += 1;
        let (started_at, sequence, to) = (*started_at, *sequence, self.heartbeats);
        let name = self.name_of(self.starts.saturating_sub(1));
        tokio::spawn(async move {
            let state = TargetState::Ready;
            heartbeat(&name, number, started_at, sequence, state)
                .send(to)
                .await;
        });
    }

    /// Sends the leave notice of the previous start.
    pub(super) fn send_late_leave(&self) {
        let (heartbeats, name) = (self.heartbeats, self.name_of(self.starts.saturating_sub(1)));
        tokio::spawn(async move { server::send_leave(heartbeats, &name).await });
    }

    pub(super) fn end(&mut self) {
        self.target = None;
        (self.announced, self.acknowledged) = (None, None);
    }

    pub(super) fn leave(&mut self, now: Millis) {
        if let Some(target) = &mut self.target
            && self.announced.is_none()
        {
            target.state = TargetState::Draining;
            self.announced = Some(now);
            self.next_heartbeat = now;
        }
    }

    /// Stops a draining target after the drain time. The time counts from the acknowledgement.
    /// Without an acknowledgement, the target stops [`STABILITY`] later than this time after its
    /// announcement.
    pub(super) fn tick_draining(&mut self, now: Millis) {
        let waits = DRAIN.after(LINGER);
        let acknowledged = self.acknowledged.map(|since| since.after(waits));
        let unacknowledged = self
            .announced
            .map(|since| since.after(waits).after(STABILITY));
        let is_due = |at: Option<Millis>| at.is_some_and(|at| now >= at);
        if !is_due(acknowledged) && !is_due(unacknowledged) {
            return;
        }
        let (heartbeats, name) = (self.heartbeats, self.name());
        // The target exits whether or not its leave message is acknowledged.
        tokio::spawn(async move { server::send_leave(heartbeats, &name).await });
        self.end();
        self.start_at = Some(now.after(TARGET_RESTART));
    }

    pub(super) fn send_heartbeat(
        &mut self,
        now: Millis,
        number: usize,
        inputs: &UnboundedSender<Input>,
    ) {
        let Some(target) = &self.target else {
            return;
        };
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now.after(HEARTBEAT_INTERVAL);
        self.sequence += 1;
        let (to, name, inputs) = (self.heartbeats, self.name(), inputs.clone());
        let (start, started_at, sequence, state) =
            (self.starts, self.started_at, self.sequence, target.state);
        tokio::spawn(async move {
            let heartbeat = heartbeat(&name, number, started_at, sequence, state);
            let is_acknowledged = heartbeat.send(to).await;
            // The receiver is dropped only at the end of the run.
            let _ = inputs.send(Input::HeartbeatDone {
                target: number,
                start,
                state,
                is_acknowledged,
            });
        });
    }

    pub(super) fn name(&self) -> String {
        self.name_of(self.starts)
    }

    fn name_of(&self, start: u32) -> String {
        let start = if self.keeps_name { 0 } else { start };
        format!("i-{start}")
    }

    pub(super) fn send(&self, packet: &Bytes) {
        send(&self.socket, packet, self.agent);
    }

    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Bytes> {
        let Some(target) = &mut self.target else {
            return Vec::new();
        };
        let mut due = target.take_due(now);
        due.extend(target.take_repeated(now));
        due
    }

    pub(super) fn holds(&self, flow: &FlowId) -> bool {
        self.target
            .as_ref()
            .is_some_and(|target| target.holds(flow))
    }

    pub(super) fn on_agent_back(&mut self, now: Millis) {
        if let Some(since) = self.agent_silent_since.take()
            && now.since(since) >= AGENT_LOST_AFTER
        {
            self.agent_back_at = Some(now);
        }
    }

    /// Whether its agent has not reported, or recently did not report, for so long that balancers
    /// consider the VM lost.
    pub(super) fn seemed_lost(&self, now: Millis) -> bool {
        let is_lost = |since: Millis| now.since(since) >= AGENT_LOST_AFTER;
        let was_recently_lost = |back: Millis| now.since(back) < STABILITY;
        self.agent_silent_since.is_some_and(is_lost)
            || self.agent_back_at.is_some_and(was_recently_lost)
    }
}

/// Heartbeat of target `number`.
const fn heartbeat(
    name: &str,
    number: usize,
    started_at: u64,
    sequence: u64,
    state: TargetState,
) -> Heartbeat<'_> {
    Heartbeat {
        name,
        service: SERVICES[service_of(number)],
        started_at,
        sequence,
        state,
        slots: SLOTS,
    }
}
