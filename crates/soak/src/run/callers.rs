//! Callers: open flows, send requests and check the responses.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use citronhollow_adapter::packet::{FromTarget, from_target};
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::exchange::{Exchange, ExchangeEvent};
use crate::invariants::Invariant;
use crate::plan::Node;
use crate::target::Request;

use super::socket::send;
use super::{ROUTES, Run, service_address};

/// Maximum number of requests per flow, and maximum pause between two requests or two flows.
const MAX_REQUESTS: u32 = 30;
const MAX_PAUSE_MS: u64 = 400;

/// Port before that of a caller's first flow. Each flow uses the next port.
const FIRST_PORT: u16 = 20_000;

/// A caller, which has one flow at a time.
pub(super) struct Caller {
    pub(super) socket: Arc<UdpSocket>,
    pub(super) exchange: Option<Exchange>,
    pub(super) route: usize,
    pub(super) requests_left: u32,
    pub(super) next_at: Millis,
    /// Balancer that received the SYN, and the number of its starts so far.
    pub(super) balancer: (usize, u32),
    pub(super) next_port: u16,
}

impl Run {
    /// Opens a flow, retransmits, times out or sends the next request, as due.
    pub(super) fn tick_caller(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        let Some(exchange) = &mut caller.exchange else {
            if now >= caller.next_at {
                self.open(now, number);
            }
            return;
        };
        let (packet, event) = exchange.on_tick(now);
        if let Some(packet) = packet {
            self.route(number, &packet);
        }
        if let Some(event) = event {
            self.on_exchange(now, number, event);
        }
        let caller = &mut self.callers[number];
        let is_idle = caller.exchange.as_ref().is_some_and(Exchange::is_idle);
        if is_idle && now >= caller.next_at {
            self.send_request(now, number);
        }
    }

    pub(super) fn open(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        caller.next_port = caller.next_port.wrapping_add(1).max(1_024);
        caller.route = self.rng.random_range(0..ROUTES.len());
        caller.requests_left = self.rng.random_range(1..=MAX_REQUESTS);
        let flow = FlowId {
            caller: SocketAddr::new(self.fleet.caller(number).ip(), caller.next_port),
            service: service_address(ROUTES[caller.route].port),
        };
        let exchange = Exchange::new(now, flow, self.rng.random());
        let syn_packet = exchange.syn_packet();
        caller.exchange = Some(exchange);
        let balancer = self.router.choose(&flow);
        let start = self.fleet.starts(Node::Balancer(balancer));
        self.callers[number].balancer = (balancer, start);
        self.route(number, &syn_packet);
    }

    /// Sends the next request, or closes the flow if all of its requests were answered.
    pub(super) fn send_request(&mut self, now: Millis, number: usize) {
        let caller = &mut self.callers[number];
        let Some(exchange) = &mut caller.exchange else {
            return;
        };
        let packet = if caller.requests_left == 0 {
            exchange.close()
        } else {
            caller.requests_left -= 1;
            let request = Request {
                id: self.next_request,
                may_repeat: ROUTES[caller.route].may_repeat,
            };
            self.next_request += 1;
            exchange.send_request(now, request)
        };
        let is_over = exchange.is_over;
        self.route(number, &packet);
        if is_over {
            self.on_exchange(now, number, ExchangeEvent::Closed);
        }
    }

    /// Sends a caller's packet to the balancer that the router chooses.
    pub(super) fn route(&mut self, number: usize, packet: &Bytes) {
        if self.is_lost() {
            return;
        }
        let caller = &self.callers[number];
        if let Some(exchange) = &caller.exchange {
            let balancer = self.router.choose(&exchange.flow);
            send(&caller.socket, packet, self.fleet.fabric(balancer));
        }
    }

    pub(super) fn on_packet_to_caller(&mut self, now: Millis, number: usize, bytes: &Bytes) {
        let Some(exchange) = &mut self.callers[number].exchange else {
            return;
        };
        let Ok(FromTarget::ToCaller(packet)) = from_target(bytes.clone()) else {
            return;
        };
        if packet.flow != exchange.flow {
            // A delayed packet of an earlier flow of this caller.
            return;
        }
        if let Some(event) = exchange.on_packet(bytes) {
            self.on_exchange(now, number, event);
        }
    }

    pub(super) fn on_exchange(&mut self, now: Millis, number: usize, event: ExchangeEvent) {
        let pause = Millis(self.rng.random_range(0..MAX_PAUSE_MS));
        match event {
            ExchangeEvent::Accepted => {
                self.callers[number].next_at = now;
                self.send_request(now, number);
                return;
            }
            ExchangeEvent::Answered(_) => {
                self.report.answered += 1;
                self.callers[number].next_at = now.after(pause);
                return;
            }
            ExchangeEvent::Invalid => {
                let what =
                    format!("caller {number} received an altered packet or a wrong response");
                self.checker.record(now, Invariant::Whole, what);
                return;
            }
            ExchangeEvent::Reset(was_open) => {
                self.report.resets += 1;
                if was_open {
                    self.check_reset(now, number);
                }
                self.check_recovery(now, number, "was reset");
            }
            ExchangeEvent::TimedOut => {
                self.report.given_up += 1;
                self.check_recovery(now, number, "was not answered");
            }
            ExchangeEvent::Closed => {}
        }
        let caller = &mut self.callers[number];
        caller.exchange = None;
        caller.next_at = now.after(pause);
    }

    pub(super) fn check_reset(&mut self, now: Millis, number: usize) {
        let Some(exchange) = &self.callers[number].exchange else {
            return;
        };
        let flow = exchange.flow;
        let holder = self.hosts.iter().position(|host| host.holds(&flow));
        if let Some(target) = holder
            && !self.hosts[target].seemed_lost(now)
            && self.checker.disturbances.were_stable(now, &[])
        {
            let what = format!("target {target} holds {flow:?}, which was reset");
            self.checker.record(now, Invariant::NoReset, what);
        }
    }

    pub(super) fn check_recovery(&mut self, now: Millis, number: usize, what: &str) {
        let is_judged = self.recovered_at.is_some_and(|at| now >= at);
        if is_judged && self.checker.disturbances.were_stable(now, &[]) {
            let route = ROUTES[self.callers[number].route].name;
            let what = format!("caller {number} of {route} {what}");
            self.checker.record(now, Invariant::Recovery, what);
        }
    }
}

impl Caller {
    pub(super) const fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            exchange: None,
            route: 0,
            requests_left: 0,
            next_at: Millis::ZERO,
            balancer: (0, 0),
            next_port: FIRST_PORT,
        }
    }
}
