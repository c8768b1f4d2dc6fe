//! Gossip in one process: pushes, their budget, repair, refutation and revision deltas.
//!
//! Guards against updates that are pushed without end or beyond the budget, against needless
//! fetches, and against a delta that results in another revision than the published one.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Rule, Service};
use citronhollow_core::gossip::{
    Action, BUDGET_BURST, BUDGET_PER_S, DIGEST_EVERY, FAN_OUT, GossipNode, GossipQueue, INLINE_MAX,
    PROBES_MAX, ROUND, RevisionDelta, Summary, Topic, Update, choose_peers, rounds_for,
};
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    BalancerRecord, TargetRecord, TargetState, TargetUpdate, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn balancer(number: u16) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId::of(&format!("b{number}")),
        domain: DomainId(u64::from(number % 4)),
        control: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        leaving: false,
        incarnation: 1,
        sequence: 1,
    }
}

fn target(number: u64) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(&format!("desk-{number}")),
        group: GroupId(1),
        domain: DomainId(1),
        agent: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        slots: 2,
        state: TargetState::Ready,
        incarnation: 1,
        sequence: 1,
    }
}

/// A process that has joined a fleet of this size.
fn joined(fleet: u16) -> GossipNode {
    let mut node = GossipNode::new(balancer(0), Vec::new());
    let others: Vec<_> = (1..fleet).map(balancer).collect();
    node.on_members(Millis::ZERO, &[], &others);
    node
}

/// Ticks for the given span without delivering any message, and returns the actions.
fn run(node: &mut GossipNode, from: Millis, span: Millis) -> Vec<Action> {
    let mut actions = Vec::new();
    let end = from.after(span);
    let mut now = from;
    while now < end {
        now = now.after(Millis(50));
        node.on_tick(now, &mut actions);
    }
    actions
}

fn pushes(actions: &[Action]) -> Vec<&Update> {
    let update = actions.iter().filter_map(|action| match action {
        Action::Push { update, .. } => Some(update),
        _ => None,
    });
    update.collect()
}

fn summary(sender: BalancerRecord, revision: u64) -> Summary {
    Summary {
        sender,
        revision,
        lowest_revision: 0,
        members: vec![1; 64],
        wants_answer: false,
    }
}

