//! Tests of the limits on new flows, the wait queue and refusals.

use std::collections::VecDeque;

use citronhollow_core::clock::Millis;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::FlowId;
use citronhollow_core::flows::{Action, DropReason, FlowLimits, Flows, LoadReport, Packet, Relay};
use citronhollow_core::members::TargetState;
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;

use crate::fixture::{
    Actions, Bytes, START, agent, agent_with, establish, flow, id, idle, on_packet, ready,
    redirected, redirected_last, revision, sent, service, syn,
};

const LIMIT: usize = 2;

fn at(ms: u64) -> Millis {
    START.after(Millis(ms))
}

fn on_tick(flows: &mut Flows<Bytes>, now: Millis) -> Actions {
    let mut out = Vec::new();
    flows.on_tick(now, &mut out);
    out
}

fn refusals(actions: &Actions) -> Vec<(ErrorKind, Millis)> {
    let refusal = |action: &Action<Bytes>| match action {
        Action::Refuse {
            kind, retry_after, ..
        } => Some((*kind, *retry_after)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn refused_as(actions: &Actions) -> Option<ErrorKind> {
    match refusals(actions)[..] {
        [(kind, _)] if actions.len() == 1 => Some(kind),
        _ => None,
    }
}

fn is_opened(actions: &Actions) -> bool {
    matches!(actions[..], [Action::Open { .. }])
}

/// Agent 1 of `count`, saturated, with a queue of two. Its peers take no new flows.
fn full_agent(count: u16) -> Flows<Bytes> {
    let limits = FlowLimits {
        flows: LIMIT,
        queue: 2,
        ..FlowLimits::default()
    };
    let mut flows = agent_with(1, count, limits);
    for number in 900..902 {
        establish(&mut flows, START, number, 7, 70);
    }
    for number in 2..=count {
        flows.on_load(
            START,
            LoadReport {
                takes_new: false,
                ..idle(number, 1)
            },
        );
    }
    flows
}

/// Agent 1 of `count` with limits on new flows per second.
fn limited_agent(count: u16, per_s: Option<u32>, per_caller: Option<u32>) -> Flows<Bytes> {
    let mut flows = agent(1, count);
    let mut limited = revision();
    limited.documents.services[0].new_flows_per_s = per_s;
    limited.documents.services[0].new_flows_per_s_per_caller = per_caller;
    flows.set_services(&limited);
    flows
}

fn from_caller(number: u16, caller: u8) -> Packet<Bytes> {
    let mut packet = syn(number, 5);
    packet.flow.caller.set_ip([10, 9, 1, caller].into());
    packet
}

cases! {
    waiting_flow_is_opened_when_there_is_capacity => {
        let mut flows = full_agent(1);
        assert!(on_packet(&mut flows, START, syn(1, 5)).is_empty());
        assert_eq!(flows.queue_len(), 1);
        flows.on_closed(at(100), &flow(900));
        assert!(is_opened(&on_tick(&mut flows, at(100))));
        assert_eq!(flows.queue_len(), 0);
    };

    waiting_flow_is_redirected_when_a_peer_has_capacity => {
        let mut flows = full_agent(2);
        on_packet(&mut flows, START, syn(1, 5));
        flows.on_load(at(50), idle(2, 2));
        assert_eq!(sent(&on_tick(&mut flows, at(50))), Some((id(2), Relay::Redirect)));
    };

    waiting_flow_at_the_redirect_limit_is_not_redirected => {
        let mut flows = full_agent(2);
        on_packet(&mut flows, START, redirected_last(2, syn(1, 5)));
        flows.on_load(at(50), idle(2, 2));
        assert!(on_tick(&mut flows, at(50)).is_empty());
        assert_eq!(refused_as(&on_tick(&mut flows, at(200))), Some(ErrorKind::Overloaded));
    };

    waiting_flow_is_refused_at_its_deadline_by_a_tick_or_a_packet => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        assert!(on_tick(&mut flows, at(199)).is_empty());
        assert_eq!(refused_as(&on_tick(&mut flows, at(200))), Some(ErrorKind::Overloaded));
        on_packet(&mut flows, at(200), syn(2, 5));
        let actions = on_packet(&mut flows, at(400), syn(3, 5));
        assert_eq!(refused_as(&actions), Some(ErrorKind::Overloaded));
        assert_eq!(flows.queue_len(), 1);
    };

    full_queue_refuses_at_once => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        on_packet(&mut flows, START, syn(2, 5));
        let actions = on_packet(&mut flows, START, syn(3, 5));
        assert_eq!(refused_as(&actions), Some(ErrorKind::Overloaded));
        assert_eq!(flows.queue_len(), 2);
    };

    retransmitted_syn_is_queued_once => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        let actions = on_packet(&mut flows, START, syn(1, 5));
        assert!(matches!(actions[..], [Action::Drop { reason: DropReason::Waiting }]));
    };

    caller_that_resets_stops_waiting => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        let mut reset = syn(1, 6);
        reset.segment.syn = false;
        reset.segment.rst = true;
        on_packet(&mut flows, START, reset);
        assert_eq!(flows.queue_len(), 0);
    };

    later_flow_does_not_overtake => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        flows.on_closed(START, &flow(900));
        let actions = on_packet(&mut flows, START, syn(2, 5));
        let [Action::Open { packet }] = &actions[..] else { panic!("{actions:?}") };
        assert_eq!(packet.flow, flow(1));
        assert_eq!(flows.queue_len(), 1);
    };

    draining_agent_queues_no_flow => {
        let mut flows = full_agent(2);
        on_packet(&mut flows, START, syn(1, 5));
        flows.set_state(at(1), TargetState::Draining);
        assert_eq!(refused_as(&on_tick(&mut flows, at(1))), Some(ErrorKind::Overloaded));
        let actions = on_packet(&mut flows, at(1), syn(2, 5));
        assert_eq!(refused_as(&actions), Some(ErrorKind::Overloaded));
    };

    waiting_flow_of_a_reassigned_address_is_dropped => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(1, 5));
        let mut next = revision();
        next.number = 2;
        let address = crate::fixture::SERVICE;
        next.documents.services = vec![service("draw-office", address, "desk")];
        flows.set_services(&next);
        let actions = on_tick(&mut flows, at(1));
        let wrong = |action: &Action<Bytes>| {
            matches!(action, Action::Drop { reason: DropReason::WrongService })
        };
        assert!(actions.iter().any(wrong), "{actions:?}");
        assert_eq!(flows.queue_len(), 0);
    };

    limit_of_a_pool_holds_for_half_open_flows_too => {
        let mut flows = agent(1, 1);
        let mut limited = revision();
        limited.documents.pools[0].flows_per_target = Some(3);
        flows.set_services(&limited);
        for number in 0..9 {
            on_packet(&mut flows, START, syn(number, 5));
        }
        assert_eq!((flows.len(), flows.queue_len()), (3, 6));
    };

    service_limit_is_shared_among_the_ready_agents => {
        let mut flows = limited_agent(4, Some(20), None);
        let mut peers = ready(1..=5);
        peers[4].state = TargetState::Draining;
        flows.set_peers(START, &peers);
        let refused = (0..20).filter(|number| {
            let actions = on_packet(&mut flows, START, syn(*number, 5));
            refused_as(&actions) == Some(ErrorKind::RateLimited)
        });
        assert_eq!(refused.count(), 15, "a quarter of 20 is allowed");
        let refused = |actions: &Actions| refused_as(actions).is_some();
        assert!(refused(&on_packet(&mut flows, at(199), syn(50, 5))));
        assert!(!refused(&on_packet(&mut flows, at(200), syn(51, 5))));
    };

    redirected_flow_is_not_counted_again => {
        let mut flows = limited_agent(1, Some(1), None);
        for number in 0..9 {
            assert!(is_opened(&on_packet(&mut flows, START, redirected_last(2, syn(number, 5)))));
        }
    };

    limit_of_zero_refuses_all => {
        let mut flows = limited_agent(1, Some(0), None);
        for secs in 0..5 {
            let actions = on_packet(&mut flows, at(secs * 1_000), syn(1, 5));
            assert_eq!(refused_as(&actions), Some(ErrorKind::RateLimited));
        }
    };

    caller_over_its_limit_uses_no_rate_of_others => {
        let mut flows = limited_agent(1, Some(6), Some(2));
        let mut opened = [0; 3];
        for number in 0..60 {
            let caller = if number < 50 { 0 } else { 1 + number % 2 };
            let caller = u8::try_from(caller).expect("a small number");
            let actions = on_packet(&mut flows, START, from_caller(number, caller));
            opened[usize::from(caller)] += u8::from(is_opened(&actions));
        }
        assert_eq!(opened, [2, 2, 2]);
    };

    refusal_by_the_service_limit_uses_no_rate_of_the_caller => {
        let mut flows = limited_agent(1, Some(1), Some(1));
        on_packet(&mut flows, START, from_caller(1, 1));
        let actions = on_packet(&mut flows, START, from_caller(2, 2));
        assert_eq!(refused_as(&actions), Some(ErrorKind::RateLimited));
        // Without the service's limit the caller may open a flow at the same moment.
        let mut wider = revision();
        wider.number = 2;
        wider.documents.services[0].new_flows_per_s_per_caller = Some(1);
        flows.set_services(&wider);
        assert!(is_opened(&on_packet(&mut flows, START, from_caller(3, 2))));
    };

    remembered_callers_are_bounded => {
        let limits = FlowLimits { callers: 5, ..FlowLimits::default() };
        let mut flows = agent_with(1, 1, limits);
        let mut limited = revision();
        limited.documents.services[0].new_flows_per_s_per_caller = Some(1);
        flows.set_services(&limited);
        for caller in 0..50 {
            on_packet(&mut flows, START, from_caller(1, caller));
            assert!(flows.caller_count() <= 5);
        }
    };

    retry_after_has_jitter_and_grows_with_the_queue => {
        let mut flows = full_agent(1);
        on_packet(&mut flows, START, syn(901, 5));
        on_packet(&mut flows, START, syn(1, 5));
        on_packet(&mut flows, START, syn(2, 5));
        let mut after: Vec<_> = (3..40)
            .flat_map(|number| refusals(&on_packet(&mut flows, START, syn(number, 5))))
            .map(|(_, retry_after)| retry_after)
            .collect();
        after.sort_unstable();
        // One second, plus one for two flows waiting for two slots; up to twice that.
        assert!(after[0] >= Millis(2_000) && after[36] < Millis(4_000), "{after:?}");
        assert!(after[36].since(after[0]) > Millis(1_500), "{after:?}");
    };

    queue_and_flows_stay_within_bounds_under_any_arrival_order => {
        let cases = crate::runner::cases(100);
        crate::runner::run(cases, arrivals(), |arrivals| {
            check_limits(SATURATED, Some(PER_S), Some(PER_CALLER), &arrivals)
        });
    };

    rates_hold_under_any_arrival_order => {
        let cases = crate::runner::cases(100);
        crate::runner::run(cases, arrivals(), |arrivals| {
            check_limits(UNSATURATED, Some(PER_S), None, &arrivals)?;
            check_limits(UNSATURATED, None, Some(PER_CALLER), &arrivals)
        });
    };
}

