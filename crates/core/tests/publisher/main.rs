//! The publisher under races, paused and killed processes and a failing platform.
//!
//! The tests guard against revisions from two publishers at once, lost or reverted drafts,
//! incomplete sets, and an address that belongs to two services. These come about if a former lease
//! holder writes after it was paused, if an answer is lost or delayed, or if a read is stale.

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

mod sim;
mod store;

use sim::{Fault, Simulation};

const SEED: [u8; 32] = *b"publisher, operators, platform 1";
const CASES: u32 = 400;
/// Maximum size of a part, in bytes. It is so small that every set is split.
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

fn apply_base(sim: &mut Simulation) {
    for document in [pool(0, 1), pool(1, 2), service(0, 1), service(1, 2)] {
        sim.apply(document);
    }
}

fn number(sim: &Simulation) -> u64 {
    sim.published().map_or(0, |revision| revision.number)
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

fn apply_step(sim: &mut Simulation, step: Step) {
    match step {
        Step::Advance(ms, faults) => sim.advance(Millis(ms), &mut faults.into_iter()),
        Step::AdvanceSlow(ms, node) => sim.advance_slow(Millis(ms), node),
        Step::Apply(document) => {
            sim.apply(document);
        }
        Step::Remove(name) => sim.remove(&name),
        Step::Pause(node) => sim.pause(node),
        Step::Resume(node, faults) => sim.resume(node, &mut faults.into_iter()),
        Step::Kill(node) => sim.kill(node),
        Step::Deliver(position) => sim.deliver_delayed(position),
        Step::Follow(node) => sim.follow(node),
        Step::FollowAgent => sim.follow_agent(),
    }
}

/// Asserts that a consistent set of drafts comes into force once the faults are over.
fn assert_recovery(sim: &mut Simulation) {
    sim.resume_all();
    for number in 0..3 {
        sim.remove(&format!("rule.rule-{number}"));
        sim.remove(&format!("service.service-{number}"));
    }
    sim.apply(pool(0, 1));
    sim.apply(pool(1, 1));
    sim.run_freely(Millis::from_secs(40));
    sim.follow_agent();
    sim.run_freely(Millis::from_secs(2));
    let version = sim.apply(service(0, 1));
    sim.run_freely(Millis::from_secs(20));
    let status = sim.status("service.service-0", version);
    assert_eq!(status, DraftStatus::Published(number(sim)));
    assert_eq!(sim.holders(), 1);
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    random_faults_violate_no_invariant => {
        let cfg = Config { cases: CASES, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(cfg, rng);
        let total = std::cell::RefCell::new([0_u64; 9]);
        let sizes = prop_oneof![Just(SPLIT_ALWAYS), Just(MAX_INLINE_BYTES)];
        runner.run(&(sizes, vec(step(), 20..120)), |(max_inline_bytes, steps)| {
            let mut sim = Simulation::new(3, max_inline_bytes);
            apply_base(&mut sim);
            for step in steps {
                apply_step(&mut sim, step);
            }
            assert_recovery(&mut sim);
            let counts = sim.counts;
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

    fault_at_each_step_loses_nothing => {
        let faults = [
            Fault::LoseRequest, Fault::LoseAnswer, Fault::Delay, Fault::NotRun, Fault::Conflict,
            Fault::Stale(1), Fault::Stale(4), Fault::PauseBeforeSend, Fault::PauseBeforeAnswer,
            Fault::KillBeforeSend, Fault::KillBeforeAnswer,
        ];
        for max_inline_bytes in [MAX_INLINE_BYTES, SPLIT_ALWAYS] {
            for fault in faults {
                for calls_before in 0..25 {
                    inject_at(max_inline_bytes, fault, calls_before);
                }
            }
        }
    };

    paused_holder_gives_up_before_it_acts => {
        let mut sim = Simulation::new(2, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let holder = sim.holder().expect("a holder");
        sim.pause(holder);
        sim.run_freely(Millis::from_secs(20));
        let calls = sim.counts.calls;
        sim.resume(holder, &mut std::iter::empty());
        sim.advance(Millis(1), &mut std::iter::empty());
        assert!(!sim.holds(holder), "it gave up the lease when it first read the clock");
        assert_eq!(sim.counts.calls, calls + 1, "and only read the lease");
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(sim.holders(), 1);
    };

    write_of_a_former_holder_fails_after_the_claim => {
        let mut sim = Simulation::new(2, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        assert_eq!(number(&sim), 1);
        sim.apply(rule(0, 5));
        // The listing is answered. The write of the index is delayed, and the holder is paused.
        let mut faults = [Fault::None, Fault::Delay].into_iter();
        sim.advance(Millis(300), &mut faults);
        let holder = sim.holder().expect("a holder");
        sim.pause(holder);
        // The next holder refuses the drafts, so the claim is its only write of the index.
        let version = sim.apply(rule(1, 101));
        sim.run_freely(Millis::from_secs(20));
        assert!(matches!(sim.status("rule.rule-1", version), DraftStatus::Refused(_)));
        sim.deliver_delayed(0);
        assert_eq!(sim.counts.fenced_writes, 1);
        assert_eq!(number(&sim), 1, "the drafts refused in the meantime are not published");
    };

    holder_with_a_slow_clock_cannot_write => {
        let mut sim = Simulation::new(2, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let slow = sim.holder().expect("a holder");
        for _ in 0..40 {
            sim.advance_slow(Millis(250), slow);
        }
        assert_eq!(sim.holders(), 2, "by its own clock it still holds the lease");
        let version = sim.apply(rule(0, 5));
        sim.advance(Millis(250), &mut std::iter::empty());
        sim.run_freely(Millis::from_secs(1));
        assert!(!sim.holds(slow), "its write failed on the other's epoch");
        assert_eq!(sim.status("rule.rule-0", version), DraftStatus::Published(2));
    };

    sweep_of_a_former_holder_keeps_the_parts_of_its_successor => {
        let mut sim = Simulation::new(2, SPLIT_ALWAYS);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(3));
        let slow = sim.holder().expect("a holder");
        for _ in 0..40 {
            sim.advance_slow(Millis(250), slow);
        }
        assert_eq!(sim.holders(), 2);
        let sweeps = sim.counts.sweeps;
        // The successor is paused after it wrote its parts and before it writes the index.
        sim.pause(slow);
        sim.apply(service(2, 3));
        sim.pauses_at_index = true;
        sim.advance(Millis(250), &mut std::iter::empty());
        sim.pauses_at_index = false;
        let parts = sim.store.now().list(Kind::Part).objects.len();
        sim.resume(slow, &mut std::iter::empty());
        sim.advance(Millis(500), &mut std::iter::empty());
        assert_eq!(sim.counts.sweeps, sweeps + 1);
        assert_eq!(sim.store.now().list(Kind::Part).objects.len(), parts);
        sim.resume_all();
        assert_eq!(number(&sim), 2);
    };

    sole_holder_regains_its_lease_at_once => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        sim.run_freely(Millis::from_secs(2));
        sim.pause(0);
        sim.run_freely(Millis::from_secs(10));
        sim.resume(0, &mut std::iter::empty());
        sim.advance(Millis(1), &mut std::iter::empty());
        assert!(sim.holds(0));
    };

    stopped_holder_releases_the_lease => {
        let mut sim = Simulation::new(2, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let holder = sim.holder().expect("a holder");
        sim.stop(holder);
        assert!(sim.is_stopped(holder));
        sim.run_freely(Millis(2_500));
        assert!(sim.holder().is_some_and(|next| next != holder));
    };

    refused_set_is_reported_and_changes_nothing => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let version = sim.apply(rule(0, 101));
        assert_eq!(sim.status("rule.rule-0", version), DraftStatus::Pending);
        sim.run_freely(Millis::from_secs(2));
        let DraftStatus::Refused(errors) = sim.status("rule.rule-0", version) else {
            panic!("it is not refused");
        };
        assert_eq!(errors[0].problem, Problem::BadPercent(101));
        assert_eq!(number(&sim), 1);
        let version = sim.apply(rule(0, 100));
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(sim.status("rule.rule-0", version), DraftStatus::Published(2));
    };

    change_during_a_listing_is_published => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        sim.apply(rule(0, 5));
        sim.apply_at_listing = Some(rule(1, 5));
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(number(&sim), 3);
    };

    racing_operators_get_correct_statuses => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let first = sim.apply(rule(0, 10));
        let second = sim.apply(rule(0, 20));
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(sim.status("rule.rule-0", first), DraftStatus::Replaced(second));
        assert_eq!(sim.status("rule.rule-0", second), DraftStatus::Published(2));
        sim.remove("rule.rule-0");
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(sim.status("rule.rule-0", second), DraftStatus::Removed);
    };

    released_address_is_held_until_all_processes_report => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        sim.follow_agent();
        sim.apply(service(0, 3));
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(number(&sim), 2);
        let version = sim.apply(service(1, 1));
        sim.run_freely(Millis::from_secs(2));
        let DraftStatus::Refused(errors) = sim.status("service.service-1", version) else {
            panic!("the agent still has revision 1");
        };
        assert!(matches!(errors[0].problem, Problem::HeldAddress { .. }));
        sim.follow_agent();
        sim.run_freely(Millis::from_secs(2));
        assert_eq!(sim.status("service.service-1", version), DraftStatus::Published(3));
    };

    address_in_force_is_not_moved_in_one_step => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        sim.follow_agent();
        sim.apply(service(0, 3));
        let version = sim.apply(service(1, 1));
        sim.run_freely(Millis::from_secs(2));
        assert!(matches!(sim.status("service.service-1", version), DraftStatus::Refused(_)));
        assert_eq!(number(&sim), 1);
    };

    revision_number_continues_above_those_in_force => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        // The platform has lost its objects, and the fleet still runs its last revision.
        let documents = large_set(1);
        sim.deliver_revision(0, Revision { number: 9, epoch: 4, documents });
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        assert_eq!(number(&sim), 10);
    };

    unchanged_drafts_cause_only_renewals_and_polls => {
        let mut sim = Simulation::new(1, MAX_INLINE_BYTES);
        apply_base(&mut sim);
        sim.run_freely(Millis::from_secs(5));
        let before = sim.counts.calls;
        sim.run_freely(Millis::from_secs(60));
        let calls = sim.counts.calls - before;
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

/// Injects one fault into one call of the holder while it publishes, and asserts that nothing is
/// lost.
fn inject_at(max_inline_bytes: usize, fault: Fault, calls_before: usize) {
    let mut sim = Simulation::new(2, max_inline_bytes);
    apply_base(&mut sim);
    sim.run_freely(Millis::from_secs(5));
    sim.follow_agent();
    let accepted = number(&sim);
    assert_eq!(accepted, 1, "{fault:?} after {calls_before}");
    let version = sim.apply(rule(0, 5));
    let mut faults = std::iter::repeat_n(Fault::None, calls_before).chain([fault]);
    for _ in 0..30 {
        sim.advance(Millis(100), &mut faults);
    }
    sim.run_freely(Millis::from_secs(20));
    sim.resume_all();
    sim.deliver_delayed(0);
    sim.run_freely(Millis::from_secs(20));
    assert_eq!(
        sim.status("rule.rule-0", version),
        DraftStatus::Published(2),
        "{fault:?} after {calls_before}, split at {max_inline_bytes}"
    );
    let published = sim.published().expect("a revision");
    assert_eq!(check(&published.documents, &[]), []);
    assert_eq!(sim.store.now().list(Kind::Draft).objects.len(), 5);
    assert_eq!(sim.holders(), 1);
}
