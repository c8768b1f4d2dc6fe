//! Flows across the agents of one pool, over loopback sockets.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use citronhollow_agent::link::TrafficCommand;
use citronhollow_core::config::Refusal;
use citronhollow_core::members::TargetState;
use smoltcp::socket::tcp;

use support::client::Client;
use support::{Agent, Fabric, body, caller, echo, settings, settle, target};

struct Pool {
    fabric: Fabric,
    agents: Vec<Agent>,
    /// Number of connections that the targets accepted.
    connections: Arc<AtomicUsize>,
}

impl Pool {
    fn new(count: usize) -> Self {
        let fabric = Fabric::new();
        let agents: Vec<Agent> = (1..=count)
            .map(|n| Agent::start(&settings(&format!("rink-{n}"), fabric.addr())))
            .collect();
        let records: Vec<_> = agents
            .iter()
            .map(|agent| agent.record(TargetState::Ready))
            .collect();
        let connections = Arc::new(AtomicUsize::new(0));
        for agent in &agents {
            let count = Arc::clone(&connections);
            let target = target(move |stream| {
                count.fetch_add(1, Ordering::Relaxed);
                echo(stream)
            });
            agent.configure(target, records.clone(), Refusal::Reset);
        }
        settle();
        Self {
            fabric,
            agents,
            connections,
        }
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.agents.iter().map(|agent| agent.addr).collect()
    }

    fn open(&self) -> Vec<u32> {
        self.agents.iter().map(|agent| agent.stats.open()).collect()
    }

    fn stop(self) {
        for agent in self.agents {
            agent.stop();
        }
    }

    /// Sends `request` through the agents that `choose` returns for each packet, and returns the
    /// response.
    fn exchange(
        &self,
        client: &mut Client,
        request: &[u8],
        choose: impl FnMut(&[u8]) -> SocketAddr,
    ) -> Vec<u8> {
        let mut sent = 0;
        let mut answer = Vec::new();
        self.fabric.run_via(client, choose, |client| {
            if client.socket().may_send() {
                sent += client.send(&request[sent..]);
                if sent == request.len() {
                    client.socket().close();
                }
            }
            answer.extend(client.recv());
            client.is_finished()
        });
        answer
    }
}

/// Guards against a new flow on a draining target: its agent must redirect the flow to a peer.
#[test]
fn a_draining_agent_redirects_a_new_flow() {
    let pool = Pool::new(2);
    pool.agents[0].command(TrafficCommand::State(TargetState::Draining));
    let first = pool.agents[0].addr;
    let mut client = caller(40_000);
    let mut open_at_most = vec![0, 0];
    let request = body(50_000);
    let answer = pool.exchange(&mut client, &request, |_| {
        for (most, open) in open_at_most.iter_mut().zip(pool.open()) {
            *most = open.max(*most);
        }
        first
    });
    assert!(answer == request, "bytes differ");
    assert_eq!(open_at_most, [0, 1]);
    pool.stop();
}

/// Guards against broken flows when the fabric spreads a flow's packets over all agents.
#[test]
fn packets_reach_the_holder_through_any_agent() {
    let pool = Pool::new(3);
    let addrs = pool.addrs();
    for port in 40_000..40_005 {
        let mut client = caller(port);
        let mut turn = 0;
        let request = body(20_000);
        let answer = pool.exchange(&mut client, &request, |_| {
            turn += 1;
            addrs[turn % addrs.len()]
        });
        assert!(answer == request, "bytes differ");
    }
    pool.stop();
}

/// Guards against a flow that is accepted twice, when every agent gets a copy of its packets.
#[test]
fn a_flow_whose_packets_come_to_every_agent_reaches_one_target() {
    let pool = Pool::new(3);
    let addrs = pool.addrs();
    let request = body(20_000);
    for (flows, port) in (1..).zip(40_000..40_005) {
        let mut client = caller(port);
        let answer = pool.exchange(&mut client, &request, |packet| {
            pool.fabric.forward(addrs[0], packet);
            pool.fabric.forward(addrs[1], packet);
            addrs[2]
        });
        assert!(answer == request, "bytes differ");
        assert_eq!(pool.connections.load(Ordering::Relaxed), flows);
    }
    pool.stop();
}

/// Guards against broken or doubled flows when the fabric loses 5 % and duplicates 10 % of the
/// packets.
#[test]
fn packet_loss_and_duplication_break_no_flow() {
    let mut pool = Pool::new(3);
    pool.fabric.loss = 5;
    pool.fabric.repeats = 10;
    let addrs = pool.addrs();
    let request = body(20_000);
    let mut client = caller(40_000);
    let mut turn = 0;
    let answer = pool.exchange(&mut client, &request, |_| {
        turn += 1;
        addrs[turn % addrs.len()]
    });
    assert!(answer == request, "bytes differ");
    assert_eq!(pool.connections.load(Ordering::Relaxed), 1);
    pool.stop();
}

/// Guards against callers that wait for a timeout: a flow that no agent holds, because all agents
/// were replaced, must be reset.
#[test]
fn a_flow_that_no_agent_holds_is_reset() {
    let pool = Pool::new(2);
    let mut client = caller(40_000);
    pool.fabric.run(&mut client, pool.agents[0].addr, |client| {
        client.socket().may_send()
    });
    let others = Pool::new(2);
    // Newly started agents do not know the flow.
    client.send(b"1");
    others
        .fabric
        .run(&mut client, others.agents[0].addr, |client| {
            client.state() == tcp::State::Closed
        });
    others.stop();
    pool.stop();
}