/// One event: milliseconds since the last one, the agent, the caller of a new flow there, and
/// whether the agent's oldest flow ends first.
type Arrival = (u64, usize, u8, bool);

const AGENTS: usize = 3;
const PER_S: u32 = 30;
const PER_CALLER: u32 = 6;
const SATURATED: FlowLimits = FlowLimits {
    flows: 8,
    queue: 3,
    ..FlowLimits::DEFAULT
};
const UNSATURATED: FlowLimits = FlowLimits {
    queue: 0,
    ..FlowLimits::DEFAULT
};

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let ends = proptest::bool::weighted(0.1);
    let arrival = (0_u64..5, 0..AGENTS, 0_u8..20, ends);
    proptest::collection::vec(arrival, 1..400)
}

/// Simulates agents with limits that redirect flows to one another.
struct Simulation {
    limits: FlowLimits,
    agents: Vec<Flows<Bytes>>,
    held: Vec<VecDeque<FlowId>>,
    waiting: Vec<VecDeque<(FlowId, Millis)>>,
    opened: Vec<(Millis, FlowId)>,
    now: Millis,
}

impl Simulation {
    fn new(limits: FlowLimits, per_s: Option<u32>, per_caller: Option<u32>) -> Self {
        let mut limited = revision();
        limited.documents.services[0].new_flows_per_s = per_s;
        limited.documents.services[0].new_flows_per_s_per_caller = per_caller;
        let agent = |number| {
            let mut flows = agent_with(number, 3, limits);
            flows.set_services(&limited);
            flows
        };
        Self {
            limits,
            agents: (1..=3).map(agent).collect(),
            held: vec![VecDeque::new(); AGENTS],
            waiting: vec![VecDeque::new(); AGENTS],
            opened: Vec::new(),
            now: START,
        }
    }

