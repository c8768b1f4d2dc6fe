//! Which revision the slowest process has, as one balancer knows it.

use std::net::SocketAddr;

use citronhollow_balancer::control::Node;
use citronhollow_balancer::publish::FleetView;
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Revision;
use citronhollow_core::gossip::JOIN_TIMEOUT;
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{BalancerRecord, TargetRecord, TargetState, TargetUpdate};
use citronhollow_operator::status::{BalancerState, FleetStatus};
use citronhollow_peer::message::{Digest, Heartbeat};
use citronhollow_peer::{Body, balancer_to_message, target_to_message};

const NOW: Millis = Millis::from_secs(100);

struct Fixture {
    node: Node,
    revisions: RevisionStore,
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn balancer(name: &str, leaving: bool) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId::of(name),
        domain: DomainId::of("a"),
        control: addr(7_000),
        leaving,
        incarnation: 1,
        sequence: 1 + u64::from(leaving),
    }
}

fn target(name: &str, state: TargetState, sequence: u64) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(name),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        agent: addr(9_000),
        slots: 2,
        state,
        incarnation: 1,
        sequence,
    }
}

impl Fixture {
    /// A balancer alone, with revision 5 in force.
    fn new() -> Self {
        let revisions = RevisionStore::default();
        let mut fixture = Self {
            node: Node::new(balancer("entry-b", false), Vec::new(), revisions.clone()),
            revisions,
        };
        let revision = Revision {
            number: 5,
            ..Revision::default()
        };
        assert!(fixture.revisions.offer(revision));
        fixture.node.on_revision();
        fixture
    }

    fn take(&mut self, body: Body) {
        self.node.on_message(NOW, addr(1), body, &mut Vec::new());
    }

    fn heartbeat(&mut self, name: &str, revision: u64, is_last: bool) {
        let state = if is_last {
            TargetState::Dead
        } else {
            TargetState::Ready
        };
        let record = target(name, state, 1 + u64::from(is_last));
        self.take(Body::Heartbeat(Heartbeat {
            target: Some(target_to_message(&TargetUpdate::alive(record))),
            revision,
            open: 7,
            is_last,
            wants_balancers: false,
        }));
    }

    fn digest(&mut self, sender: BalancerRecord, revision: u64, lowest_revision: u64) {
        self.take(Body::Digest(Digest {
            sender: Some(balancer_to_message(&sender)),
            revision,
            members: Vec::new(),
            wants_answer: false,
            lowest_revision,
        }));
    }

    fn view(&self) -> FleetView {
        self.node.fleet_view(NOW)
    }

    fn status(&self) -> FleetStatus {
        self.node.fleet_status(NOW)
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    balancer_alone_is_the_slowest => {
        let fixture = Fixture::new();
        assert_eq!(fixture.view(), FleetView { rank: 0, lowest_reported: 5 });
    };

    agent_that_is_behind_holds_the_lowest_back => {
        let mut fixture = Fixture::new();
        fixture.heartbeat("desk-1", 5, false);
        fixture.heartbeat("desk-2", 3, false);
        assert_eq!(fixture.view().lowest_reported, 3);
        fixture.heartbeat("desk-2", 5, false);
        assert_eq!(fixture.view().lowest_reported, 5);
    };

    agent_that_has_gone_holds_nothing_back => {
        let mut fixture = Fixture::new();
        fixture.heartbeat("desk-1", 3, false);
        fixture.heartbeat("desk-1", 3, true);
        assert_eq!(fixture.view().lowest_reported, 5);
    };

    silent_agent_holds_the_lowest_back_until_it_is_dead => {
        let mut fixture = Fixture::new();
        fixture.heartbeat("desk-1", 3, false);
        let mut now = NOW;
        let mut dead_at = None;
        for _ in 0..1_200 {
            now = now.after(Millis(50));
            // A process that hears from nobody at all judges nobody.
            let other = Body::Digest(Digest {
                sender: Some(balancer_to_message(&balancer("entry-a", false))),
                revision: 5,
                lowest_revision: 5,
                ..Digest::default()
            });
            fixture.node.on_message(now, addr(1), other, &mut Vec::new());
            fixture.node.on_tick(now, &mut Vec::new());
            let is_dead = fixture.node.fleet_status(now).targets[0].state == TargetState::Dead;
            let lowest = fixture.node.fleet_view(now).lowest_reported;
            assert_eq!(lowest, if is_dead { 5 } else { 3 }, "at {now}");
            dead_at = dead_at.or(is_dead.then_some(now));
        }
        assert!(dead_at.is_some(), "the silent agent is never dead");
    };

    balancer_speaks_for_the_agents_that_report_to_it => {
        let mut fixture = Fixture::new();
        fixture.digest(balancer("entry-a", false), 5, 2);
        assert_eq!(fixture.view().lowest_reported, 2);
        fixture.digest(balancer("entry-a", false), 5, 5);
        assert_eq!(fixture.view().lowest_reported, 5);
    };

    balancer_that_has_told_nothing_holds_the_lowest_at_zero => {
        let mut fixture = Fixture::new();
        fixture.take(Body::Gossip(citronhollow_peer::message::Gossip {
            balancers: vec![balancer_to_message(&balancer("entry-a", false))],
            ..Default::default()
        }));
        assert_eq!(fixture.view().lowest_reported, 0);
        assert_eq!(fixture.status().balancers[1].revision, None);
    };

    balancer_that_leaves_holds_nothing_back => {
        let mut fixture = Fixture::new();
        fixture.digest(balancer("entry-a", false), 5, 2);
        fixture.digest(balancer("entry-a", true), 5, 2);
        assert_eq!(fixture.view().lowest_reported, 5);
        assert_eq!(fixture.status().balancers[1].state, BalancerState::Leaving);
    };

    ranks_of_a_fleet_differ => {
        let names = ["entry-a", "entry-b", "entry-c", "entry-d"];
        let ranks = names.map(|me| {
            let mut node = Node::new(balancer(me, false), Vec::new(), RevisionStore::default());
            for other in names.into_iter().filter(|other| *other != me) {
                let digest = Body::Digest(Digest {
                    sender: Some(balancer_to_message(&balancer(other, false))),
                    ..Digest::default()
                });
                node.on_message(NOW, addr(1), digest, &mut Vec::new());
            }
            node.fleet_view(NOW).rank
        });
        let mut sorted = ranks;
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 1, 2, 3]);
    };

    balancer_that_has_not_met_the_others_has_no_rank => {
        let seeds = vec![addr(1)];
        let mut node = Node::new(balancer("entry-a", false), seeds, RevisionStore::default());
        node.on_tick(NOW, &mut Vec::new());
        assert_eq!(node.fleet_view(NOW).rank, usize::MAX);
        let later = NOW.after(JOIN_TIMEOUT);
        assert_eq!(node.fleet_view(later).rank, 0, "nobody has answered by now");
    };

    status_shows_what_an_agent_reports => {
        let mut fixture = Fixture::new();
        fixture.heartbeat("desk-1", 4, false);
        let status = fixture.status();
        let target = &status.targets[0];
        assert_eq!(target.id, TargetId::of("desk-1").to_string());
        assert_eq!((target.revision, target.open), (Some(4), Some(7)));
        assert_eq!(status.balancers[0].revision, Some(5), "its own");
    };
}
