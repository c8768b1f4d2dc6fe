//! The control thread's decisions, driven message by message without sockets.
//!
//! Guards against agents that get too much or too little of the configuration, against digests that
//! change without need, and against invalid messages that change state.

use std::net::SocketAddr;

use citronhollow_balancer::control::{Effect, Node};
use citronhollow_balancer::revisions::RevisionStore;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Rule, Service};
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{BalancerRecord, TargetRecord, TargetState, TargetUpdate};
use citronhollow_peer::message::{
    Gossip, Heartbeat, HeartbeatReply, PoolReply, PoolRequest, RevisionRequest,
};
use citronhollow_peer::{Body, target_to_message};

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn service(name: &str, port: u16, pool: &str) -> Service {
    Service {
        name: String::from(name),
        addresses: vec![SocketAddr::from(([10, 1, 0, 1], port))],
        pool: String::from(pool),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    }
}

fn pool(name: &str) -> Pool {
    Pool {
        name: String::from(name),
        groups: vec![String::from(name)],
        flows_per_target: None,
    }
}

/// Service `match-desk` with a rule that sends some callers to pool `trial`, and an unrelated
/// service `draw`.
fn revision(number: u64) -> Revision {
    Revision {
        number,
        epoch: 1,
        documents: Documents {
            services: vec![
                service("match-desk", 443, "desk"),
                service("draw", 80, "draw"),
            ],
            pools: vec![pool("desk"), pool("trial"), pool("draw")],
            rules: vec![Rule {
                name: String::from("try"),
                service: String::from("match-desk"),
                pool: String::from("trial"),
                percent: 10,
            }],
        },
    }
}

fn target(name: &str, group: &str, sequence: u64) -> TargetUpdate {
    TargetUpdate::alive(TargetRecord {
        id: TargetId::of(name),
        group: GroupId::of(group),
        domain: DomainId(1),
        agent: addr(900),
        slots: 2,
        state: TargetState::Ready,
        incarnation: 1,
        sequence,
    })
}

fn heartbeat(name: &str, group: &str, sequence: u64) -> Body {
    Body::Heartbeat(Heartbeat {
        target: Some(target_to_message(&target(name, group, sequence))),
        ..Heartbeat::default()
    })
}

/// The decisions of a control thread, without sockets.
struct Process {
    node: Node,
    revisions: RevisionStore,
}

impl Process {
    fn new(revision: Revision) -> Self {
        let revisions = RevisionStore::default();
        assert!(revisions.offer(revision));
        let me = BalancerRecord {
            id: BalancerId::of("b0"),
            domain: DomainId(1),
            control: addr(0),
            leaving: false,
            incarnation: 1,
            sequence: 1,
        };
        let node = Node::new(me, Vec::new(), revisions.clone());
        Self { node, revisions }
    }

    fn on_message(&mut self, body: Body) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.node
            .on_message(Millis::ZERO, addr(800), body, &mut effects);
        effects
    }

    fn beat(&mut self, name: &str, group: &str, sequence: u64) -> HeartbeatReply {
        let effects = self.on_message(heartbeat(name, group, sequence));
        match effects.as_slice() {
            [
                Effect::Send {
                    body: Body::HeartbeatReply(reply),
                    ..
                },
            ] => reply.clone(),
            other => panic!("no reply but {other:?}"),
        }
    }

    fn pool(&mut self, group: &str) -> PoolReply {
        let group = GroupId::of(group).0;
        let request = Body::PoolRequest(PoolRequest { group });
        match self.node.answer(Millis::ZERO, &request) {
            Some(Body::PoolReply(reply)) => reply,
            other => panic!("no pool but {other:?}"),
        }
    }

    fn publish(&mut self, revision: Revision) {
        assert!(self.revisions.offer(revision));
        self.node.on_revision();
    }
}

fn names(reply: &PoolReply) -> (Vec<String>, Vec<String>) {
    let revision: Revision = serde_json::from_slice(&reply.revision_json).expect("JSON");
    let documents = revision.documents;
    (
        documents.services.into_iter().map(|it| it.name).collect(),
        documents.pools.into_iter().map(|it| it.name).collect(),
    )
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    agents_of_a_group_get_all_pools_of_its_services_and_no_others => {
        let mut process = Process::new(revision(1));
        process.beat("desk-1", "desk", 1);
        process.beat("trial-1", "trial", 1);
        process.beat("draw-1", "draw", 1);
        for group in ["desk", "trial"] {
            let reply = process.pool(group);
            let (services, pools) = names(&reply);
            assert_eq!(services, ["match-desk"]);
            assert_eq!(pools, ["desk", "trial"]);
            assert_eq!(reply.peers.len(), 2);
        }
        assert_eq!(process.pool("draw").peers.len(), 1);
        assert_eq!(names(&process.pool("nothing")), (Vec::new(), Vec::new()));
    };

    digest_changes_only_with_what_concerns_the_group => {
        let mut process = Process::new(revision(1));
        process.beat("desk-1", "desk", 1);
        let before = process.beat("desk-1", "desk", 1);
        assert_eq!(before.peers_digest, process.pool("desk").peers_digest);
        process.beat("draw-1", "draw", 1);
        let mut unrelated = revision(2);
        unrelated.documents.pools[2].flows_per_target = Some(3);
        process.publish(unrelated.clone());
        let same = process.beat("desk-1", "desk", 1);
        assert_eq!((same.revision, same.peers_digest), (2, before.peers_digest));
        process.beat("trial-1", "trial", 1);
        let with_peer = process.beat("desk-1", "desk", 1);
        assert_ne!(with_peer.peers_digest, before.peers_digest);
        let mut related = unrelated;
        related.number = 3;
        related.documents.rules[0].percent = 20;
        process.publish(related);
        assert_ne!(process.beat("desk-1", "desk", 1).peers_digest, with_peer.peers_digest);
    };

    lagging_peer_gets_deltas_and_a_new_peer_the_whole_revision => {
        let mut process = Process::new(revision(1));
        for number in 2..5 {
            process.publish(revision(number));
        }
        let mut reply = |known| {
            let request = Body::RevisionRequest(RevisionRequest { known });
            match process.node.answer(Millis::ZERO, &request) {
                Some(Body::RevisionReply(reply)) => reply,
                other => panic!("no revision but {other:?}"),
            }
        };
        assert_eq!((reply(2).deltas_json.len(), reply(2).json.len()), (2, 0));
        assert!(reply(0).deltas_json.is_empty() && !reply(0).json.is_empty());
        assert!(reply(4).deltas_json.is_empty() && reply(4).json.is_empty());
    };

    invalid_revision_is_refused_and_the_last_good_one_stays => {
        let mut process = Process::new(revision(4));
        let gossip = Gossip {
            delta_json: b"{\"base\":4,\"number\":".to_vec(),
            revision: 5,
            ..Gossip::default()
        };
        let effects = process.on_message(Body::Gossip(gossip));
        assert_eq!(process.revisions.latest().number, 4);
        assert_eq!(process.node.refused_frames(), 1);
        assert!(matches!(effects.as_slice(), [Effect::Fetch { .. }]), "it is fetched instead");
    };

    message_not_meant_for_a_balancer_is_counted => {
        let mut process = Process::new(revision(1));
        assert!(process.on_message(Body::PoolRequest(PoolRequest { group: 1 })).is_empty());
        assert!(process.on_message(Body::Heartbeat(Heartbeat::default())).is_empty());
        assert_eq!(process.node.refused_frames(), 2);
    };
}