    fn on_arrival(&mut self, number: u16, arrival: &Arrival) {
        let (pause, at, caller, ends) = *arrival;
        for _ in 0..pause {
            self.now = self.now.after(Millis(1));
            self.tick();
        }
        if let Some(flow) = self.held[at].pop_front().filter(|_| ends) {
            self.agents[at].on_closed(self.now, &flow);
        }
        self.deliver(at, from_caller(number, caller));
    }

    fn tick(&mut self) {
        let reports: Vec<_> = self
            .agents
            .iter_mut()
            .map(|a| a.load_report(self.now))
            .collect();
        for at in 0..AGENTS {
            for report in &reports {
                self.agents[at].on_load(self.now, *report);
            }
            let actions = on_tick(&mut self.agents[at], self.now);
            self.perform(at, actions);
        }
    }

    fn deliver(&mut self, at: usize, packet: Packet<Bytes>) {
        let flow = packet.flow;
        let queued = self.agents[at].queue_len();
        let actions = on_packet(&mut self.agents[at], self.now, packet);
        if actions.is_empty() && self.agents[at].queue_len() > queued {
            self.waiting[at].push_back((flow, self.now));
        }
        self.perform(at, actions);
    }

    fn perform(&mut self, at: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Open { packet } => {
                    self.waiting[at].retain(|(flow, _)| *flow != packet.flow);
                    self.held[at].push_back(packet.flow);
                    self.opened.push((self.now, packet.flow));
                }
                Action::Refuse { packet, .. } => {
                    self.waiting[at].retain(|(flow, _)| *flow != packet.flow);
                }
                Action::Send { to, packet, .. } => {
                    self.waiting[at].retain(|(flow, _)| *flow != packet.flow);
                    let peer = (1..=3).position(|n| id(n) == to).expect("a peer");
                    let number = u16::try_from(at + 1).expect("a small number");
                    self.deliver(peer, redirected(number, packet));
                }
                _ => {}
            }
        }
    }

    fn check_bounds(&self) -> TestCaseResult {
        for (flows, waiting) in self.agents.iter().zip(&self.waiting) {
            prop_assert!(flows.len() <= self.limits.flows);
            prop_assert!(flows.queue_len() <= self.limits.queue);
            let oldest = waiting.front().map_or(self.now, |(_, since)| *since);
            prop_assert!(self.now.since(oldest) <= self.limits.queue_timeout);
        }
        Ok(())
    }

    /// In any second at most twice the limit is opened (a burst of one second's worth, then the
    /// rate), plus the flows that were already waiting.
    fn check_rates(&self, per_s: Option<u32>, per_caller: Option<u32>) -> TestCaseResult {
        let waited = AGENTS * self.limits.queue;
        let bound = |limit: Option<u32>| limit.map_or(usize::MAX, |n| 2 * n as usize + waited);
        for (from, flow) in &self.opened {
            let second = *from..from.after(Millis(1_000));
            let within = |(at, _): &&(Millis, FlowId)| second.contains(at);
            let of_caller = |(_, other): &&(Millis, FlowId)| other.caller.ip() == flow.caller.ip();
            let all = self.opened.iter().filter(within);
            let count = all.clone().count();
            prop_assert!(count <= bound(per_s), "{count} of the service");
            let count = all.filter(of_caller).count();
            prop_assert!(count <= bound(per_caller), "{count} of a caller");
        }
        Ok(())
    }
}

fn check_limits(
    limits: FlowLimits,
    per_s: Option<u32>,
    per_caller: Option<u32>,
    arrivals: &[Arrival],
) -> TestCaseResult {
    let mut sim = Simulation::new(limits, per_s, per_caller);
    for (number, arrival) in (0_u16..).zip(arrivals) {
        sim.on_arrival(number, arrival);
        sim.check_bounds()?;
    }
    sim.check_rates(per_s, per_caller)
}
