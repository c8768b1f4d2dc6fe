//! Passes received datagrams to the flow table, and performs the actions that it returns.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use citronhollow_caller::packet::{self, Parsed};
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Refusal;
use citronhollow_core::error::{ErrorKind, FlowAnswer};
use citronhollow_core::flow::FlowId;
use citronhollow_core::flows::{Action, CloseReason, Flows, Holding, Packet, Relay};
use citronhollow_core::id::TargetId;
use citronhollow_operator::trace::{Hop, HopSpan};
use citronhollow_peer::Body;
use citronhollow_peer::message::{Drain, Forward, Question, Reply};

use super::agent::Agent;
use super::mailbox::{Cancellation, Delivery, Mailbox};
use super::wire::{self, WireError};
use super::{flow, refusal};
use crate::link::ControlCommand;

/// Handles a datagram from a balancer or a peer.
pub(super) fn on_datagram(agent: &Rc<Agent>, datagram: &[u8], from: SocketAddr) {
    let Ok(envelope) = agent.codec.open(datagram) else {
        agent.stats.count_malformed(1);
        return;
    };
    let result = match envelope.body {
        Some(Body::Forward(forward)) => on_forward(agent, forward),
        Some(Body::Question(question)) => on_question(agent, &question),
        Some(Body::Reply(reply)) => on_reply(agent, &reply),
        Some(Body::Load(load)) => {
            let report = wire::load_from_message(&load);
            agent.flows.borrow_mut().on_load(agent.clock.now(), report);
            Ok(())
        }
        Some(Body::Drain(drain)) => {
            on_drain(agent, drain, from);
            Ok(())
        }
        // A message of another version, or one that is not meant for the traffic thread.
        _ => {
            agent.stats.count_malformed(1);
            Ok(())
        }
    };
    if let Err(err) = result {
        log::debug!("traffic: message from {from} dropped: {err}");
        agent.stats.count_malformed(1);
    }
}

/// Runs the timers of the flow table and of lingering flows.
pub(super) fn on_tick(agent: &Rc<Agent>) {
    let now = agent.clock.now();
    agent.lingering.borrow_mut().expire(now);
    update(agent, Flows::on_tick);
}

/// Shuts down: sends what is known of flows at other targets to the peers that will be asked for
/// them next.
pub(super) fn on_leave(agent: &Rc<Agent>) {
    update(agent, Flows::on_leave);
    agent.stats.count_unsent(agent.datagrams.flush());
}

fn on_forward(agent: &Rc<Agent>, forward: Forward) -> Result<(), WireError> {
    let packet = wire::packet_from(forward)?;
    on_packet(agent, packet);
    Ok(())
}

fn on_packet(agent: &Rc<Agent>, packet: Packet<Bytes>) {
    if deliver_to_refusal(agent, &packet) || answer_lingering(agent, &packet) {
        return;
    }
    update(agent, |flows, now, out| flows.on_packet(now, packet, out));
}

fn on_question(agent: &Rc<Agent>, question: &Question) -> Result<(), WireError> {
    let flow = wire::flow_from_question(question)?;
    let from = TargetId(question.sender);
    if agent.refusals.borrow().get(&flow).is_some() {
        send_reply(agent, from, &flow, Holding::Here);
        return Ok(());
    }
    update(agent, |flows, now, out| {
        flows.on_question(now, from, flow, out);
    });
    Ok(())
}

fn on_reply(agent: &Rc<Agent>, reply: &Reply) -> Result<(), WireError> {
    let (flow, holding) = wire::holding_from_reply(reply)?;
    let from = TargetId(reply.sender);
    update(agent, |flows, now, out| {
        flows.on_reply(now, from, flow, holding, out);
    });
    Ok(())
}

fn on_drain(agent: &Agent, drain: Drain, from: SocketAddr) {
    let command = ControlCommand::Drain {
        on: drain.on,
        reply_to: from,
    };
    // Sending fails only when the control thread has ended, while the process exits.
    let _ = agent.control.send(command);
}

/// Delivers the packet to the task that refuses its flow. Returns false if there is none.
fn deliver_to_refusal(agent: &Agent, packet: &Packet<Bytes>) -> bool {
    let refusals = agent.refusals.borrow();
    let Some(mailbox) = refusals.get(&packet.flow) else {
        return false;
    };
    push(agent, mailbox, packet);
    true
}

/// Handles a packet of a flow that has ended normally: acknowledges a repeated FIN and ignores
/// other segments. Returns false if there is no such flow or the packet is an initial SYN.
fn answer_lingering(agent: &Agent, packet: &Packet<Bytes>) -> bool {
    if !agent.lingering.borrow().contains(&packet.flow) {
        return false;
    }
    if packet.segment.is_initial_syn() {
        agent.lingering.borrow_mut().remove(&packet.flow);
        return false;
    }
    let Parsed { flow, segment } = parsed(packet);
    if !segment.fin {
        return true;
    }
    if let Some(answer) = packet::acknowledgement(&Parsed { flow, segment }) {
        agent.send_to_caller(&flow, &answer);
    }
    true
}

