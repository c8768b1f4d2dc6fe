//! Starts, heartbeats and packets of the targets.

use bytes::Bytes;
use citronhollow_core::clock::Millis;
use citronhollow_core::flow::FlowId;
use rand::Rng;

use crate::fleet::service_of;
use crate::invariants::{Invariant, OpenedFlow};
use crate::target::TargetEvent;

use super::callers::Caller;
use super::{CHANGING_ROUTE, ROUTES, Run, fixed_service};

impl Run {
    pub(super) fn tick_hosts(&mut self, now: Millis) {
        for target in 0..self.hosts.len() {
            let host = &mut self.hosts[target];
            if host.start_at.is_some_and(|at| now >= at) {
                self.start_target(now, target);
            }
            let host = &mut self.hosts[target];
            for packet in host.take_due(now) {
                host.send(&packet);
            }
            host.tick_draining(now);
            if let (Some(since), None) = (host.announced, host.acknowledged)
                && !host.is_overdue
            {
                let before = self.checker.violations().len();
                self.checker.on_unacknowledged(now, target, since);
                self.hosts[target].is_overdue = self.checker.violations().len() > before;
            }
            self.hosts[target].send_heartbeat(now, target, &self.inputs);
        }
    }

    pub(super) fn on_packet_to_target(&mut self, now: Millis, target: usize, bytes: &Bytes) {
        let Some(machine) = &mut self.hosts[target].target else {
            return;
        };
        let mut events = Vec::new();
        machine.on_packet(now, bytes, &mut events);
        for event in events {
            match event {
                TargetEvent::Send(bytes) => self.hosts[target].send(&bytes),
                TargetEvent::Opened(flow) => self.on_opened(now, target, &flow),
                TargetEvent::RequestStarted(request) => {
                    self.checker.on_run(now, request.id, request.may_repeat);
                }
                TargetEvent::Altered(flow) => {
                    let what = format!("target {target} received an altered packet of {flow:?}");
                    self.checker.record(now, Invariant::Whole, what);
                }
            }
        }
    }

    pub(super) fn on_opened(&mut self, now: Millis, target: usize, flow: &FlowId) {
        let of_flow = |caller: &&Caller| {
            let exchange = caller.exchange.as_ref();
            exchange.is_some_and(|exchange| exchange.flow == *flow)
        };
        // Without a caller's flow there is nothing to check: the caller has abandoned it meanwhile.
        let Some(caller) = self.callers.iter().find(of_flow) else {
            return;
        };
        let Some(exchange) = &caller.exchange else {
            return;
        };
        self.report.opened += 1;
        let opened = OpenedFlow {
            sent: exchange.opened,
            was_retransmitted: exchange.syn_retransmits > 0,
            balancer: caller.balancer,
            target,
            service: service_of(target),
            draining_since: self.hosts[target].acknowledged,
        };
        let route = caller.route;
        self.checker.on_opened_while_draining(now, &opened);
        if route == CHANGING_ROUTE {
            self.checker.on_opened(now, opened);
        } else if fixed_service(route) != opened.service {
            let what = format!(
                "a flow of route {} reached target {target}",
                ROUTES[route].name
            );
            self.checker.record(now, Invariant::Service, what);
        }
    }

    pub(super) fn start_target(&mut self, now: Millis, target: usize) {
        let seed = self.rng.random();
        self.hosts[target].start(now, seed);
    }
}
