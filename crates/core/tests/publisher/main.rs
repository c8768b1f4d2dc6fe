//! The publisher under races, pauses, deaths and a failing platform.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{
    Documents, Pool, Problem, Refusal, Revision, Rule, Service, check,
};
use citronhollow_core::publisher::{
    Content, Document, DraftStatus, Index, Kind, LoadError, MAX_INLINE_BYTES, part_name, split,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

mod store;
mod world;

use world::{Fault, World};

const SEED: [u8; 32] = *b"publisher, operators, platform 1";
const CASES: u32 = 400;
/// So small that every set is split.
const SPLIT_ALWAYS: usize = 400;

fn service(number: u16, address: u8) -> Document {
    Document::Service(Service {
        name: format!("service-{number}"),
        addresses: vec![SocketAddr::from(([10, 1, 0, address], 443))],
        pool: format!("pool-{}", number % 2),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    })
}

fn pool(number: u16, groups: u8) -> Document {
    Document::Pool(Pool {
        name: format!("pool-{number}"),
        groups: (0..groups).map(|group| format!("group-{group}")).collect(),
        flows_per_target: None,
    })
}

fn rule(number: u16, percent: u8) -> Document {
    Document::Rule(Rule {
        name: format!("rule-{number}"),
        service: format!("service-{number}"),
        pool: String::from("pool-0"),
        percent,
    })
}

fn apply_base(world: &mut World) {
    for document in [pool(0, 1), pool(1, 2), service(0, 1), service(1, 2)] {
        world.apply(document);
    }
}

fn number(world: &World) -> u64 {
    world.published().map_or(0, |revision| revision.number)
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64, Vec<Fault>),
    AdvanceSlow(u64, usize),
    Apply(Document),
    Remove(String),
    Pause(usize),
    Resume(usize, Vec<Fault>),
    Kill(usize),
    Deliver(usize),
    Follow(usize),
    FollowAgent,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::LoseRequest),
        2 => Just(Fault::LoseAnswer),
        2 => Just(Fault::Delay),
        1 => Just(Fault::NotRun),
        1 => Just(Fault::Conflict),
        1 => (1_usize..6).prop_map(Fault::Stale),
        1 => Just(Fault::PauseBeforeSend),
        1 => Just(Fault::PauseBeforeAnswer),
        1 => Just(Fault::KillBeforeSend),
        1 => Just(Fault::KillBeforeAnswer),
    ]
}