fn fetches(actions: &[Action]) -> Vec<&Action> {
    let fetch = |action: &&Action| {
        matches!(
            action,
            Action::FetchMembers { .. } | Action::FetchRevision { .. }
        )
    };
    actions.iter().filter(fetch).collect()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    update_is_pushed_for_a_bounded_number_of_rounds => {
        let mut node = joined(100);
        run(&mut node, Millis::ZERO, Millis::from_secs(5));
        node.on_heartbeat(Millis::from_secs(5), target(1), true);
        let actions = run(&mut node, Millis::from_secs(5), Millis::from_secs(10));
        let copies = pushes(&actions).len();
        assert_eq!(copies, FAN_OUT * rounds_for(100) as usize);
    };

    known_update_is_not_pushed_on => {
        let mut node = joined(100);
        let update = Update {
            targets: vec![TargetUpdate::alive(target(1))],
            ..Update::default()
        };
        let mut out = Vec::new();
        node.on_update(Millis::ZERO, balancer(1).control, &update, &mut out);
        run(&mut node, Millis::ZERO, Millis::from_secs(5));
        node.on_update(Millis::from_secs(5), balancer(2).control, &update, &mut out);
        let actions = run(&mut node, Millis::from_secs(5), Millis::from_secs(5));
        assert!(pushes(&actions).is_empty());
    };

    one_peer_is_local_and_one_is_remote => {
        let peers: Vec<_> = (1..200).map(balancer).collect();
        let mut rng = SmallRng::seed_from_u64(7);
        for _ in 0..200 {
            let chosen = choose_peers(&balancer(0), &peers, FAN_OUT, &mut rng);
            assert_eq!(chosen.len(), FAN_OUT);
            assert!(chosen.iter().any(|peer| peer.domain == balancer(0).domain));
            assert!(chosen.iter().any(|peer| peer.domain != balancer(0).domain));
            let mut ids: Vec<_> = chosen.iter().map(|peer| peer.id).collect();
            ids.sort_unstable();
            ids.dedup();
            assert_eq!(ids.len(), FAN_OUT, "the peers are distinct");
        }
    };

    flood_of_updates_stays_within_the_budget => {
        const VERDICT_BYTES: usize = 26;
        const SECONDS: u32 = 60;
        let peers: Vec<_> = (1..100).map(balancer).collect();
        let mut queue = GossipQueue::new(1);
        for number in 0..3_000 {
            queue.add(Topic::Verdict(TargetId(number)));
        }
        let mut bytes = 0;
        let mut now = Millis::ZERO;
        while now < Millis::from_secs(u64::from(SECONDS)) {
            now = now.after(ROUND);
            if let Some(push) = queue.round(now, &balancer(0), &peers) {
                bytes += push.to.len() * push.topics.len() * VERDICT_BYTES;
            }
        }
        let budget = (BUDGET_BURST + BUDGET_PER_S * SECONDS) as usize;
        assert!((budget / 2..=budget).contains(&bytes), "{bytes} of {budget} bytes");
    };

    revision_is_pushed_before_a_flood_and_the_newest_before_the_rest => {
        let peers: Vec<_> = (1..100).map(balancer).collect();
        let mut queue = GossipQueue::new(1);
        queue.add(Topic::Revision(INLINE_MAX));
        for number in 0..3_000 {
            queue.add(Topic::Verdict(TargetId(number)));
        }
        let push = queue.round(ROUND, &balancer(0), &peers).expect("a push");
        assert_eq!(push.topics[0], Topic::Revision(INLINE_MAX));
        assert_eq!(push.topics[1], Topic::Verdict(TargetId(2_999)));
        let next = queue.round(ROUND.after(ROUND), &balancer(0), &peers).expect("a push");
        assert!(!next.topics.contains(&push.topics[1]), "other updates are pushed next");
    };

    verdict_on_an_unpushed_record_includes_the_record => {
        let peers: Vec<_> = (1..100).map(balancer).collect();
        let mut queue = GossipQueue::new(1);
        let id = target(1).id;
        queue.add(Topic::Target(id));
        queue.add(Topic::Verdict(id));
        let push = queue.round(ROUND, &balancer(0), &peers).expect("a push");
        assert_eq!(push.topics, [Topic::Target(id)]);
    };

    verdict_is_merged_for_the_known_version_only => {
        let mut node = joined(10);
        node.on_heartbeat(Millis::ZERO, target(1), true);
        let suspect = TargetUpdate::alive(target(1)).with_verdict(Verdict::Suspect);
        let mut verdict = citronhollow_core::members::VerdictUpdate::from(suspect);
        verdict.version = (1, 0);
        let mut out = Vec::new();
        for (version, expected) in [((1, 0), Verdict::Alive), ((1, 1), Verdict::Suspect)] {
            verdict.version = version;
            let update = Update { verdicts: vec![verdict], ..Update::default() };
            node.on_update(Millis::ZERO, balancer(1).control, &update, &mut out);
            let known = node.view().target(Millis::ZERO, target(1).id).expect("known");
            assert_eq!(known.verdict, expected);
        }
    };

    higher_revision_is_fetched_from_its_sender_and_once_at_a_time => {
        let mut node = joined(10);
        let mut out = Vec::new();
        let update = Update { revision: 7, ..Update::default() };
        node.on_update(Millis(10), balancer(3).control, &update, &mut out);
        node.on_update(Millis(20), balancer(4).control, &update, &mut out);
        let from = balancer(3).control;
        assert_eq!(out, [Action::FetchRevision { from }]);
        let lower = Update { revision: 6, ..Update::default() };
        node.on_revision(7, 100);
        node.on_update(Millis::from_secs(60), from, &lower, &mut out);
        assert_eq!(out.len(), 1);
        node.on_revision(6, 100);
        assert_eq!(node.revision(), 7);
    };

    recently_changed_buckets_are_not_fetched => {
        let mut node = joined(10);
        let mut out = Vec::new();
        let later = Millis::from_secs(20);
        node.on_heartbeat(later, target(1), true);
        let changed = citronhollow_core::members::bucket_of(target(1).id.0);
        let mut theirs = summary(balancer(1), 0);
        theirs.members = vec![0; 64];
        theirs.members[changed] = 5;
        node.on_summary(later, &theirs, &mut out);
        assert!(fetches(&out).is_empty(), "{out:?}");
        node.on_summary(later.after(Millis::from_secs(9)), &theirs, &mut out);
        assert_eq!(fetches(&out).len(), 1, "the difference persisted");
    };

    equal_views_fetch_nothing => {
        let (mut a, mut b) = (joined(10), GossipNode::new(balancer(1), Vec::new()));
        let me = BalancerRecord { sequence: 2, ..balancer(0) };
        let others: Vec<_> = std::iter::once(me).chain((2..10).map(balancer)).collect();
        b.on_members(Millis::ZERO, &[], &others);
        let known = BalancerRecord { sequence: 2, ..balancer(1) };
        let update = Update { balancers: vec![known], ..Update::default() };
        let mut out = Vec::new();
        a.on_update(Millis::ZERO, known.control, &update, &mut out);
        let later = Millis::from_secs(60);
        let actions = run(&mut a, later, DIGEST_EVERY.after(DIGEST_EVERY));
        let compared = actions.iter().find_map(|action| match action {
            Action::Compare { summary, .. } => Some(summary.clone()),
            _ => None,
        });
        out.clear();
        b.on_summary(later.after(DIGEST_EVERY), &compared.expect("a comparison"), &mut out);
        assert!(fetches(&out).is_empty(), "{out:?}");
    };

    peer_that_does_not_answer_gets_no_pushes_until_it_does => {
        let mut node = joined(2);
        run(&mut node, Millis::ZERO, Millis::from_secs(60));
        let asked = Millis::from_secs(60);
        node.on_heartbeat(asked, target(1), true);
        let actions = run(&mut node, asked, Millis::from_secs(20));
        assert!(pushes(&actions).is_empty(), "after {PROBES_MAX} probes");
        let probes = actions.iter().filter(|it| matches!(it, Action::Compare { .. }));
        assert!(probes.count() >= 1, "it is still probed");
        let mut out = Vec::new();
        let back = asked.after(Millis::from_secs(20));
        node.on_summary(back, &summary(balancer(1), 0), &mut out);
        let actions = run(&mut node, back, Millis::from_secs(1));
        assert!(!pushes(&actions).is_empty());
    };

    own_leave_announced_by_others_is_refuted => {
        let mut node = joined(10);
        run(&mut node, Millis::ZERO, Millis::from_secs(5));
        let announced = BalancerRecord { leaving: true, ..*node.me() };
        let update = Update { balancers: vec![announced], ..Update::default() };
        let mut out = Vec::new();
        let now = Millis::from_secs(5);
        node.on_update(now, balancer(1).control, &update, &mut out);
        let me = *node.me();
        assert!(!me.leaving && me.sequence > announced.sequence);
        let actions = run(&mut node, now, Millis::from_secs(1));
        assert!(pushes(&actions).iter().any(|update| update.balancers.contains(&me)));
    };
}