/// Passes an event to the flow table, and performs the resulting actions.
fn update(
    agent: &Rc<Agent>,
    event: impl FnOnce(&mut Flows<Bytes>, Millis, &mut Vec<Action<Bytes>>),
) {
    let now = agent.clock.now();
    let mut actions = Vec::new();
    event(&mut agent.flows.borrow_mut(), now, &mut actions);
    for action in actions {
        perform(agent, action);
    }
}

fn perform(agent: &Rc<Agent>, action: Action<Bytes>) {
    match action {
        Action::Open { packet } => {
            let span = hop(Hop::Agent, &packet);
            agent.stats.count_opened(1);
            flow::open(agent, &packet);
            span.outcome("accepted");
        }
        Action::Deliver { packet } => deliver(agent, &packet),
        Action::Send { to, relay, packet } => {
            let span = hop(Hop::Redirect, &packet);
            span.peer(to);
            count_relay(agent, &span, relay);
            let forward = wire::forward(agent.me, relay, packet);
            agent.send_to_peer(to, Body::Forward(forward));
        }
        Action::Ask { to, flow } => {
            agent.stats.count_asked(1);
            let question = wire::question(agent.me, &flow);
            agent.send_to_peer(to, Body::Question(question));
        }
        Action::Reply { to, flow, holding } => send_reply(agent, to, &flow, holding),
        Action::Refuse {
            packet,
            kind,
            retry_after,
        } => refuse(agent, &packet, kind, retry_after),
        Action::Close { flow, reason } => close(agent, &flow, reason),
        Action::Drop { .. } => agent.stats.count_dropped(1),
    }
}

/// Starts the span for a packet. It records nothing unless the flow is sampled.
fn hop(hop: Hop, packet: &Packet<Bytes>) -> HopSpan {
    let span = HopSpan::begin(hop, packet.trace);
    span.service(packet.flow.service);
    span
}

fn count_relay(agent: &Agent, span: &HopSpan, relay: Relay) {
    match relay {
        Relay::Redirect => {
            agent.stats.count_redirected(1);
            span.outcome("redirected");
        }
        Relay::Pass => {
            agent.stats.count_passed(1);
            span.outcome("passed");
        }
    }
}

fn deliver(agent: &Agent, packet: &Packet<Bytes>) {
    let tasks = agent.tasks.borrow();
    if let Some(mailbox) = tasks.get(&packet.flow) {
        push(agent, mailbox, packet);
    }
}

fn push(agent: &Agent, mailbox: &Mailbox, packet: &Packet<Bytes>) {
    let delivery = Delivery {
        segment: packet.segment,
        bytes: packet.bytes.clone(),
    };
    if !mailbox.push(delivery) {
        agent.stats.count_dropped(1);
    }
}

fn send_reply(agent: &Agent, to: TargetId, flow: &FlowId, holding: Holding) {
    let reply = wire::reply(agent.me, flow, holding);
    agent.send_to_peer(to, Body::Reply(reply));
}

fn refuse(agent: &Rc<Agent>, packet: &Packet<Bytes>, kind: ErrorKind, retry_after: Millis) {
    hop(Hop::Agent, packet).refused(kind);
    agent.stats.count_refused(1);
    match kind.answer().flow {
        FlowAnswer::Drop => {}
        FlowAnswer::Reset => reset(agent, packet),
        FlowAnswer::Unavailable => {
            let is_enabled = refuses_with_503(agent, packet.flow.service);
            let is_taken = is_enabled && refusal::open(agent, packet, retry_after);
            if !is_taken {
                reset(agent, packet);
            }
        }
    }
}

/// Whether the service's refused callers get an HTTP 503 instead of a reset.
fn refuses_with_503(agent: &Agent, service: SocketAddr) -> bool {
    agent.refusal_by_service.borrow().get(&service) == Some(&Refusal::Unavailable)
}

fn reset(agent: &Agent, packet: &Packet<Bytes>) {
    if let Some(reset) = packet::reset(&parsed(packet)) {
        agent.send_to_caller(&packet.flow, &reset);
    }
}

fn close(agent: &Agent, flow: &FlowId, reason: CloseReason) {
    let cancellation = if reason.resets() {
        Cancellation::Reset
    } else {
        Cancellation::Silent
    };
    let mailbox = agent.tasks.borrow_mut().remove(flow);
    if let Some(mailbox) = mailbox {
        mailbox.cancel(cancellation);
    }
}

pub(super) const fn parsed(packet: &Packet<Bytes>) -> Parsed {
    Parsed {
        flow: packet.flow,
        segment: packet.segment,
    }
}
