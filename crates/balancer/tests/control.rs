//! Control threads of balancers and agents together, over loopback sockets.
//!
//! Guards against targets, revisions, drains and departures that do not reach every balancer and
//! agent, and against revisions that go backwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use citronhollow_agent::link::ControlCommand;
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::error::ErrorKind;
use citronhollow_core::id::TargetId;
use citronhollow_core::members::TargetState;
use citronhollow_peer::message::{HeartbeatReply, PoolReply};
use citronhollow_peer::{Body, Codec, Envelope, exchange};
use citronhollow_target::announce::AnnouncedState;
use tokio::net::{TcpListener, UdpSocket};
use volo_http::http::StatusCode;

mod fleet;

use fleet::{Agent, Balancer, any_port, eventually, keyring, revision};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { $body.await })*
    };
}

async fn until_chosen(balancer: &Balancer, name: &str) {
    let id = TargetId::of(name);
    eventually("a route", async || {
        (balancer.chosen() == Some(id)).then_some(())
    })
    .await;
}

async fn until_none_is_chosen(balancer: &Balancer) {
    eventually("the end of new flows", async || {
        balancer.chosen().is_none().then_some(())
    })
    .await;
}

/// Two balancers with revision 1, and a ready target whose agent reports to the second.
async fn two_and_a_target() -> (Balancer, Balancer, Agent) {
    let first = Balancer::start("b1", &[]).await;
    let second = Balancer::start("b2", &[first.handle.addr()]).await;
    assert!(first.revisions.offer(revision(1)));
    let agent = Agent::start("desk-1", &[second.handle.addr()], any_port()).await;
    agent.announce(AnnouncedState::Ready).await;
    until_chosen(&first, "desk-1").await;
    until_chosen(&second, "desk-1").await;
    (first, second, agent)
}

async fn reports(fleet: &[Balancer]) -> usize {
    let mut sum = 0;
    for balancer in fleet {
        sum += balancer.reporting().await;
    }
    sum
}

/// Fake balancer that advertises revision 11 and serves the given revisions one after another.
/// Returns its address and the number of requests.
async fn fake_balancer<const N: usize>(numbers: [u64; N]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket");
    let socket = UdpSocket::bind(addr).await.expect("the same port");
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = async |_| {
                let place = count.fetch_add(1, Ordering::Relaxed);
                let number = numbers[place.min(N - 1)];
                Some(Body::PoolReply(PoolReply {
                    peers: Vec::new(),
                    revision_json: serde_json::to_vec(&revision(number)).expect("JSON"),
                    peers_digest: number,
                }))
            };
            let served = exchange::serve(stream, keyring("a"), answer).await;
            served.expect("the agent's request");
        }
    });
    tokio::spawn(async move {
        let codec = Codec::new(keyring("a"));
        let mut buf = [0; 1_500];
        while let Ok((_, from)) = socket.recv_from(&mut buf).await {
            let reply = HeartbeatReply {
                revision: 11,
                peers_digest: 11,
                ..HeartbeatReply::default()
            };
            let mut frame = BytesMut::new();
            codec.seal(&Envelope::from(Body::HeartbeatReply(reply)), &mut frame);
            socket.send_to(&frame, from).await.expect("loopback");
        }
    });
    (addr, asked)
}