fn document() -> impl Strategy<Value = Document> {
    prop_oneof![
        4 => (0_u16..3, 1_u8..5).prop_map(|(number, address)| service(number, address)),
        2 => (0_u16..2, 0_u8..4).prop_map(|(number, groups)| pool(number, groups)),
        2 => (0_u16..3, 0_u8..103).prop_map(|(number, percent)| rule(number, percent)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let name = prop_oneof![
        (0_u16..3).prop_map(|number| format!("service.service-{number}")),
        (0_u16..3).prop_map(|number| format!("rule.rule-{number}")),
    ];
    let node = 0_usize..3;
    prop_oneof![
        12 => (50_u64..3_000, vec(fault(), 0..12)).prop_map(|(ms, faults)| Step::Advance(ms, faults)),
        3 => (50_u64..8_000, node.clone()).prop_map(|(ms, node)| Step::AdvanceSlow(ms, node)),
        4 => document().prop_map(Step::Apply),
        2 => name.prop_map(Step::Remove),
        1 => node.clone().prop_map(Step::Pause),
        4 => (node.clone(), vec(fault(), 0..6)).prop_map(|(node, faults)| Step::Resume(node, faults)),
        1 => node.clone().prop_map(Step::Kill),
        3 => (0_usize..8).prop_map(Step::Deliver),
        3 => node.prop_map(Step::Follow),
        1 => Just(Step::FollowAgent),
    ]
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Advance(ms, faults) => world.advance(Millis(ms), &mut faults.into_iter()),
        Step::AdvanceSlow(ms, node) => world.advance_slow(Millis(ms), node),
        Step::Apply(document) => {
            world.apply(document);
        }
        Step::Remove(name) => world.remove(&name),
        Step::Pause(node) => world.pause(node),
        Step::Resume(node, faults) => world.resume(node, &mut faults.into_iter()),
        Step::Kill(node) => world.kill(node),
        Step::Deliver(place) => world.deliver_delayed(place),
        Step::Follow(node) => world.follow(node),
        Step::FollowAgent => world.follow_agent(),
    }
}

/// Once the faults are over, a consistent set of drafts comes into force.
fn heal(world: &mut World) {
    world.resume_all();
    for number in 0..3 {
        world.remove(&format!("rule.rule-{number}"));
        world.remove(&format!("service.service-{number}"));
    }
    world.apply(pool(0, 1));
    world.apply(pool(1, 1));
    world.run_freely(Millis::from_secs(40));
    world.follow_agent();
    world.run_freely(Millis::from_secs(2));
    let version = world.apply(service(0, 1));
    world.run_freely(Millis::from_secs(20));
    let status = world.status("service.service-0", version);
    assert_eq!(status, DraftStatus::Published(number(world)));
    assert_eq!(world.holders(), 1);
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    random_faults_break_nothing => {
        let cfg = Config { cases: CASES, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(cfg, rng);
        let total = std::cell::RefCell::new([0_u64; 9]);
        let sizes = prop_oneof![Just(SPLIT_ALWAYS), Just(MAX_INLINE_BYTES)];
        runner.run(&(sizes, vec(step(), 20..120)), |(max_inline_bytes, steps)| {
            let mut world = World::new(3, max_inline_bytes);
            apply_base(&mut world);
            for step in steps {
                take(&mut world, step);
            }
            heal(&mut world);
            let counts = world.counts;
            let counts = [
                counts.calls, counts.faults, counts.published, counts.refused, counts.takeovers,
                counts.delayed_writes, counts.fenced_writes, counts.part_sets, counts.swept_parts,
            ];
            for (sum, count) in total.borrow_mut().iter_mut().zip(counts) {
                *sum += count;
            }
            Ok(())
        }).expect("the invariants hold");
        println!(
            "calls, faults, published, refused, takeovers, delayed writes that took effect, \
             delayed writes that were fenced off, split sets, swept parts: {:?}",
            total.borrow(),
        );
        assert!(total.borrow().iter().all(|count| *count > 50), "a run without the faults: {total:?}");
    };

    publisher_struck_at_each_step_loses_nothing => {
        let strikes = [
            Fault::LoseRequest, Fault::LoseAnswer, Fault::Delay, Fault::NotRun, Fault::Conflict,
            Fault::Stale(1), Fault::Stale(4), Fault::PauseBeforeSend, Fault::PauseBeforeAnswer,
            Fault::KillBeforeSend, Fault::KillBeforeAnswer,
        ];
        for max_inline_bytes in [MAX_INLINE_BYTES, SPLIT_ALWAYS] {
            for strike in strikes {
                for calls_before in 0..25 {
                    strike_at(max_inline_bytes, strike, calls_before);
                }
            }
        }
    };

    paused_holder_gives_up_before_it_acts => {
        let mut world = World::new(2, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let holder = world.holder().expect("a holder");
        world.pause(holder);
        world.run_freely(Millis::from_secs(20));
        let calls = world.counts.calls;
        world.resume(holder, &mut std::iter::empty());
        world.advance(Millis(1), &mut std::iter::empty());
        assert!(!world.holds(holder), "it gave up at its first look at the clock");
        assert_eq!(world.counts.calls, calls + 1, "and did nothing but look at the lease");
        world.run_freely(Millis::from_secs(2));
        assert_eq!(world.holders(), 1);
    };

    write_of_a_former_holder_fails_after_the_claim => {
        let mut world = World::new(2, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        assert_eq!(number(&world), 1);
        world.apply(rule(0, 5));
        // The list is answered, and the index is on its way when the holder is cut off.
        let mut faults = [Fault::None, Fault::Delay].into_iter();
        world.advance(Millis(300), &mut faults);
        let holder = world.holder().expect("a holder");
        world.pause(holder);
        // The next holder refuses the drafts, so it has nothing to write but its claim.
        let version = world.apply(rule(1, 101));
        world.run_freely(Millis::from_secs(20));
        assert!(matches!(world.status("rule.rule-1", version), DraftStatus::Refused(_)));
        world.deliver_delayed(0);
        assert_eq!(world.counts.fenced_writes, 1);
        assert_eq!(number(&world), 1, "what was refused in the meantime stays out");
    };

    holder_with_a_slow_clock_cannot_write => {
        let mut world = World::new(2, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let slow = world.holder().expect("a holder");
        for _ in 0..40 {
            world.advance_slow(Millis(250), slow);
        }
        assert_eq!(world.holders(), 2, "its own clock tells it that it still holds the lease");
        let version = world.apply(rule(0, 5));
        world.advance(Millis(250), &mut std::iter::empty());
        world.run_freely(Millis::from_secs(1));
        assert!(!world.holds(slow), "its write met the other's epoch");
        assert_eq!(world.status("rule.rule-0", version), DraftStatus::Published(2));
    };

    sweep_of_a_former_holder_spares_its_successors_parts => {
        let mut world = World::new(2, SPLIT_ALWAYS);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(3));
        let slow = world.holder().expect("a holder");
        for _ in 0..40 {
            world.advance_slow(Millis(250), slow);
        }
        assert_eq!(world.holders(), 2);
        let sweeps = world.counts.sweeps;
        // The successor has written its parts and is about to write the index.
        world.pause(slow);
        world.apply(service(2, 3));
        world.pauses_at_index = true;
        world.advance(Millis(250), &mut std::iter::empty());
        world.pauses_at_index = false;
        let parts = world.store.now().list(Kind::Part).objects.len();
        world.resume(slow, &mut std::iter::empty());
        world.advance(Millis(500), &mut std::iter::empty());
        assert_eq!(world.counts.sweeps, sweeps + 1);
        assert_eq!(world.store.now().list(Kind::Part).objects.len(), parts);
        world.resume_all();
        assert_eq!(number(&world), 2);
    };

    sole_holder_regains_its_lease_at_once => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        world.run_freely(Millis::from_secs(2));
        world.pause(0);
        world.run_freely(Millis::from_secs(10));
        world.resume(0, &mut std::iter::empty());
        world.advance(Millis(1), &mut std::iter::empty());
        assert!(world.holds(0));
    };

    stopped_holder_hands_over => {
        let mut world = World::new(2, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let holder = world.holder().expect("a holder");
        world.stop(holder);
        assert!(world.is_stopped(holder));
        world.run_freely(Millis(2_500));
        assert!(world.holder().is_some_and(|next| next != holder));
    };

    refused_set_is_reported_and_changes_nothing => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let version = world.apply(rule(0, 101));
        assert_eq!(world.status("rule.rule-0", version), DraftStatus::Pending);
        world.run_freely(Millis::from_secs(2));
        let DraftStatus::Refused(errors) = world.status("rule.rule-0", version) else {
            panic!("it is not refused");
        };
        assert_eq!(errors[0].problem, Problem::BadPercent(101));
        assert_eq!(number(&world), 1);
        let version = world.apply(rule(0, 100));
        world.run_freely(Millis::from_secs(2));
        assert_eq!(world.status("rule.rule-0", version), DraftStatus::Published(2));
    };

    change_during_a_listing_is_heard => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        world.apply(rule(0, 5));
        world.apply_at_listing = Some(rule(1, 5));
        world.run_freely(Millis::from_secs(2));
        assert_eq!(number(&world), 3);
    };

    racing_operators_get_true_answers => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let first = world.apply(rule(0, 10));
        let second = world.apply(rule(0, 20));
        world.run_freely(Millis::from_secs(2));
        assert_eq!(world.status("rule.rule-0", first), DraftStatus::Replaced(second));
        assert_eq!(world.status("rule.rule-0", second), DraftStatus::Published(2));
        world.remove("rule.rule-0");
        world.run_freely(Millis::from_secs(2));
        assert_eq!(world.status("rule.rule-0", second), DraftStatus::Removed);
    };

    released_address_waits_for_the_slowest_process => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        world.follow_agent();
        world.apply(service(0, 3));
        world.run_freely(Millis::from_secs(2));
        assert_eq!(number(&world), 2);
        let version = world.apply(service(1, 1));
        world.run_freely(Millis::from_secs(2));
        let DraftStatus::Refused(errors) = world.status("service.service-1", version) else {
            panic!("the agent still has revision 1");
        };
        assert!(matches!(errors[0].problem, Problem::HeldAddress { .. }));
        world.follow_agent();
        world.run_freely(Millis::from_secs(2));
        assert_eq!(world.status("service.service-1", version), DraftStatus::Published(3));
    };

    address_in_force_is_not_moved_in_one_step => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        world.follow_agent();
        world.apply(service(0, 3));
        let version = world.apply(service(1, 1));
        world.run_freely(Millis::from_secs(2));
        assert!(matches!(world.status("service.service-1", version), DraftStatus::Refused(_)));
        assert_eq!(number(&world), 1);
    };

    revision_continues_above_what_processes_hold => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        // The platform has lost its objects, and the fleet still serves what it had.
        let documents = large_set(1);
        world.learn(0, Revision { number: 9, epoch: 4, documents });
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        assert_eq!(number(&world), 10);
    };

    unchanged_drafts_cost_nothing_but_renewals => {
        let mut world = World::new(1, MAX_INLINE_BYTES);
        apply_base(&mut world);
        world.run_freely(Millis::from_secs(5));
        let before = world.counts.calls;
        world.run_freely(Millis::from_secs(60));
        let calls = world.counts.calls - before;
        println!("calls of an idle holder in 60 s: {calls}");
        assert!((30..=36).contains(&calls), "{calls}: 30 renewals and a listing every 15 s");
    };

    large_set_is_split_into_parts_that_fit => {
        let documents = large_set(9_000);
        let (content, parts) = split(&documents, MAX_INLINE_BYTES).expect("it fits");
        let Content::Parts(names) = content else {
            panic!("it is too large for one object");
        };
        assert_eq!(names.len(), parts.len());
        for (name, part) in &parts {
            let size = serde_json::to_vec(part).expect("JSON").len();
            assert!(size <= MAX_INLINE_BYTES, "{size}");
            assert_eq!(*name, part_name(part));
        }
        let mut changed = documents;
        changed.services[0].addresses[0].set_port(80);
        let (_, after) = split(&changed, MAX_INLINE_BYTES).expect("it fits");
        let new = after.keys().filter(|name| !parts.contains_key(*name)).count();
        assert_eq!(new, 1, "a change to one service writes one part");
    };

    missing_or_damaged_part_is_refused => {
        let documents = large_set(100);
        let (content, parts) = split(&documents, 8_000).expect("it fits");
        let index = Index { content, number: 3, ..Index::default() };
        let revision = index.assemble(&parts).expect("a whole set");
        assert_eq!(revision.documents.services.len(), 100);
        let name = parts.keys().next().expect("a part").clone();
        let mut damaged = parts.clone();
        damaged.get_mut(&name).expect("the part").services.clear();
        assert_eq!(index.assemble(&damaged), Err(LoadError::Damaged(name.clone())));
        let mut fewer = parts;
        fewer.remove(&name);
        assert_eq!(index.assemble(&fewer), Err(LoadError::Missing(name)));
    };

    rules_of_a_service_keep_their_order_in_parts => {
        let mut documents = large_set(50);
        documents.rules = (0..50).map(|number| Rule {
            name: format!("rule-{number:02}"),
            service: String::from("service-7"),
            pool: String::from("pool-0"),
            percent: 1,
        }).collect();
        let (_, parts) = split(&documents, 8_000).expect("it fits");
        let with_rules: Vec<_> = parts.values().filter(|part| !part.rules.is_empty()).collect();
        assert_eq!(with_rules.len(), 1);
        assert_eq!(with_rules[0].rules, documents.rules);
    };
}