fn name(number: u8) -> String {
    format!("n{number}")
}

/// Numbers of names with variants, with distinct numbers in any order.
fn entries() -> impl Strategy<Value = Vec<(u8, u8)>> {
    prop::collection::btree_map(0_u8..8, 0_u8..3, 0..8)
        .prop_map(|map| map.into_iter().collect::<Vec<_>>())
        .prop_shuffle()
}

/// Documents with few names in any order, so that most pairs of revisions share some.
fn revision(number: u64) -> impl Strategy<Value = Revision> {
    (entries(), entries(), entries()).prop_map(move |(services, pools, rules)| Revision {
        number,
        epoch: number,
        documents: Documents {
            services: services
                .into_iter()
                .map(|(id, variant)| Service {
                    name: name(id),
                    addresses: vec![SocketAddr::from(([10, 0, 0, id], 443))],
                    pool: name(variant),
                    refusal: Refusal::Reset,
                    new_flows_per_s: None,
                    new_flows_per_s_per_caller: None,
                    spill: citronhollow_core::config::Spill::Normal,
                    requests: citronhollow_core::config::RequestClass::default(),
                })
                .collect(),
            pools: pools
                .into_iter()
                .map(|(id, variant)| Pool {
                    name: name(id),
                    groups: vec![name(variant)],
                    flows_per_target: None,
                })
                .collect(),
            rules: rules
                .into_iter()
                .map(|(id, variant)| Rule {
                    name: name(id),
                    service: name(variant),
                    pool: name(variant),
                    percent: variant,
                })
                .collect(),
        },
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6465_6c74),
        ..Config::default()
    })]

    #[test]
    fn delta_reproduces_the_new_revision_exactly(old in revision(3), new in revision(5)) {
        if let Some(delta) = RevisionDelta::between(&old, &new) {
            let json = serde_json::to_vec(&delta).expect("JSON");
            let delta: RevisionDelta = serde_json::from_slice(&json).expect("JSON");
            prop_assert_eq!(delta.apply(&old), Some(new.clone()));
            let later = Revision { number: 4, ..old.clone() };
            prop_assert_eq!(delta.apply(&later), None, "a delta applies only to its base");
            prop_assert_eq!(delta.apply(&new), None, "a delta does not apply twice");
        }
    }

    #[test]
    fn delta_includes_removed_documents(old in revision(3)) {
        let mut new = Revision { number: 4, ..old.clone() };
        new.documents.services.pop();
        let delta = RevisionDelta::between(&old, &new);
        prop_assert_eq!(delta.expect("order is kept").apply(&old), Some(new));
    }

    #[test]
    fn delta_of_one_changed_document_is_short(old in revision(3), id in 0_u8..8) {
        let mut new = Revision { number: 4, ..old.clone() };
        let pool = Pool {
            name: name(id),
            groups: vec![String::from("changed")],
            flows_per_target: Some(9),
        };
        match new.documents.pools.iter_mut().find(|it| it.name == pool.name) {
            Some(found) => *found = pool,
            None => new.documents.pools.push(pool),
        }
        let delta = RevisionDelta::between(&old, &new);
        let json = serde_json::to_vec(&delta.expect("order is kept")).expect("JSON");
        prop_assert!(json.len() <= INLINE_MAX, "{} bytes", json.len());
    }
}
