//! Properties of merging: commutative, associative, idempotent and never going back.
//!
//! Guards against views that stay different after gossip has delivered the same updates in another
//! order, repeatedly, or grouped by fetches.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    BalancerRecord, TargetRecord, TargetState, TargetUpdate, Verdict, View,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 0x6d65_7267;

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

/// Updates about few targets in few versions, so that most of them conflict.
fn update() -> impl Strategy<Value = TargetUpdate> {
    let state = prop_oneof![
        Just(TargetState::Starting),
        Just(TargetState::Ready),
        Just(TargetState::Draining),
        Just(TargetState::Dead),
    ];
    let verdict = prop_oneof![
        Just(Verdict::Alive),
        Just(Verdict::Suspect),
        Just(Verdict::Dead),
    ];
    (0_u64..4, 1_u64..3, 1_u64..4, state, verdict, 1_u16..3).prop_map(
        |(id, incarnation, sequence, state, verdict, slots)| TargetUpdate {
            record: TargetRecord {
                id: TargetId(id << 60),
                group: GroupId(1),
                domain: DomainId(1),
                agent: SocketAddr::from(([127, 0, 0, 1], 9_000)),
                slots,
                state,
                incarnation,
                sequence,
            },
            verdict,
            gone_for: Millis::ZERO,
        },
    )
}

fn balancer() -> impl Strategy<Value = BalancerRecord> {
    (0_u64..4, 1_u64..3, 1_u64..4, any::<bool>(), 0_u16..2).prop_map(
        |(id, incarnation, sequence, leaving, port)| BalancerRecord {
            id: BalancerId(id << 60),
            domain: DomainId(1),
            control: SocketAddr::from(([127, 0, 0, 1], 7_000 + port)),
            leaving,
            incarnation,
            sequence,
        },
    )
}

#[derive(Clone, Copy, Debug)]
enum Item {
    Target(TargetUpdate),
    Balancer(BalancerRecord),
}

fn items() -> impl Strategy<Value = Vec<Item>> {
    let item = prop_oneof![
        3 => update().prop_map(Item::Target),
        1 => balancer().prop_map(Item::Balancer),
    ];
    prop::collection::vec(item, 0..24)
}

fn merge(view: &mut View, items: &[Item]) {
    for item in items {
        match item {
            Item::Target(update) => view.merge_target(Millis::ZERO, *update),
            Item::Balancer(record) => view.merge_balancer(Millis::ZERO, *record),
        };
    }
}

fn view_of(items: &[Item]) -> View {
    let mut view = View::new();
    merge(&mut view, items);
    view
}

/// All records of a view, in a fixed order.
fn content(view: &View) -> (Vec<TargetUpdate>, Vec<BalancerRecord>) {
    let mut targets: Vec<TargetUpdate> = view.targets(Millis::ZERO).collect();
    targets.sort_unstable_by_key(|update| update.record.id);
    (targets, view.balancers().iter().copied().collect())
}

fn items_of(view: &View) -> Vec<Item> {
    let (targets, balancers) = content(view);
    let targets = targets.into_iter().map(Item::Target);
    targets
        .chain(balancers.into_iter().map(Item::Balancer))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merge_is_commutative(items in items(), seed in any::<u64>()) {
        let mut shuffled = items.clone();
        shuffled.sort_by_key(|item| {
            citronhollow_core::hash::bytes(format!("{item:?}").as_bytes(), seed)
        });
        let (one, other) = (view_of(&items), view_of(&shuffled));
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(one.digests(), other.digests());
    }

    #[test]
    fn merge_is_idempotent(items in items()) {
        let once = view_of(&items);
        let mut twice = once.clone();
        merge(&mut twice, &items);
        merge(&mut twice, &items_of(&once));
        prop_assert_eq!(content(&once), content(&twice));
        prop_assert_eq!(once.changes(), twice.changes(), "repeated updates change nothing");
    }

    #[test]
    fn merge_is_associative(a in items(), b in items(), c in items()) {
        let mut left = view_of(&a);
        merge(&mut left, &items_of(&view_of(&b)));
        merge(&mut left, &items_of(&view_of(&c)));
        let mut right = view_of(&b);
        merge(&mut right, &items_of(&view_of(&c)));
        let mut whole = view_of(&a);
        merge(&mut whole, &items_of(&right));
        prop_assert_eq!(content(&left), content(&whole));
    }

    #[test]
    fn no_record_goes_back(items in items()) {
        let mut view = View::new();
        for item in items {
            let before: Vec<TargetUpdate> = view.targets(Millis::ZERO).collect();
            merge(&mut view, &[item]);
            for old in before {
                let new = view.target(Millis::ZERO, old.record.id);
                let new = new.expect("no record is removed");
                prop_assert!(new == old || new.is_newer_than(&old));
                prop_assert!(new.record.version() >= old.record.version());
            }
        }
    }

    #[test]
    fn views_converge_after_loss_stops(
        items in items(),
        losses in prop::collection::vec(any::<u8>(), 24),
    ) {
        let mut views = vec![View::new(); 4];
        for (item, loss) in items.iter().zip(&losses) {
            for (place, view) in views.iter_mut().enumerate() {
                if loss >> place & 1 == 0 {
                    merge(view, &[*item]);
                }
            }
        }
        // Each view fetches from its predecessor in a ring, in two passes around the ring.
        for round in 0..2 * views.len() {
            let from = items_of(&views[round % 4]);
            merge(&mut views[(round + 1) % 4], &from);
        }
        for view in &views[1..] {
            prop_assert_eq!(content(view), content(&views[0]));
            prop_assert_eq!(view.digests(), views[0].digests());
        }
    }
}