cases! {
    announced_target_reaches_every_balancer_and_gets_its_services => async {
        let (first, second, mut agent) = two_and_a_target().await;
        let third = Balancer::start("b3", &[first.handle.addr()]).await;
        until_chosen(&third, "desk-1").await;
        assert_eq!(second.revisions.latest().number, 1);
        eventually("the agent's services", async || {
            agent.listen();
            (agent.services == revision(1)).then_some(())
        })
        .await;
        assert_eq!(agent.peers.len(), 1);
    };

    later_revision_reaches_agents_and_never_goes_back => async {
        let (first, second, mut agent) = two_and_a_target().await;
        assert!(second.revisions.offer(revision(7)));
        assert!(!second.revisions.offer(revision(6)));
        eventually("the revision at the other balancer", async || {
            (first.revisions.latest().number == 7).then_some(())
        })
        .await;
        eventually("the revision at the agent", async || {
            agent.listen();
            (agent.services.number == 7).then_some(())
        })
        .await;
    };

    lower_revision_from_a_lagging_balancer_is_refused => async {
        let numbers = [9, 3, 11];
        let (addr, asked) = fake_balancer(numbers).await;
        let mut agent = Agent::start("desk-1", &[addr], any_port()).await;
        agent.announce(AnnouncedState::Ready).await;
        eventually("the last revision", async || {
            // `listen` panics if a revision number ever decreases.
            agent.listen();
            (agent.services.number == 11).then_some(())
        })
        .await;
        assert_eq!(asked.load(Ordering::Relaxed), numbers.len(), "the lower one was offered");
    };

    balancer_that_starts_without_the_platform_takes_the_highest_revision => async {
        let (first, second, _agent) = two_and_a_target().await;
        assert!(second.revisions.offer(revision(9)));
        let old = RevisionStore::default();
        assert!(old.offer(revision(3)));
        let seeds = [first.handle.addr(), second.handle.addr()];
        let late = Balancer::start_with("b3", &seeds, keyring("a"), old).await;
        eventually("the highest revision", async || {
            (late.revisions.latest().number == 9).then_some(())
        })
        .await;
        until_chosen(&late, "desk-1").await;
    };

    operators_drain_goes_directly_to_the_agent => async {
        let socket = UdpSocket::bind(any_port()).await.expect("a free port");
        let traffic_addr = socket.local_addr().expect("a bound socket");
        let first = Balancer::start("b1", &[]).await;
        let second = Balancer::start("b2", &[first.handle.addr()]).await;
        assert!(first.revisions.offer(revision(1)));
        let agent = Agent::start("desk-1", &[second.handle.addr()], traffic_addr).await;
        agent.take_drains(socket);
        agent.stats.set_open(3);
        agent.announce(AnnouncedState::Ready).await;
        until_chosen(&first, "desk-1").await;
        assert_eq!(first.handle.send_drain("desk-1", true).await, Ok(()));
        until_none_is_chosen(&first).await;
        until_none_is_chosen(&second).await;
        let status = first.handle.status().await.expect("a running balancer");
        assert_eq!(status.drains[0].state, Some(TargetState::Draining));
        assert_eq!(status.drains[0].open, Some(3));
        assert_eq!(first.handle.send_drain("desk-1", false).await, Ok(()));
        until_chosen(&second, "desk-1").await;
    };

    every_balancer_learns_that_the_slowest_process_has_the_revision => async {
        let (first, second, agent) = two_and_a_target().await;
        agent.stats.set_open(3);
        assert!(second.revisions.offer(revision(2)));
        for balancer in [&first, &second] {
            eventually("the revision everywhere", async || {
                (balancer.handle.fleet_view().lowest_reported == 2).then_some(())
            })
            .await;
        }
        let ranks = [first.handle.fleet_view().rank, second.handle.fleet_view().rank];
        assert_eq!(ranks.iter().sum::<usize>(), 1, "{ranks:?}");
        eventually("the report of its flows", async || {
            let status = first.handle.fleet().await.expect("a running balancer");
            (status.targets[0].open == Some(3)).then_some(())
        })
        .await;
    };

    drain_of_an_unknown_target_is_an_error => async {
        let first = Balancer::start("b1", &[]).await;
        let outcome = first.handle.send_drain("nobody", true).await;
        assert_eq!(outcome, Err(ErrorKind::NotFound));
    };

    stopping_agent_waits_for_its_flows_and_notifies_all_balancers => async {
        let (first, second, agent) = two_and_a_target().await;
        agent.stats.set_open(1);
        agent.stop.send_replace(true);
        until_none_is_chosen(&first).await;
        until_none_is_chosen(&second).await;
        assert!(!agent.task.is_finished(), "a flow is still open");
        let status = second.handle.status().await.expect("a running balancer");
        assert_eq!(status.targets.draining, 1);
        agent.stats.set_open(0);
        agent.task.await.expect("a clean end");
        eventually("the leave notice", async || {
            let status = first.handle.status().await.expect("a running balancer");
            assert_eq!(status.targets.suspect, 0, "the death was announced, not suspected");
            (status.targets.dead == 1).then_some(())
        })
        .await;
    };

    target_that_refuses_connections_is_not_ready => async {
        let (first, _second, agent) = two_and_a_target().await;
        let lost = ControlCommand::TargetReachable(false);
        agent.commands.send(lost).expect("a running agent");
        until_none_is_chosen(&first).await;
        let back = ControlCommand::TargetReachable(true);
        agent.commands.send(back).expect("a running agent");
        until_chosen(&first, "desk-1").await;
    };

    agent_reports_to_another_balancer_when_its_own_dies => async {
        let (first, second, agent) = two_and_a_target().await;
        let mut fleet = vec![first, second];
        for name in ["b3", "b4", "b5"] {
            fleet.push(Balancer::start(name, &[fleet[0].handle.addr()]).await);
        }
        eventually("three reports", async || (reports(&fleet).await == 3).then_some(())).await;
        let mut place = 0;
        while fleet[place].reporting().await == 0 {
            place += 1;
        }
        fleet.swap_remove(place).task.abort();
        assert_eq!(reports(&fleet).await, 2);
        eventually("three reports again", async || (reports(&fleet).await == 3).then_some(())).await;
        agent.announce(AnnouncedState::Draining).await;
        for balancer in &fleet {
            until_none_is_chosen(balancer).await;
        }
    };

    leaving_balancer_notifies_the_others_and_ends => async {
        let (first, second, _agent) = two_and_a_target().await;
        second.handle.leave().await;
        eventually("the leave at the other balancer", async || {
            let status = first.handle.status().await.expect("a running balancer");
            (status.balancers == 1).then_some(())
        })
        .await;
        assert!(!second.task.is_finished(), "it goes on forwarding for a while");
        second.task.await.expect("a clean end");
        assert_eq!(first.chosen(), Some(TargetId::of("desk-1")));
    };

    frames_under_a_wrong_key_are_counted_and_refused => async {
        let first = Balancer::start("b1", &[]).await;
        let seeds = [first.handle.addr()];
        let store = RevisionStore::default();
        assert!(store.offer(revision(5)));
        let _stranger = Balancer::start_with("x", &seeds, keyring("b"), store).await;
        eventually("a refused frame", async || {
            let status = first.handle.status().await.expect("a running balancer");
            (status.refused_frames > 0).then_some(())
        })
        .await;
        let status = first.handle.status().await.expect("a running balancer");
        assert_eq!((status.balancers, status.revision), (1, 0));
    };

    invalid_announcement_is_refused_and_changes_nothing => async {
        let (first, _second, agent) = two_and_a_target().await;
        let invalid = [
            serde_json::json!({"group": "desk", "address": "127.0.0.1:8080", "slots": 0, "state": "ready"}),
            serde_json::json!({"group": "", "address": "127.0.0.1:8080", "slots": 1, "state": "ready"}),
            serde_json::json!({"group": "desk", "address": "127.0.0.1:0", "slots": 1, "state": "ready"}),
            serde_json::json!({"group": "desk", "address": "127.0.0.1:8080", "slots": 1, "state": "dead"}),
            serde_json::json!({"group": "desk", "address": "127.0.0.1:8080", "slots": 1, "load": 3}),
        ];
        for announcement in invalid {
            let status = agent.put(&announcement).await;
            assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{announcement}");
        }
        assert_eq!(first.chosen(), Some(TargetId::of("desk-1")));
    };
}