fn large_set(services: u16) -> Documents {
    let mut documents = Documents::default();
    pool(0, 1).add_to(&mut documents);
    pool(1, 1).add_to(&mut documents);
    for number in 0..services {
        let Document::Service(mut one) = service(number, 1) else {
            unreachable!("a service");
        };
        one.addresses = vec![SocketAddr::from(([10, 2, 0, 1], number + 1))];
        documents.services.push(one);
    }
    documents
}

/// The holder meets one fault at one of its calls while it publishes. Nothing is lost by it.
fn strike_at(max_inline_bytes: usize, strike: Fault, calls_before: usize) {
    let mut world = World::new(2, max_inline_bytes);
    apply_base(&mut world);
    world.run_freely(Millis::from_secs(5));
    world.follow_agent();
    let accepted = number(&world);
    assert_eq!(accepted, 1, "{strike:?} after {calls_before}");
    let version = world.apply(rule(0, 5));
    let mut faults = std::iter::repeat_n(Fault::None, calls_before).chain([strike]);
    for _ in 0..30 {
        world.advance(Millis(100), &mut faults);
    }
    world.run_freely(Millis::from_secs(20));
    world.resume_all();
    world.deliver_delayed(0);
    world.run_freely(Millis::from_secs(20));
    assert_eq!(
        world.status("rule.rule-0", version),
        DraftStatus::Published(2),
        "{strike:?} after {calls_before}, split at {max_inline_bytes}"
    );
    let published = world.published().expect("a revision");
    assert_eq!(check(&published.documents, &[]), []);
    assert_eq!(world.store.now().list(Kind::Draft).objects.len(), 5);
    assert_eq!(world.holders(), 1);
}
